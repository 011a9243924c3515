//! Length-prefixed bincode frames with bounded sizes.

use bincode::{Decode, Encode, config};
use bytes::{BufMut, Bytes, BytesMut};
use tokio_util::codec::{Decoder as _, LengthDelimitedCodec};

/// Memory that decoding one frame may claim, in bytes; above every allowed frame.
const DECODE_LIMIT: usize = 128 << 20;
const LENGTH_BYTES: usize = 4;

/// Why bytes are no frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Malformed {
    /// The body is not an encoded message.
    Body,
    /// Longer than allowed.
    Length,
    /// Bytes follow the message.
    Trailing,
}

/// Body of a frame, without its length.
pub fn encode_body<T: Encode>(message: &T) -> Vec<u8> {
    // Encoding into a growing vector fails for no type of this crate.
    bincode::encode_to_vec(message, config()).unwrap_or_default()
}

/// A whole frame: four bytes of length, then the body.
pub fn encode_frame<T: Encode>(message: &T) -> Bytes {
    let body = encode_body(message);
    let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    bytes.put_u32(body.len() as u32);
    bytes.put_slice(&body);
    bytes.freeze()
}

/// Reads a body; bytes that follow the message are an error.
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
    /// Never longer than one allowed frame and what one read adds.
    buffer: BytesMut,
}

impl Decoder {
    /// A decoder that refuses bodies above `max_bytes`.
    pub fn new(max_bytes: usize) -> Decoder {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(max_bytes)
            .new_codec();
        Decoder {
            codec,
            buffer: BytesMut::new(),
        }
    }

    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes out the next message, if all of it has arrived.
    pub fn pop<T: Decode<()>>(&mut self) -> Result<Option<T>, Malformed> {
        match self.codec.decode(&mut self.buffer) {
            Ok(Some(body)) => decode_body(&body).map(Some),
            Ok(None) => Ok(None),
            Err(_) => Err(Malformed::Length),
        }
    }
}
