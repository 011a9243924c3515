//! Length-prefixed bincode frames with bounded sizes.

use bincode::{Decode, Encode, config};
use bytes::{BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder as _, LengthDelimitedCodec};

/// Maximum memory allocated while decoding one frame, in bytes; larger than every allowed frame.
const DECODE_LIMIT: usize = 128 << 20;
const LENGTH_BYTES: usize = 4;

/// Reason why bytes are not a valid frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Malformed {
    /// The body is not an encoded message.
    Body,
    /// The frame is longer than allowed.
    Length,
    /// Bytes follow the message in the body.
    Trailing,
}

/// Encodes the body of a frame, without the length.
pub fn encode_body<T: Encode>(message: &T) -> Vec<u8> {
    // Encoding into a growable vector can't fail for the types of this crate.
    bincode::encode_to_vec(message, config()).unwrap_or_default()
}

/// Encodes a frame: four bytes of length, then the body.
pub fn encode_frame<T: Encode>(message: &T) -> Bytes {
    let body = encode_body(message);
    let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    bytes.put_u32(body.len() as u32);
    bytes.put_slice(&body);
    bytes.freeze()
}

/// Decodes a body; bytes that follow the message are an error.
pub fn decode_body<T: Decode<()>>(body: &[u8]) -> Result<T, Malformed> {
    let (message, used) =
        bincode::decode_from_slice(body, config()).map_err(|_| Malformed::Body)?;
    if used != body.len() {
        return Err(Malformed::Trailing);
    }
    Ok(message)
}

fn config() -> impl config::Config {
    config::standard().with_limit::<DECODE_LIMIT>()
}

/// Splits a stream of bytes into messages.
///
/// ```
/// use gradeloft_wire::{codec, frame::Call};
/// let mut decoder = codec::Decoder::new(1024);
/// decoder.feed(&codec::encode_frame(&Call::Watch));
/// assert_eq!(decoder.pop(), Ok(Some(Call::Watch)));
/// assert_eq!(decoder.pop::<Call>(), Ok(None));
/// ```
#[derive(Debug)]
pub struct Decoder {
    codec: LengthDelimitedCodec,
    /// Received bytes; at most one allowed frame plus the bytes of one read.
    buffer: BytesMut,
    /// Number of received bytes that belong to no removed message.
    unread: usize,
}

impl Decoder {
    /// Creates a decoder that rejects bodies longer than `max_bytes`.
    pub fn new(max_bytes: usize) -> Decoder {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(max_bytes)
            .new_codec();
        Decoder {
            codec,
            buffer: BytesMut::new(),
            unread: 0,
        }
    }

    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.unread += bytes.len();
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next message, if it has arrived completely.
    pub fn pop<T: Decode<()>>(&mut self) -> Result<Option<T>, Malformed> {
        match self.codec.decode(&mut self.buffer) {
            Ok(Some(body)) => {
                self.unread -= LENGTH_BYTES + body.len();
                decode_body(&body).map(Some)
            }
            Ok(None) => Ok(None),
            Err(_) => Err(Malformed::Length),
        }
    }

    /// Returns whether all received messages were removed, and no part of one has arrived.
    pub fn is_empty(&self) -> bool {
        self.unread == 0
    }
}
