//! Requests as handlers get them, and answers as they give them.

use std::{net::IpAddr, rc::Rc};

use actix_http::{
    Response, StatusCode,
    body::{BodyStream, BoxBody},
    header::{self, HeaderMap, HeaderValue},
};
use bytes::Bytes;
use futures_util::Stream;
use serde::Serialize;
use tokio::sync::Notify;

/// The body is over the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// It broke off.
    Truncated,
    /// It is over the limit.
    TooLarge,
}

/// Ends a connection without an answer.
#[derive(Clone, Debug, Default)]
pub struct Connection(pub(crate) Rc<Notify>);

impl Connection {
    /// Ends it; what the handler would have answered is never sent, so this never returns.
    pub async fn abort(&self) -> HttpResponse {
        self.0.notify_one();
        std::future::pending().await
    }
}

/// A request with its whole body.
#[derive(Debug)]
pub struct Request {
    /// Method, in capitals.
    pub method: String,
    /// Path, without the query.
    pub path: String,
    /// Query, without the question mark; empty for none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, if it is within the limit.
    pub body: Result<Bytes, BodyError>,
    /// Who connected.
    pub peer: Option<IpAddr>,
    /// The connection that it came on.
    pub connection: Connection,
    /// Whether the headers are within the limit.
    pub head_fits: bool,
}

impl Request {
    /// A header's text; `None` when it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|it| it.to_str().ok())
    }

    /// A value of the query, as it stands there.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|it| it.split_once('='));
        pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value)
            .next()
    }

    /// The path's segments.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|it| !it.is_empty()).collect()
    }
}

/// An answer.
pub type HttpResponse = Response<BoxBody>;

/// An answer with a JSON body.
pub fn json(status: u16, body: &impl Serialize) -> HttpResponse {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    bytes_of(status, "application/json", bytes)
}

/// An answer of plain text.
pub fn text(status: u16, body: &str) -> HttpResponse {
    bytes_of(
        status,
        "text/plain; charset=utf-8",
        body.as_bytes().to_vec(),
    )
}

/// An answer of bytes.
pub fn bytes_of(status: u16, content_type: &str, body: impl Into<Bytes>) -> HttpResponse {
    let answer = Response::with_body(code(status), BoxBody::new(body.into()));
    with_header(answer, header::CONTENT_TYPE.as_str(), content_type)
}

/// An answer whose body comes bit by bit; dropped when the client goes away.
pub fn stream<S>(status: u16, content_type: &str, body: S) -> HttpResponse
where
    S: Stream<Item = Result<Bytes, std::io::Error>> + 'static,
{
    let answer = Response::with_body(code(status), BoxBody::new(BodyStream::new(body)));
    with_header(answer, header::CONTENT_TYPE.as_str(), content_type)
}

/// Adds a header; one whose value is not allowed in headers is left out.
pub fn with_header(mut answer: HttpResponse, name: &str, value: &str) -> HttpResponse {
    let name = header::HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        answer.headers_mut().insert(name, value);
    }
    answer
}

fn code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
