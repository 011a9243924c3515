//! Streams of bincode frames over HTTP/2 between the processes of the system.
//!
//! - [`client`]: a pool of connections, and replies received over them.
//! - [`server`]: the listener, and replies sent over its connections.

pub mod client;
pub mod server;

const STREAM_WINDOW: u32 = 1 << 20;
const CONNECTION_WINDOW: u32 = 8 << 20;
const MAX_H2_FRAME: u32 = 64 << 10;
/// Bytes of one reply that this process buffers for the connection; above this, the sender waits.
/// So most of a reply has been sent to the network when its sender is done.
const SEND_BUFFER: usize = 64 << 10;
/// Unsent bytes of a connection that the kernel buffers. By default it buffers megabytes at any
/// speed of the link, so a limit on concurrent uploads would have no effect: six peers that lack a
/// record of 0.7 MB would all get it from the same peer, over a link of 1.4 MB/s.
const NOT_SENT_LOWAT: u32 = 64 << 10;
/// Maximum number of bytes that the frame of a chunk adds to its content.
const CHUNK_FRAME_OVERHEAD: usize = 64;

/// Returns the size of the largest frame that is accepted, in bytes, by the limits of the settings.
pub fn max_frame(limits: &gradeloft_wire::border::settings::Limits) -> usize {
    let chunk = limits.chunk_bytes as usize + CHUNK_FRAME_OVERHEAD;
    chunk.max(limits.frame_bytes as usize)
}
