//! Bodies in segments, which all attempts of a request share.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};

/// Size of the first segment of a body, in bytes; an ordinary body has no other.
pub const FIRST_SEGMENT_BYTES: usize = 4 << 10;
/// Size of further segments, in bytes.
const SEGMENT_BYTES: usize = 64 << 10;

/// A complete body.
#[derive(Clone, Debug, Default)]
pub struct Body {
    segments: Rc<[Bytes]>,
    length: usize,
}

impl Body {
    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the segments in order.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> + Clone {
        self.segments.iter().map(|it| &it[..])
    }

    /// Returns the bytes from `offset` to the end of their segment; empty at the end of the body.
    pub fn part_at(&self, offset: usize) -> &[u8] {
        let mut start = 0;
        for segment in &*self.segments {
            if offset < start + segment.len() {
                return &segment[offset - start..];
            }
            start += segment.len();
        }
        &[]
    }
}

/// A body that is being received. Memory is allocated segment by segment.
///
/// ```
/// use gradeloft_gateway::h1::segments::Buffer;
/// let mut buffer = Buffer::new(Some(3));
/// assert_eq!(buffer.next_segment(), 3);
/// buffer.add_segment();
/// assert_eq!(buffer.fill(b"body"), b"y");
/// assert_eq!(buffer.finish().len(), 3);
/// ```
#[derive(Debug)]
pub struct Buffer {
    segments: Vec<Bytes>,
    last: BytesMut,
    length: usize,
    /// Length of the body, if it was announced.
    announced: Option<usize>,
}

impl Buffer {
    /// Creates an empty buffer.
    pub fn new(announced: Option<usize>) -> Buffer {
        Buffer {
            segments: Vec::new(),
            last: BytesMut::new(),
            length: 0,
            announced,
        }
    }

    /// Returns the number of bytes so far.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes so far.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the memory that is allocated, in bytes.
    pub fn allocated(&self) -> usize {
        self.segments.iter().map(Bytes::len).sum::<usize>() + self.last.capacity()
    }

    /// Returns the size of the next segment, in bytes.
    pub fn next_segment(&self) -> usize {
        let usual = match self.length {
            0 => FIRST_SEGMENT_BYTES,
            _ => SEGMENT_BYTES,
        };
        let left = self.announced.map(|it| it.saturating_sub(self.length));
        left.map_or(usual, |it| it.clamp(1, usual))
    }

    /// Allocates the next segment.
    pub fn add_segment(&mut self) {
        let size = self.next_segment();
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(size));
        if !full.is_empty() {
            self.segments.push(full.freeze());
        }
    }

    /// Copies bytes into the last segment, and returns those for which it has no room.
    pub fn fill<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let room = self.last.capacity() - self.last.len();
        let (fitting, rest) = data.split_at(room.min(data.len()));
        self.last.extend_from_slice(fitting);
        self.length += fitting.len();
        rest
    }

    /// Returns the complete body.
    pub fn finish(mut self) -> Body {
        if !self.last.is_empty() {
            self.segments.push(self.last.freeze());
        }
        Body {
            segments: self.segments.into(),
            length: self.length,
        }
    }
}
