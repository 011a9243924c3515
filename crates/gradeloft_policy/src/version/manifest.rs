//! List of the chunks of a version.

use std::collections::HashMap;

use gradeloft_wire::{
    border,
    id::Digest,
    schema::{self, Fault, Schema},
};

/// A chunk of a version's weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Digest of the content.
    pub digest: Digest,
    /// Size of the content, in bytes.
    pub size_bytes: u64,
}

/// Ordered list of the chunks of one version.
#[derive(Clone, Debug)]
pub struct Manifest {
    /// Digest of the manifest itself.
    pub digest: Digest,
    /// Chunks in order. The same digest may occur more than once.
    pub chunks: Vec<Chunk>,
}

impl Manifest {
    /// Parses a manifest whose digest has been verified, and checks its chunk sizes against
    /// `max_chunk_bytes`.
    pub fn parse(json: &[u8], max_chunk_bytes: u64) -> Result<Manifest, Vec<Fault>> {
        let parsed: border::manifest::Manifest = schema::from_json(Schema::Manifest, json)?;
        let mut chunks = Vec::with_capacity(parsed.chunks.len());
        for (idx, chunk) in parsed.chunks.iter().enumerate() {
            let path = format!("/chunks/{idx}");
            let digest = chunk.digest.parse();
            let digest = digest.map_err(|_| vec![Fault::new(path.clone(), "not a digest")])?;
            if max_chunk_bytes < chunk.size_bytes {
                let message = format!(
                    "chunk size of {} bytes exceeds the limit of {max_chunk_bytes} bytes",
                    chunk.size_bytes
                );
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
                format!("the sizes of the chunks sum to {sum}"),
            )]);
        }
        Ok(Manifest {
            digest: Digest::of(json),
            chunks,
        })
    }

    /// Returns the total size of the chunks, in bytes.
    pub fn size_bytes(&self) -> u64 {
        self.chunks.iter().map(|it| it.size_bytes).sum()
    }

    /// Returns each distinct chunk once, in order of first occurrence.
    pub fn distinct_chunks(&self) -> Vec<Chunk> {
        let mut seen = HashMap::new();
        let chunks = self.chunks.iter();
        chunks
            .filter(|it| seen.insert(it.digest, ()).is_none())
            .copied()
            .collect()
    }
}
