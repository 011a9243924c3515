//! Streams of bincode frames over h2 between gradeloft's own processes.
//!
//! - [`client`]: a pool of connections, and the answers that come over them.
//! - [`server`]: the listener, and the answers that go out.

pub mod client;
pub mod server;

const STREAM_WINDOW: u32 = 1 << 20;
const CONNECTION_WINDOW: u32 = 8 << 20;
const MAX_H2_FRAME: u32 = 64 << 10;
/// Bytes of one answer that wait in this process for the connection, above which its sender waits: the
/// rest stays where it comes from, and that an answer went out says that most of it is on its way.
const SEND_BUFFER: usize = 64 << 10;
/// Bytes of a connection that wait in the kernel before they go out, above which it takes no more. By
/// itself it takes megabytes, whatever the link carries, and what bounds how many are given to at once then
/// bounds nothing: without this, six peers that lacked a record of 0.7 MB all got it from the same one, over
/// 1.4 MB/s (test `those_that_have_a_record_give_it_on`).
const UNSENT: u32 = 64 << 10;
/// Bytes that a chunk's frame adds to its content.
const CHUNK_FRAME_SLACK: usize = 64;

/// Largest frame read, given the bounds of the settings.
pub fn max_frame(limits: &gradeloft_wire::border::settings::Limits) -> usize {
    let chunk = limits.chunk_bytes as usize + CHUNK_FRAME_SLACK;
    chunk.max(limits.frame_bytes as usize)
}
