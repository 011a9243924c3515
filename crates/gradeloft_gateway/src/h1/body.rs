//! Framing of request and response bodies.

use bytes::{BufMut, Bytes, BytesMut};

use super::{
    Malformed,
    head::{Fields, Request, Response, ends_with_head},
};

/// Maximum length of a chunk-size line or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4096;
/// Line ends of the size and the data of a chunk, in bytes.
const CHUNK_LINE_ENDS: usize = 4;
/// Maximum length of all trailer lines, in bytes.
const MAX_TRAILER_BYTES: usize = 16 << 10;

/// Framing of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// Chunked coding, ended by an empty chunk.
    Chunked,
    /// The body ends with an orderly close of the connection; a reset does not end it.
    Close,
    /// The body has a fixed length in bytes.
    Length(u64),
}

impl Framing {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Framing::Chunked => "chunked",
            Framing::Close => "close",
            Framing::Length(_) => "length",
        }
    }

    /// Returns the framing of a request body. An ambiguous one is malformed.
    pub fn of_request(head: &Request) -> Result<Framing, Malformed> {
        let chunked = is_chunked(&head.fields)?;
        let length = content_length(&head.fields)?;
        match (chunked, length) {
            (true, Some(_)) => Err(Malformed),
            (true, None) => Ok(Framing::Chunked),
            (false, length) => Ok(Framing::Length(length.unwrap_or_default())),
        }
    }

    /// Returns the framing of a response body.
    pub fn of_response(head: &Response, method: &[u8]) -> Result<Framing, Malformed> {
        let empty = matches!(head.status, 100..200 | 204 | 304);
        if empty || ends_with_head(method) {
            return Ok(Framing::Length(0));
        }
        if is_chunked(&head.fields)? {
            return Ok(Framing::Chunked);
        }
        let length = content_length(&head.fields)?;
        Ok(length.map_or(Framing::Close, Framing::Length))
    }
}

fn is_chunked(fields: &Fields) -> Result<bool, Malformed> {
    let mut codings = fields.all("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(Malformed),
    }
}

fn content_length(fields: &Fields) -> Result<Option<u64>, Malformed> {
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

/// Next piece of a body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Piece {
    /// Part of the body.
    Data(Bytes),
    /// The body is complete.
    End,
    /// More bytes must be received first.
    More,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// In a chunk-size line.
    Size,
    /// In data, with this number of bytes left.
    Data(u64),
    /// At the line end after a chunk's data.
    DataEnd,
    /// In the trailer lines after the last chunk, after this number of bytes.
    Trailer(usize),
    Done,
}

/// Decodes a body piece by piece.
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
    /// Bytes that were taken and are not part of the body.
    overhead: usize,
}

impl Decoder {
    /// Creates a decoder at the start of a body.
    pub fn new(framing: Framing) -> Decoder {
        let state = match framing {
            Framing::Chunked => State::Size,
            Framing::Close => State::Data(u64::MAX),
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Data(length),
        };
        Decoder {
            framing,
            state,
            overhead: 0,
        }
    }

    /// Returns the number of bytes so far that are not part of the body.
    pub fn overhead(&self) -> usize {
        self.overhead
    }

    /// Returns whether the body has been read completely.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns whether the body may end with an orderly close of the connection.
    pub fn may_end_at_eof(&self) -> bool {
        self.framing == Framing::Close || self.is_done()
    }

    /// Handles an orderly close of the connection; returns whether the body is complete.
    pub fn finish_at_eof(&mut self) -> bool {
        if self.framing == Framing::Close {
            self.state = State::Done;
        }
        self.is_done()
    }

    /// Takes the next piece from the front of `buffer`.
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
                    let Some(line) = take_line(buffer)? else {
                        return Ok(Piece::More);
                    };
                    self.overhead += line.len() + CHUNK_LINE_ENDS;
                    self.state = match parse_chunk_size(&line)? {
                        0 => State::Trailer(0),
                        size => State::Data(size),
                    };
                }
                State::Trailer(before) => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(Piece::More);
                    };
                    let bytes = before + line.len();
                    if MAX_TRAILER_BYTES < bytes {
                        return Err(Malformed);
                    }
                    self.state = match line.is_empty() {
                        true => State::Done,
                        false => State::Trailer(bytes),
                    };
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

/// Takes a line from the front of `buffer`, without its line end.
fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, Malformed> {
    let end = buffer.windows(2).position(|it| it == b"\r\n");
    match end {
        Some(end) => {
            let line = buffer.split_to(end);
            let _ = buffer.split_to(2);
            Ok(Some(line))
        }
        None if MAX_LINE_BYTES < buffer.len() => Err(Malformed),
        None => Ok(None),
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, Malformed> {
    let digits = line.split(|it| *it == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits.trim_ascii()).map_err(|_| Malformed)?;
    if text.is_empty() || 15 < text.len() || !text.bytes().all(|it| it.is_ascii_hexdigit()) {
        return Err(Malformed);
    }
    u64::from_str_radix(text, 16).map_err(|_| Malformed)
}

/// Appends a chunk; an empty one is left out, as it would end the body.
pub fn put_chunk(out: &mut BytesMut, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    out.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.put_slice(data);
    out.put_slice(b"\r\n");
}

/// End of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
