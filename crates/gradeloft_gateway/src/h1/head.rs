//! Heads of requests and responses.

use std::ops::RangeInclusive;

use bytes::{BufMut, Bytes, BytesMut};

use super::Malformed;

/// Maximum number of headers in one head.
const MAX_HEADERS: usize = 96;

/// Statuses of HTTP.
const STATUSES: RangeInclusive<u16> = 100..=599;
/// Largest head of a response, in bytes; four times the usual limit for requests.
const MAX_RESPONSE_BYTES: usize = 32 << 10;

/// End of a head.
const END: &[u8] = b"\r\n\r\n";

/// Hop-by-hop headers, which are never forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A header as it was received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// Name, in the sender's spelling.
    pub name: Bytes,
    /// Value.
    pub value: Bytes,
}

/// Headers in the order in which they were received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fields(pub Vec<Header>);

impl Fields {
    /// Returns the value of the first header with this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        let named = |it: &&Header| it.name.eq_ignore_ascii_case(name.as_bytes());
        let found = self.0.iter().find(named)?;
        std::str::from_utf8(&found.value).ok()
    }

    /// Returns the values of all headers with this name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = move |it: &&Header| it.name.eq_ignore_ascii_case(name.as_bytes());
        self.0.iter().filter(named).map(|it| &it.value[..])
    }

    /// Returns whether a comma-separated header contains a token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            let mut tokens = value.split(|it| *it == b',');
            tokens.any(|it| it.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Returns the headers to forward: all but the hop-by-hop headers and those named in `drop`.
    pub fn forwarded<'a>(&'a self, drop: &'a [&str]) -> impl Iterator<Item = &'a Header> {
        self.0.iter().filter(move |it| {
            let is = |name: &str| it.name.eq_ignore_ascii_case(name.as_bytes());
            let hop_by_hop = HOP_BY_HOP.iter().any(|name| is(name));
            let listed = || {
                std::str::from_utf8(&it.name).is_ok_and(|name| self.has_token("connection", name))
            };
            !hop_by_hop && !drop.iter().any(|name| is(name)) && !listed()
        })
    }
}

/// Head of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Method.
    pub method: Bytes,
    /// Path and query.
    pub target: Bytes,
    /// Whether the version is HTTP/1.1 rather than 1.0.
    pub is_http_1_1: bool,
    /// Headers.
    pub fields: Fields,
}

impl Request {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        let end = self.target.iter().position(|it| *it == b'?');
        let path = &self.target[..end.unwrap_or(self.target.len())];
        std::str::from_utf8(path).unwrap_or_default()
    }

    /// Returns whether the connection may carry another request after this one.
    pub fn keeps_connection(&self) -> bool {
        keeps_connection(self.is_http_1_1, &self.fields)
    }
}

/// Returns whether responses to a method end with their heads, whatever their headers say.
pub fn ends_with_head(method: &[u8]) -> bool {
    method.eq_ignore_ascii_case(b"HEAD")
}

/// Head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: Bytes,
    /// Whether the version is HTTP/1.1 rather than 1.0.
    pub is_http_1_1: bool,
    /// Headers.
    pub fields: Fields,
}

impl Response {
    /// Returns whether the connection may carry another request after this response.
    pub fn keeps_connection(&self) -> bool {
        keeps_connection(self.is_http_1_1, &self.fields)
    }

    /// Returns the time for which the peer keeps an idle connection open, in milliseconds.
    pub fn keep_alive_ms(&self) -> Option<u64> {
        let value = self.fields.get("keep-alive")?;
        let timeout = value
            .split(',')
            .find_map(|it| it.trim().strip_prefix("timeout="))?;
        timeout.trim().parse::<u64>().ok().map(|it| it * 1000)
    }
}

fn keeps_connection(is_http_1_1: bool, fields: &Fields) -> bool {
    if is_http_1_1 {
        !fields.has_token("connection", "close")
    } else {
        fields.has_token("connection", "keep-alive")
    }
}

/// Returns whether a line of a head ends with a line feed alone. The parser would take such a byte at the
/// start of a field's name for the end of the head, and the fields after it for the body.
fn has_bare_line_feed(head: &[u8]) -> bool {
    head.windows(2).any(|it| it[1] == b'\n' && it[0] != b'\r')
}

/// Takes the head of a request from the front of `buffer`; returns `None` while it is incomplete.
pub fn request(buffer: &mut BytesMut) -> Result<Option<Request>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(buffer).map_err(|_| Malformed)? {
        httparse::Status::Complete(length) if has_bare_line_feed(&buffer[..length]) => {
            return Err(Malformed);
        }
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial => return Ok(None),
    };
    let method = span(buffer, parsed.method.unwrap_or_default().as_bytes());
    let target = span(buffer, parsed.path.unwrap_or_default().as_bytes());
    let is_http_1_1 = parsed.version == Some(1);
    let spans = spans(buffer, parsed.headers);
    let bytes = buffer.split_to(length).freeze();
    Ok(Some(Request {
        method: bytes.slice(method),
        target: bytes.slice(target),
        is_http_1_1,
        fields: fields(&bytes, spans),
    }))
}

/// Returns whether `buffer` begins with a complete head. A head that exceeds the largest size of a
/// response's head is malformed.
pub fn is_complete(buffer: &[u8]) -> Result<bool, Malformed> {
    let complete = buffer.windows(END.len()).any(|it| it == END);
    match complete {
        false if MAX_RESPONSE_BYTES < buffer.len() => Err(Malformed),
        complete => Ok(complete),
    }
}

/// Takes the head of a response from the front of `buffer`; returns `None` while it is incomplete. A
/// head that exceeds its largest size, or whose status has no meaning in HTTP, is malformed.
pub fn response(buffer: &mut BytesMut) -> Result<Option<Response>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(buffer).map_err(|_| Malformed)? {
        httparse::Status::Complete(length) if has_bare_line_feed(&buffer[..length]) => {
            return Err(Malformed);
        }
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if MAX_RESPONSE_BYTES < buffer.len() => return Err(Malformed),
        httparse::Status::Partial => return Ok(None),
    };
    let reason = span(buffer, parsed.reason.unwrap_or_default().as_bytes());
    let is_http_1_1 = parsed.version == Some(1);
    let status = parsed
        .code
        .filter(|it| STATUSES.contains(it))
        .ok_or(Malformed)?;
    let spans = spans(buffer, parsed.headers);
    let bytes = buffer.split_to(length).freeze();
    Ok(Some(Response {
        status,
        reason: bytes.slice(reason),
        is_http_1_1,
        fields: fields(&bytes, spans),
    }))
}

type Span = std::ops::Range<usize>;

/// Returns the range of `part` in `buffer`; an empty part lies at the front.
fn span(buffer: &[u8], part: &[u8]) -> Span {
    if part.is_empty() {
        return 0..0;
    }
    let start = part.as_ptr() as usize - buffer.as_ptr() as usize;
    start..start + part.len()
}

fn spans(buffer: &[u8], headers: &[httparse::Header<'_>]) -> Vec<(Span, Span)> {
    let headers = headers.iter();
    headers
        .map(|it| (span(buffer, it.name.as_bytes()), span(buffer, it.value)))
        .collect()
}

fn fields(bytes: &Bytes, spans: Vec<(Span, Span)>) -> Fields {
    let spans = spans.into_iter();
    let headers = spans.map(|(name, value)| Header {
        name: bytes.slice(name),
        value: bytes.slice(value),
    });
    Fields(headers.collect())
}

/// Appends a header.
pub fn put_header(out: &mut BytesMut, name: &[u8], value: &[u8]) {
    out.put_slice(name);
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}
