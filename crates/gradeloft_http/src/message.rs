//! Requests and responses of handlers.

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

use crate::intake::Reserve;

/// Reason why a request body can't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The process has no memory for the body at present.
    NoMemory,
    /// The body did not arrive in time.
    TimedOut,
    /// The body was truncated.
    Truncated,
    /// The body exceeds the limit.
    TooLarge,
}

/// Handle to the connection of a request.
#[derive(Clone, Debug, Default)]
pub struct Connection(pub(crate) Rc<Notify>);

impl Connection {
    /// Closes the connection without a response. Never returns, as the handler is dropped with the
    /// connection.
    pub async fn abort(&self) -> HttpResponse {
        self.0.notify_one();
        std::future::pending().await
    }
}

/// A request with its whole body.
#[derive(Debug)]
pub struct Request {
    /// Method in upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty for none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, or why it can't be read.
    pub body: Result<Bytes, BodyError>,
    /// Address of the client.
    pub peer: Option<IpAddr>,
    /// Connection of the request.
    pub connection: Connection,
    /// Whether the path and the headers are within the limit.
    pub head_fits: bool,
    /// Shared memory of the listener that the body takes.
    pub(crate) _memory: Option<Reserve>,
}

impl Request {
    /// Returns the text of a header; `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|it| it.to_str().ok())
    }

    /// Returns the value of a query parameter, without decoding it.
    pub fn query_param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|it| it.split_once('='));
        pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value)
            .next()
    }

    /// Returns the non-empty segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|it| !it.is_empty()).collect()
    }
}

/// A response.
pub type HttpResponse = Response<BoxBody>;

/// Creates a response with a JSON body.
pub fn json(status: u16, body: &impl Serialize) -> HttpResponse {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    bytes_of(status, "application/json", bytes)
}

/// Creates a response with a plain text body.
pub fn text(status: u16, body: &str) -> HttpResponse {
    bytes_of(
        status,
        "text/plain; charset=utf-8",
        body.as_bytes().to_vec(),
    )
}

/// Creates a response with a body of bytes.
pub fn bytes_of(status: u16, content_type: &str, body: impl Into<Bytes>) -> HttpResponse {
    let response = Response::with_body(status_code(status), BoxBody::new(body.into()));
    with_header(response, header::CONTENT_TYPE.as_str(), content_type)
}

/// Creates a response with a streamed body. The stream is dropped when the client disconnects.
pub fn stream<S>(status: u16, content_type: &str, body: S) -> HttpResponse
where
    S: Stream<Item = Result<Bytes, std::io::Error>> + 'static,
{
    let response = Response::with_body(status_code(status), BoxBody::new(BodyStream::new(body)));
    with_header(response, header::CONTENT_TYPE.as_str(), content_type)
}

/// Sets a header; ignores a name or value that isn't valid in a header.
pub fn with_header(mut response: HttpResponse, name: &str, value: &str) -> HttpResponse {
    let name = header::HeaderName::from_bytes(name.as_bytes());
    if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
        response.headers_mut().insert(name, value);
    }
    response
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
