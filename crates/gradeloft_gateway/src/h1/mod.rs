//! HTTP/1.1 on top of plain TCP connections.
//!
//! Whether a request may have been executed depends on which bytes were sent and how the response
//! ended, so connections are handled here byte by byte. Heads are parsed by `httparse`, the parser
//! that `actix-http` uses.
//!
//! - [`body`]: framing of bodies.
//! - [`head`]: heads of requests and responses.
//! - [`segments`]: bodies in segments.
//! - [`wire`]: a connection and its read buffer.

pub mod body;
pub mod head;
pub mod segments;
pub mod wire;

/// Error for bytes that are not valid HTTP.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;
