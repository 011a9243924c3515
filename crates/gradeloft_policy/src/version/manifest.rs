//! The chunks of a version.

use std::collections::HashMap;

use gradeloft_wire::{
    border,
    id::Digest,
    schema::{self, Fault, Schema},
};

/// One chunk.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Its content's digest.
    pub digest: Digest,
    /// Its size, in bytes.
    pub size_bytes: u64,
}

/// The chunks of one version, in order.
#[derive(Clone, Debug)]
pub struct Manifest {
    /// Digest of the manifest itself.
    pub digest: Digest,
    /// Chunks in order. A digest may stand more than once.
    pub chunks: Vec<Chunk>,
}

impl Manifest {
    /// Reads a manifest whose digest has been checked, and checks its sizes against
    /// `max_chunk_bytes`.
    pub fn parse(json: &[u8], max_chunk_bytes: u64) -> Result<Manifest, Vec<Fault>> {
        let parsed: border::manifest::Manifest = schema::from_json(Schema::Manifest, json)?;
        let mut chunks = Vec::with_capacity(parsed.chunks.len());
        for (idx, chunk) in parsed.chunks.iter().enumerate() {
            let path = format!("/chunks/{idx}");
            let digest = chunk.digest.parse();
            let digest = digest.map_err(|_| vec![Fault::new(path.clone(), "no digest")])?;
            if max_chunk_bytes < chunk.size_bytes {
                let message = format!("{} bytes are over {max_chunk_bytes}", chunk.size_bytes);
                return Err(vec![Fault::new(path, message)]);
            }
            chunks.push(Chunk {
                digest,
                size_bytes: chunk.size_bytes,
            });
        }
        let sum: u64 = chunks.iter().map(|it| it.size_bytes).sum();
        if sum != parsed.size_bytes {
            return Err(vec![Fault::new(
                "/size_bytes",
                format!("the chunks' sum is {sum}"),
            )]);
        }
        Ok(Manifest {
            digest: Digest::of(json),
            chunks,
        })
    }

    /// Sum of the chunks' sizes, in bytes.
    pub fn size_bytes(&self) -> u64 {
        self.chunks.iter().map(|it| it.size_bytes).sum()
    }

    /// Each distinct chunk once, in order.
    pub fn distinct_chunks(&self) -> Vec<Chunk> {
        let mut seen = HashMap::new();
        let chunks = self.chunks.iter();
        chunks
            .filter(|it| seen.insert(it.digest, ()).is_none())
            .copied()
            .collect()
    }
}
