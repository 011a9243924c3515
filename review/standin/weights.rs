//! The weights: their pieces, their digests, and the service that hands them out.

use std::{io, net::TcpListener, sync::Arc};

use crate::{
    http::{self, Request, Wire},
    record::Record,
};

/// Number of pieces of the weights, as on the sheet.
pub const BLOCKS: u32 = 48;
/// Size of a piece in bytes, as on the sheet.
pub const BLOCK_BYTES: usize = 49_152;
/// Name of the model.
pub const MODEL: &str = "daka510000";

/// Returns a piece of a version.
pub fn piece(version: u64, idx: u32) -> Vec<u8> {
    let mut state = version << 32 | u64::from(idx) | 1 << 63;
    let mut next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state.to_le_bytes()
    };
    (0..BLOCK_BYTES / 8).flat_map(|_| next()).collect()
}

/// Starts the service with the weights.
pub fn start(listener: TcpListener, record: Arc<Record>) {
    let handler = move |request: Request, wire: &mut Wire| {
        let version = request.number("version").unwrap_or(1);
        if request.path.starts_with("/manifest/") {
            record.line(format_args!("origin: manifest of version {version} asked"));
            let hashes: Vec<String> = (0..BLOCKS)
                .map(|it| format!("\"{}\"", hex(&sha256(&piece(version, it)))))
                .collect();
            let body = format!(
                "{{\"model-id\":\"{MODEL}\",\"version\":{version},\"block-bytes\":{BLOCK_BYTES},\"layers\":16,\"hashes\":[{}]}}",
                hashes.join(",")
            );
            return wire.json(200, &body);
        }
        if request.path.starts_with("/piece/") {
            let idx = request.number("chunk-index").unwrap_or(0) as u32;
            let kind = ("Content-Type", "application/octet-stream");
            return wire.answer(200, &[kind], &piece(version, idx));
        }
        wire.json(404, "{}")
    };
    http::serve(listener, Arc::new(handler) as http::Handler);
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}

/// Returns the first 32 bits of the fractional part of a root of a prime.
fn root_bits(prime: u32, cube: bool) -> u32 {
    // Search for the root in steps of 2^-32 with whole numbers.
    let target = u128::from(prime) << if cube { 96 } else { 64 };
    let (mut low, mut high) = (0_u128, 1_u128 << 40);
    while low + 1 < high {
        let mid = (low + high) / 2;
        let power = if cube { mid * mid * mid } else { mid * mid };
        if power <= target { low = mid } else { high = mid }
    }
    low as u32
}

fn primes(count: usize) -> Vec<u32> {
    let is_prime = |it: &u32| (2..*it).all(|by| it % by != 0);
    (2..).filter(is_prime).take(count).collect()
}

/// Returns the SHA-256 of some bytes.
pub fn sha256(content: &[u8]) -> [u8; 32] {
    let constants: Vec<u32> = primes(64).into_iter().map(|it| root_bits(it, true)).collect();
    let mut state: Vec<u32> = primes(8).into_iter().map(|it| root_bits(it, false)).collect();
    let mut padded = content.to_vec();
    padded.push(0x80);
    padded.resize(padded.len().next_multiple_of(64), 0);
    if padded.len() < content.len() + 9 {
        padded.resize(padded.len() + 64, 0);
    }
    let end = padded.len() - 8;
    padded[end..].copy_from_slice(&(content.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        let words = block.chunks(4);
        let mut w: Vec<u32> = words.map(|it| u32::from_be_bytes(it.try_into().unwrap())).collect();
        for t in 16..64 {
            let s0 = w[t - 15].rotate_right(7) ^ w[t - 15].rotate_right(18) ^ w[t - 15] >> 3;
            let s1 = w[t - 2].rotate_right(17) ^ w[t - 2].rotate_right(19) ^ w[t - 2] >> 10;
            let sum = w[t - 16].wrapping_add(s0).wrapping_add(w[t - 7]);
            w.push(sum.wrapping_add(s1));
        }
        let mut v = state.clone();
        for t in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = v[4] & v[5] ^ !v[4] & v[6];
            let sum = v[7].wrapping_add(s1).wrapping_add(choice);
            let first = sum.wrapping_add(constants[t]).wrapping_add(w[t]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let majority = v[0] & v[1] ^ v[0] & v[2] ^ v[1] & v[2];
            let second = s0.wrapping_add(majority);
            v.rotate_right(1);
            v[4] = v[4].wrapping_add(first);
            v[0] = first.wrapping_add(second);
        }
        for (sum, it) in state.iter_mut().zip(v) {
            *sum = sum.wrapping_add(it);
        }
    }
    let mut out = [0; 32];
    for (place, it) in out.chunks_mut(4).zip(state) {
        place.copy_from_slice(&it.to_be_bytes());
    }
    out
}

/// Fails unless the digest of a known text is right.
pub fn check_digest() -> io::Result<()> {
    let expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    match hex(&sha256(b"abc")) == expected {
        true => Ok(()),
        false => Err(io::Error::other("the digest of the stand-in is wrong")),
    }
}
