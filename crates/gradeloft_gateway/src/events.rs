//! Parsing of event streams, as far as relaying complete events needs it.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// One complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Bytes of the event, including the empty line at its end.
    pub bytes: Bytes,
    /// Event id.
    pub id: Option<u64>,
}

/// Error for an event that exceeds the maximum size.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Splits a stream into events.
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
    /// Number of bytes at the front of `buffer` that contain no end of an event.
    searched: usize,
}

impl Splitter {
    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes the next complete event.
    pub fn take(&mut self) -> Result<Option<Event>, EventTooLong> {
        let Some(end) = self.event_end() else {
            if MAX_EVENT_BYTES < self.buffer.len() {
                return Err(EventTooLong);
            }
            self.searched = self.buffer.len().saturating_sub(3);
            return Ok(None);
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Ok(Some(Event { bytes, id }))
    }

    /// Returns the position after the first empty line.
    fn event_end(&self) -> Option<usize> {
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

/// Position up to which a stream has been relayed, across all replicas that sent part of it.
///
/// ```
/// use bytes::BytesMut;
/// use gradeloft_gateway::events::{Cursor, Splitter};
/// let mut cursor = Cursor::default();
/// let mut out = BytesMut::new();
/// for replica in [&b"id: 1\n\nid: 2\n\nid: 3\nhal"[..], b"id: 2\n\nid: 3\n\n"] {
///     let mut splitter = Splitter::default();
///     splitter.feed(replica);
///     cursor.relay_events(&mut splitter, &mut out).unwrap();
/// }
/// assert_eq!(&out[..], b"id: 1\n\nid: 2\n\nid: 3\n\n");
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cursor {
    last: Option<u64>,
}

impl Cursor {
    /// Returns the id of the last relayed event.
    pub fn last(self) -> Option<u64> {
        self.last
    }

    /// Moves complete events to `out`, without those that were relayed before.
    pub fn relay_events(
        &mut self,
        splitter: &mut Splitter,
        out: &mut BytesMut,
    ) -> Result<(), EventTooLong> {
        while let Some(event) = splitter.take()? {
            let already_sent = event
                .id
                .is_some_and(|id| self.last.is_some_and(|it| id <= it));
            if already_sent {
                continue;
            }
            self.last = event.id.or(self.last);
            out.extend_from_slice(&event.bytes);
        }
        Ok(())
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|it| *it == b'\n');
    let value = lines
        .filter_map(|it| it.strip_prefix(b"id:"))
        .next_back()?
        .trim_ascii();
    std::str::from_utf8(value).ok()?.parse().ok()
}
