//! A fake of the weight store and of the origin, and weights to put there.

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

/// Weights of one version, made up from a seed.
#[derive(Clone, Debug)]
pub struct Version {
    /// Model.
    pub model: String,
    /// Version.
    pub version: String,
    /// The manifest's bytes.
    pub manifest: Bytes,
    /// Chunks in order.
    pub chunks: Vec<Bytes>,
}

impl Version {
    /// Makes up `count` chunks of `chunk_bytes` each; the same for the same model and version.
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
            chunks: chunks.iter().map(entry).collect(),
        };
        let manifest = Bytes::from(serde_json::to_vec(&manifest).unwrap_or_default());
        Version {
            model: model.to_owned(),
            version: version.to_owned(),
            manifest,
            chunks,
        }
    }

    /// Digest of the manifest, in hex, as bundles name it.
    pub fn digest(&self) -> String {
        Digest::of(&self.manifest).to_string()
    }

    /// Sum of the chunks' sizes, in bytes.
    pub fn size_bytes(&self) -> u64 {
        self.chunks.iter().map(|it| it.len() as u64).sum()
    }
}

fn entry(chunk: &Bytes) -> Chunk {
    Chunk {
        digest: Digest::of(chunk).to_string(),
        size_bytes: chunk.len() as u64,
    }
}

/// State and knobs of a store or an origin.
#[derive(Default)]
pub struct State {
    content: RefCell<HashMap<String, Bytes>>,
    /// Refuses every call while set.
    pub down: Cell<bool>,
    /// Answers 429 while set.
    pub rate_limited: Cell<bool>,
    /// Every so-many-th answer is corrupted; 0 for none.
    pub corrupt_every: Cell<u64>,
    /// Answers so far.
    pub answers: Cell<u64>,
    /// So many next answers stall for good.
    pub stall: Cell<u32>,
    /// Speed of its link in bytes a second; 0 for no limit.
    pub bytes_per_s: Cell<u64>,
    /// The links that answers cross, and the own address on them.
    pub links: RefCell<Option<(Arc<Links>, IpAddr)>>,
    link_free_at: Cell<Option<Instant>>,
    /// Bytes of content read so far.
    pub bytes_read: Cell<u64>,
    /// How often each content was read.
    pub reads: RefCell<HashMap<String, u64>>,
}

/// A store or an origin that listens.
pub struct Weights {
    /// State and knobs.
    pub state: Rc<State>,
    server: Server,
}

impl Weights {
    /// Starts an empty one.
    pub async fn start() -> std::io::Result<Weights> {
        let state = Rc::new(State::default());
        let server = start_server(Rc::clone(&state), answer).await?;
        Ok(Weights { state, server })
    }

    /// Base URL.
    pub fn url(&self) -> String {
        url(&self.server)
    }
}

impl State {
    /// Puts a version there.
    pub fn put(&self, version: &Version) {
        let mut content = self.content.borrow_mut();
        for bytes in version.chunks.iter().chain([&version.manifest]) {
            content.insert(Digest::of(bytes).to_string(), bytes.clone());
        }
    }

    /// Waits until the link has carried so many bytes more.
    async fn carry(&self, bytes: u64) {
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

fn one_of(knob: &Cell<u32>) -> bool {
    let left = knob.get();
    knob.set(left.saturating_sub(1));
    0 < left
}

async fn answer(state: Rc<State>, request: Request) -> HttpResponse {
    if state.down.get() {
        return refusal(503, "it is down");
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
    if one_of(&state.stall) {
        std::future::pending::<()>().await;
    }
    state.carry(content.len() as u64).await;
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
    let answers = state.answers.get() + 1;
    state.answers.set(answers);
    let every = state.corrupt_every.get();
    if 0 < every && answers.is_multiple_of(every) {
        let mut broken = content.to_vec();
        broken[0] ^= 1;
        return bytes_of(200, "application/octet-stream", broken);
    }
    bytes_of(200, "application/octet-stream", content)
}
