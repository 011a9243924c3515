//! Where a body ends.

use bytes::{BufMut, Bytes, BytesMut};

use super::{
    Malformed,
    head::{Fields, Request, Response},
};

/// Longest line that gives the size of a chunk, or trailer, in bytes.
const MAX_LINE: usize = 4096;

/// How a body is delimited.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// In chunks, of which an empty one is the last.
    Chunked,
    /// By the end of the connection. A reset is no end.
    Close,
    /// So many bytes.
    Length(u64),
}

impl Framing {
    /// Of a request's body. One that can be read in two ways is malformed.
    pub fn of_request(head: &Request) -> Result<Framing, Malformed> {
        let chunked = chunked(&head.fields)?;
        let length = length(&head.fields)?;
        match (chunked, length) {
            (true, Some(_)) => Err(Malformed),
            (true, None) => Ok(Framing::Chunked),
            (false, length) => Ok(Framing::Length(length.unwrap_or_default())),
        }
    }

    /// Of an answer's body.
    pub fn of_response(head: &Response, method: &[u8]) -> Result<Framing, Malformed> {
        let empty = matches!(head.status, 100..200 | 204 | 304);
        if empty || method.eq_ignore_ascii_case(b"HEAD") {
            return Ok(Framing::Length(0));
        }
        if chunked(&head.fields)? {
            return Ok(Framing::Chunked);
        }
        let length = length(&head.fields)?;
        Ok(length.map_or(Framing::Close, Framing::Length))
    }
}

fn chunked(fields: &Fields) -> Result<bool, Malformed> {
    let mut codings = fields.all("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(Malformed),
    }
}

fn length(fields: &Fields) -> Result<Option<u64>, Malformed> {
    let mut found = None;
    for value in fields.all("content-length") {
        let digits = value.trim_ascii();
        if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
            return Err(Malformed);
        }
        let text = std::str::from_utf8(digits).map_err(|_| Malformed)?;
        let length: u64 = text.parse().map_err(|_| Malformed)?;
        if found.is_some_and(|it| it != length) {
            return Err(Malformed);
        }
        found = Some(length);
    }
    Ok(found)
}

/// What the next bytes of a body are.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Piece {
    /// Some of the body.
    Data(Bytes),
    /// The body is whole.
    End,
    /// More has to be read first.
    More,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// In the line that gives a chunk's size.
    Size,
    /// So many bytes of data are left.
    Data(u64),
    /// At the line end after a chunk's data.
    DataEnd,
    /// In the lines after the last chunk.
    Trailer,
    Done,
}

/// Reads a body piece by piece.
///
/// ```
/// use bytes::BytesMut;
/// use gradeloft_gateway::h1::body::{Decoder, Framing, Piece};
/// let mut decoder = Decoder::new(Framing::Length(2));
/// let mut buffer = BytesMut::from(&b"hi!"[..]);
/// assert_eq!(decoder.take(&mut buffer), Ok(Piece::Data("hi".into())));
/// assert_eq!(decoder.take(&mut buffer), Ok(Piece::End));
/// assert_eq!(&buffer[..], b"!");
/// ```
#[derive(Clone, Debug)]
pub struct Decoder {
    framing: Framing,
    state: State,
}

impl Decoder {
    /// At the front of a body.
    pub fn new(framing: Framing) -> Decoder {
        let state = match framing {
            Framing::Chunked => State::Size,
            Framing::Close => State::Data(u64::MAX),
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Data(length),
        };
        Decoder { framing, state }
    }

    /// Whether all of the body has been read.
    pub fn done(&self) -> bool {
        self.state == State::Done
    }

    /// The connection ended in order. Gives whether that was the body's end.
    pub fn closed(&mut self) -> bool {
        if self.framing == Framing::Close {
            self.state = State::Done;
        }
        self.done()
    }

    /// Takes the next piece off the front of `buffer`.
    pub fn take(&mut self, buffer: &mut BytesMut) -> Result<Piece, Malformed> {
        loop {
            match self.state {
                State::Done => return Ok(Piece::End),
                State::Data(left) => {
                    if buffer.is_empty() {
                        return Ok(Piece::More);
                    }
                    let count = left.min(buffer.len() as u64);
                    self.state = self.after_data(left - count);
                    return Ok(Piece::Data(buffer.split_to(count as usize).freeze()));
                }
                State::DataEnd => {
                    if buffer.len() < 2 {
                        return Ok(Piece::More);
                    }
                    if &buffer.split_to(2)[..] != b"\r\n" {
                        return Err(Malformed);
                    }
                    self.state = State::Size;
                }
                State::Size => {
                    let Some(line) = line(buffer)? else {
                        return Ok(Piece::More);
                    };
                    self.state = match size(&line)? {
                        0 => State::Trailer,
                        size => State::Data(size),
                    };
                }
                State::Trailer => {
                    let Some(line) = line(buffer)? else {
                        return Ok(Piece::More);
                    };
                    if line.is_empty() {
                        self.state = State::Done;
                    }
                }
            }
        }
    }

    fn after_data(&self, left: u64) -> State {
        match (self.framing, left) {
            (Framing::Close, _) => State::Data(u64::MAX),
            (Framing::Chunked, 0) => State::DataEnd,
            (Framing::Length(_), 0) => State::Done,
            (_, left) => State::Data(left),
        }
    }
}

/// Takes a line off the front, without its end.
fn line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, Malformed> {
    let end = buffer.windows(2).position(|it| it == b"\r\n");
    match end {
        Some(end) => {
            let line = buffer.split_to(end);
            let _ = buffer.split_to(2);
            Ok(Some(line))
        }
        None if MAX_LINE < buffer.len() => Err(Malformed),
        None => Ok(None),
    }
}

fn size(line: &[u8]) -> Result<u64, Malformed> {
    let digits = line.split(|it| *it == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits.trim_ascii()).map_err(|_| Malformed)?;
    if text.is_empty() || 15 < text.len() || !text.bytes().all(|it| it.is_ascii_hexdigit()) {
        return Err(Malformed);
    }
    u64::from_str_radix(text, 16).map_err(|_| Malformed)
}

/// Writes a chunk.
pub fn put_chunk(out: &mut BytesMut, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    out.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.put_slice(data);
    out.put_slice(b"\r\n");
}

/// The end of a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
