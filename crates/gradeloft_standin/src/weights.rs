//! A fake of the weight store and of the origin, and generated weights.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::IpAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use gradeloft_http::{
    message::{HttpResponse, Request, bytes_of, with_header},
    server::Server,
};
use gradeloft_wire::{
    border::manifest::{Chunk, Manifest},
    id::Digest,
};
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::{link::Links, refusal, start_server, url};

/// Generated weights of one version.
#[derive(Clone, Debug)]
pub struct Version {
    /// Name of the model.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Encoded manifest.
    pub manifest: Bytes,
    /// Chunks in the order of the manifest.
    pub chunks: Vec<Bytes>,
}

impl Version {
    /// Generates `count` chunks of `chunk_bytes` bytes each. Equal arguments give equal weights.
    pub fn new(model: &str, version: &str, count: usize, chunk_bytes: usize) -> Version {
        let seed = Digest::of(format!("{model}/{version}").as_bytes());
        let mut rng = ChaCha8Rng::from_seed(seed.0);
        let chunk = |_| {
            let mut bytes = vec![0; chunk_bytes];
            rng.fill_bytes(&mut bytes);
            Bytes::from(bytes)
        };
        let chunks: Vec<Bytes> = (0..count).map(chunk).collect();
        let manifest = Manifest {
            model: model.to_owned(),
            version: version.to_owned(),
            size_bytes: (count * chunk_bytes) as u64,
            chunks: chunks.iter().map(manifest_entry).collect(),
        };
        let manifest = Bytes::from(serde_json::to_vec(&manifest).unwrap_or_default());
        Version {
            model: model.to_owned(),
            version: version.to_owned(),
            manifest,
            chunks,
        }
    }

    /// Returns the digest of the manifest in hexadecimal, as in bundles.
    pub fn digest(&self) -> String {
        Digest::of(&self.manifest).to_string()
    }

    /// Returns the total size of the chunks, in bytes.
    pub fn size_bytes(&self) -> u64 {
        self.chunks.iter().map(|it| it.len() as u64).sum()
    }
}

fn manifest_entry(chunk: &Bytes) -> Chunk {
    Chunk {
        digest: Digest::of(chunk).to_string(),
        size_bytes: chunk.len() as u64,
    }
}

/// State and fault settings of a store or an origin.
#[derive(Default)]
pub struct State {
    content: RefCell<HashMap<String, Bytes>>,
    /// Whether every call is refused.
    pub down: Cell<bool>,
    /// Whether every call gets a response with status 429.
    pub rate_limited: Cell<bool>,
    /// Every n-th handle_request is corrupted; 0 disables corruption.
    pub corrupt_every: Cell<u64>,
    /// Number of responses with content so far.
    pub responses: Cell<u64>,
    /// Number of next reads that never get an handle_request.
    pub stall: Cell<u32>,
    /// Bandwidth of the server's link, in bytes per second; 0 means unlimited.
    pub bytes_per_s: Cell<u64>,
    /// Links that carry responses, and the server's address on them.
    pub links: RefCell<Option<(Arc<Links>, IpAddr)>>,
    link_free_at: Cell<Option<Instant>>,
    /// Size of the content sent so far, in bytes.
    pub bytes_read: Cell<u64>,
    /// Number of reads by digest of the content.
    pub reads: RefCell<HashMap<String, u64>>,
}

/// A listening store or origin.
pub struct Weights {
    /// State and fault settings.
    pub state: Rc<State>,
    server: Server,
}

impl Weights {
    /// Starts a server without content.
    pub async fn start() -> std::io::Result<Weights> {
        let state = Rc::new(State::default());
        let server = start_server(Rc::clone(&state), handle_request).await?;
        Ok(Weights { state, server })
    }

    /// Returns the base URL.
    pub fn url(&self) -> String {
        url(&self.server)
    }
}

impl State {
    /// Stores the manifest and the chunks of a version.
    pub fn put(&self, version: &Version) {
        let mut content = self.content.borrow_mut();
        for bytes in version.chunks.iter().chain([&version.manifest]) {
            content.insert(Digest::of(bytes).to_string(), bytes.clone());
        }
    }

    /// Waits until the link has transferred `bytes` more.
    async fn wait_for_link(&self, bytes: u64) {
        let rate = self.bytes_per_s.get();
        if rate == 0 {
            return;
        }
        let now = Instant::now();
        let start = self.link_free_at.get().unwrap_or(now).max(now);
        let end = start + Duration::from_secs_f64(bytes as f64 / rate as f64);
        self.link_free_at.set(Some(end));
        actix_rt::time::sleep_until(end).await;
    }
}

/// Decrements a counter and returns whether it was positive.
fn take_one(counter: &Cell<u32>) -> bool {
    let left = counter.get();
    counter.set(left.saturating_sub(1));
    0 < left
}

async fn handle_request(state: Rc<State>, request: Request) -> HttpResponse {
    if state.down.get() {
        return refusal(503, "the server is down");
    }
    if state.rate_limited.get() {
        return with_header(refusal(429, "too many reads"), "retry-after", "0.2");
    }
    let segments = request.segments();
    let ["v1", "content", digest] = segments.as_slice() else {
        return refusal(404, "no such call");
    };
    let Some(content) = state.content.borrow().get(*digest).cloned() else {
        return refusal(404, "no such content");
    };
    if take_one(&state.stall) {
        std::future::pending::<()>().await;
    }
    state.wait_for_link(content.len() as u64).await;
    let links = state.links.borrow().clone();
    if let (Some((links, own)), Some(to)) = (links, request.peer) {
        links.transfer(own, to, content.len()).await;
    }
    state
        .bytes_read
        .set(state.bytes_read.get() + content.len() as u64);
    *state
        .reads
        .borrow_mut()
        .entry((*digest).to_owned())
        .or_default() += 1;
    let responses = state.responses.get() + 1;
    state.responses.set(responses);
    let every = state.corrupt_every.get();
    if 0 < every && responses.is_multiple_of(every) {
        let mut corrupted = content.to_vec();
        corrupted[0] ^= 1;
        return bytes_of(200, "application/octet-stream", corrupted);
    }
    bytes_of(200, "application/octet-stream", content)
}
