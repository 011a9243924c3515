//! Single-threaded HTTP/1 server with bounded resources, on top of `actix-http`.
//!
//! - [`intake`]: connections within the limits of a listener.
//! - [`listener`]: listening sockets.
//! - [`message`]: the requests and responses of handlers.
//! - [`server`]: the listener.
//!
//! ```
//! use gradeloft_http::{message, server::{Limits, Server}};
//! use std::rc::Rc;
//!
//! actix_rt::System::new().block_on(async {
//!     let handler = Rc::new(|_request| Box::pin(async { message::text(200, "hello") }) as _);
//!     let server = Server::start("127.0.0.1:0", Limits::default(), handler).await?;
//!     assert_ne!(server.address().port(), 0);
//!     std::io::Result::Ok(())
//! }).unwrap();
//! ```

pub mod intake;
pub mod listener;
pub mod message;
mod metered;
pub mod server;
