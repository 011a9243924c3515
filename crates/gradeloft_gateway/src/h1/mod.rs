//! HTTP/1.1 on connections of our own.
//!
//! Whether a request may have run depends on which bytes went out and how an answer ended, so the
//! connections are handled here byte by byte. Heads are parsed by `httparse`, the parser under
//! `actix-http`.
//!
//! - [`body`]: where a body ends.
//! - [`head`]: heads of requests and answers.
//! - [`wire`]: a connection and what has been read from it.

pub mod body;
pub mod head;
pub mod wire;

/// Bytes that are no HTTP.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;
