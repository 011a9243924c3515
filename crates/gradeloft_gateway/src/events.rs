//! Events of a stream, as far as passing them on whole needs them.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
const MAX_EVENT: usize = 256 << 10;

/// One whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its bytes, the empty line at its end included.
    pub bytes: Bytes,
    /// Its id.
    pub id: Option<u64>,
}

/// An event without end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TooLong;

/// Cuts a stream into events.
///
/// ```
/// use gradeloft_gateway::events::Splitter;
/// let mut splitter = Splitter::default();
/// splitter.feed(b"id: 3\ndata: x\n\nid: 4");
/// let event = splitter.take().unwrap().unwrap();
/// assert_eq!((event.id, &event.bytes[..]), (Some(3), &b"id: 3\ndata: x\n\n"[..]));
/// assert_eq!(splitter.take(), Ok(None));
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes at the front of `buffer` that hold no end of an event.
    searched: usize,
}

impl Splitter {
    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether part of an event is left.
    pub fn partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes the next whole event out.
    pub fn take(&mut self) -> Result<Option<Event>, TooLong> {
        let Some(end) = self.end() else {
            if MAX_EVENT < self.buffer.len() {
                return Err(TooLong);
            }
            self.searched = self.buffer.len().saturating_sub(3);
            return Ok(None);
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = id(&bytes);
        Ok(Some(Event { bytes, id }))
    }

    /// Position after the first empty line.
    fn end(&self) -> Option<usize> {
        let rest = &self.buffer[self.searched..];
        let mut line_start = None;
        for (idx, byte) in rest.iter().enumerate() {
            if *byte == b'\n' {
                if line_start.is_some() {
                    return Some(self.searched + idx + 1);
                }
                line_start = Some(idx + 1);
            } else if *byte != b'\r' {
                line_start = None;
            }
        }
        None
    }
}

/// How far a stream has been passed on, over all replicas that gave part of it.
///
/// ```
/// use bytes::BytesMut;
/// use gradeloft_gateway::events::{Cursor, Splitter};
/// let mut cursor = Cursor::default();
/// let mut out = BytesMut::new();
/// for replica in [&b"id: 1\n\nid: 2\n\nid: 3\nhal"[..], b"id: 2\n\nid: 3\n\n"] {
///     let mut splitter = Splitter::default();
///     splitter.feed(replica);
///     cursor.pass(&mut splitter, &mut out).unwrap();
/// }
/// assert_eq!(&out[..], b"id: 1\n\nid: 2\n\nid: 3\n\n");
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cursor {
    last: Option<u64>,
}

impl Cursor {
    /// Id of the last event that was passed on.
    pub fn last(self) -> Option<u64> {
        self.last
    }

    /// Moves whole events to `out`; those that were passed on before are left out.
    pub fn pass(&mut self, splitter: &mut Splitter, out: &mut BytesMut) -> Result<(), TooLong> {
        while let Some(event) = splitter.take()? {
            let had = event
                .id
                .is_some_and(|id| self.last.is_some_and(|it| id <= it));
            if had {
                continue;
            }
            self.last = event.id.or(self.last);
            out.extend_from_slice(&event.bytes);
        }
        Ok(())
    }
}

fn id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|it| *it == b'\n');
    let value = lines
        .filter_map(|it| it.strip_prefix(b"id:"))
        .next_back()?
        .trim_ascii();
    std::str::from_utf8(value).ok()?.parse().ok()
}
