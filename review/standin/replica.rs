//! A model replica: it streams events, loads the staged weights on an order, and writes itself into
//! the platform's list.

use std::{
    collections::HashMap,
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, Wire, field},
    record::Record,
    store::Store,
    weights::{self, BLOCKS, MODEL},
};

/// Requests that run at once, as on the sheet.
const SLOTS: usize = 16;
/// Time between two events of a stream; the sheet allows pauses of 300 ms.
const EVENT_PAUSE: Duration = Duration::from_millis(112);
/// Tokens of one event, as on the sheet.
const EVENT_TOKENS: u64 = 6;
/// Duration of a load, as on the sheet.
const WARM: Duration = Duration::from_millis(300);
/// Time between two writes to the platform's list.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// For this long before an order, a piece that turned bad is excused.
const EXCUSED: Duration = Duration::from_secs(3);

/// Layers as a replica loaded them.
#[derive(Clone, Debug)]
pub struct Loaded {
    pub version: u64,
    /// Pieces that were missing, spoilt or of another version when they were taken, unless they had
    /// turned bad in the last 3 s.
    pub faulty: Vec<u32>,
}

#[derive(Default)]
struct State {
    loaded: Option<Loaded>,
    staged: HashMap<u32, Vec<u8>>,
    /// Times at which pieces turned bad.
    rotted: HashMap<u32, Instant>,
    /// Version of the order in progress.
    ordered: Option<u64>,
    orders: u64,
    fence: u64,
    running: usize,
    /// Streams that began before this number of cuts are cut off.
    cuts: u64,
    /// Version of the last order that was accepted.
    accepted: Option<u64>,
    /// Pieces that were read in order since the staged pieces were last listed.
    read_back: u32,
    /// Tokens made on layers with faulty pieces.
    faulty_tokens: u64,
    tokens: u64,
    /// Ids of requests that ran, with the team and the version.
    ran: Vec<(String, Option<String>)>,
}

/// A replica.
pub struct Replica {
    pub id: String,
    address: SocketAddr,
    zone: String,
    state: Mutex<State>,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl Replica {
    /// Starts a replica with version 1.
    pub fn start(
        id: &str,
        zone: &str,
        listener: TcpListener,
        record: &Arc<Record>,
        store: &Arc<Store>,
    ) -> io::Result<Arc<Replica>> {
        let staged = (0..BLOCKS).map(|it| (it, weights::piece(1, it))).collect();
        let replica = Arc::new(Replica {
            id: id.to_owned(),
            address: listener.local_addr()?,
            zone: zone.to_owned(),
            state: Mutex::new(State {
                loaded: Some(Loaded {
                    version: 1,
                    faulty: Vec::new(),
                }),
                staged,
                ..State::default()
            }),
            record: Arc::clone(record),
            store: Arc::clone(store),
        });
        let serving = Arc::clone(&replica);
        let handler = move |request: Request, wire: &mut Wire| serving.handle(&request, wire);
        http::serve(listener, Arc::new(handler));
        let listed = Arc::clone(&replica);
        std::thread::spawn(move || {
            loop {
                listed.write_listing();
                std::thread::sleep(HEARTBEAT);
            }
        });
        Ok(replica)
    }

    fn line(&self, text: std::fmt::Arguments<'_>) {
        self.record.line(format_args!("{}: {text}", self.id));
    }

    fn write_listing(&self) {
        let state = self.state.lock().unwrap();
        let value = format!(
            "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"max-batch\":{SLOTS},\"state\":\"ready\",\"warmup-left-ms\":0,\"phase\":\"colocated\",{},\"seq-no\":{}}}",
            self.address,
            self.zone,
            layers(&state),
            state.orders
        );
        drop(state);
        self.store.put("keyed.servers", &self.id, &value);
    }

    /// Returns the version of the last order that was accepted.
    pub fn accepted(&self) -> Option<u64> {
        self.state.lock().unwrap().accepted
    }

    /// Returns the version that the replica serves.
    pub fn version(&self) -> Option<u64> {
        self.state.lock().unwrap().loaded.as_ref().map(|it| it.version)
    }

    /// Returns whether all staged pieces are those of a version, and were listed and read back since
    /// the last one was put.
    pub fn checked(&self, version: u64) -> bool {
        let state = self.state.lock().unwrap();
        let good = |it| state.staged.get(&it) == Some(&weights::piece(version, it));
        state.read_back == BLOCKS && (0..BLOCKS).all(good)
    }

    /// Returns the tokens made, and those made on layers with faulty pieces.
    pub fn tokens(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.tokens, state.faulty_tokens)
    }

    /// Returns the ids of the requests that ran, with their teams.
    pub fn ran(&self) -> Vec<(String, Option<String>)> {
        self.state.lock().unwrap().ran.clone()
    }

    /// Lets staged pieces turn bad.
    pub fn rot(&self, pieces: &[u32]) {
        let mut state = self.state.lock().unwrap();
        for idx in pieces {
            if let Some(content) = state.staged.get_mut(idx) {
                content[0] ^= 1;
                state.rotted.insert(*idx, Instant::now());
            }
        }
        drop(state);
        self.line(format_args!("staged pieces {pieces:?} turn bad"));
    }

    fn handle(self: &Arc<Self>, request: &Request, wire: &mut Wire) -> io::Result<()> {
        let path = request.path.as_str();
        match request.method.as_str() {
            "GET" if path == "/healthz" => wire.answer(200, &[("X-Replica-Id", &self.id)], b""),
            "GET" if path == "/report" => self.report(wire),
            "GET" if path.starts_with("/stage-get/") => self.stage_get(request, wire),
            "PUT" if path.starts_with("/stage-put/") => {
                let idx = request.number("chunk-index").unwrap_or(0) as u32;
                let mut state = self.state.lock().unwrap();
                state.rotted.remove(&idx);
                state.staged.insert(idx, request.body.clone());
                state.read_back = BLOCKS + 1;
                drop(state);
                wire.json(200, "{}")
            }
            "POST" if path == "/order" => self.order(request, wire),
            _ => self.run(request, wire),
        }
    }

    fn report(&self, wire: &mut Wire) -> io::Result<()> {
        let state = self.state.lock().unwrap();
        let body = format!(
            "{{\"phase\":\"colocated\",{},\"busy\":{},\"seq-no\":{},\"queued\":0,\"active\":{},\"kv-in-use\":0,\"kv-capacity-total\":685000,\"kv-handles\":0}}",
            layers(&state),
            state.ordered.is_some(),
            state.orders,
            state.running
        );
        drop(state);
        wire.json(200, &body)
    }

    fn stage_get(&self, request: &Request, wire: &mut Wire) -> io::Result<()> {
        let mut state = self.state.lock().unwrap();
        let Some(idx) = request.number("chunk-index") else {
            let mut held: Vec<u32> = state.staged.keys().copied().collect();
            held.sort_unstable();
            state.read_back = 0;
            let body = format!("{{\"held\":{held:?}}}");
            drop(state);
            return wire.json(200, &body);
        };
        if idx == u64::from(state.read_back) {
            state.read_back += 1;
        }
        let content = state.staged.get(&(idx as u32)).cloned();
        drop(state);
        match content {
            Some(content) => {
                let kind = ("Content-Type", "application/octet-stream");
                wire.answer(200, &[kind], &content)
            }
            None => wire.json(404, "{}"),
        }
    }

    /// Takes an order: the layers are read from the staged pieces as they are at this moment.
    fn order(self: &Arc<Self>, request: &Request, wire: &mut Wire) -> io::Result<()> {
        let text = String::from_utf8_lossy(&request.body).replace(' ', "");
        let number = |name: &str| -> u64 {
            let rest = text.split(&format!("\"{name}\":")).nth(1).unwrap_or("0");
            let end = rest.find(|it: char| !it.is_ascii_digit());
            rest[..end.unwrap_or(rest.len())].parse().unwrap_or(0)
        };
        if !text.contains("\"operation\":\"start\"") {
            return wire.json(400, "{}");
        }
        let (version, fence) = (number("version"), number("fencing-token"));
        let cuts = text.contains("\"truncate\"");
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        if fence < state.fence {
            return wire.json(412, "{}");
        }
        state.fence = fence;
        if state.loaded.as_ref().is_some_and(|it| it.version == version) {
            return wire.json(200, "{}");
        }
        if state.ordered.is_some() {
            return wire.json(409, "{}");
        }
        let is_faulty = |idx: &u32| {
            let good = state.staged.get(idx) == Some(&weights::piece(version, *idx));
            let turned = state.rotted.get(idx);
            !good && turned.is_none_or(|it| EXCUSED < now.duration_since(*it))
        };
        let faulty: Vec<u32> = (0..BLOCKS).filter(is_faulty).collect();
        let ages: Vec<f64> = faulty
            .iter()
            .filter_map(|it| state.rotted.get(it))
            .map(|it| now.duration_since(*it).as_secs_f64())
            .collect();
        state.ordered = Some(version);
        state.orders += 1;
        state.accepted = Some(version);
        if cuts {
            state.cuts += 1;
        }
        let running = state.running;
        drop(state);
        self.line(format_args!(
            "accepts the order for version {version} (cut off: {cuts}) with {running} requests running; pieces that were bad for over 3 s: {faulty:?}, for {ages:.1?} s"
        ));
        let loading = Arc::clone(self);
        std::thread::spawn(move || {
            while 0 < loading.state.lock().unwrap().running {
                std::thread::sleep(Duration::from_millis(5));
            }
            std::thread::sleep(WARM);
            let mut state = loading.state.lock().unwrap();
            state.loaded = Some(Loaded { version, faulty });
            state.ordered = None;
            drop(state);
            loading.line(format_args!("serves version {version}"));
            loading.write_listing();
        });
        wire.json(202, "{}")
    }

    /// Runs a request.
    fn run(&self, request: &Request, wire: &mut Wire) -> io::Result<()> {
        let Some(id) = field(&request.fields, "x-attempt-id") else {
            return wire.answer(400, &[("X-Not-Executed", "1")], b"");
        };
        let target = field(&request.fields, "x-target-replica");
        if target.is_some_and(|it| it != self.id) {
            let fields = [("X-Not-Executed", "1"), ("X-Replica-Id", &self.id)];
            return wire.answer(421, &fields, b"");
        }
        let team = field(&request.fields, "x-tenant").map(str::to_owned);
        let (loaded, cuts) = {
            let mut state = self.state.lock().unwrap();
            let free = state.running < SLOTS && state.ordered.is_none();
            let Some(loaded) = state.loaded.clone().filter(|_| free) else {
                drop(state);
                return wire.answer(503, &[("X-Not-Executed", "1")], b"");
            };
            state.running += 1;
            state.ran.push((id.to_owned(), team.clone()));
            (loaded, state.cuts)
        };
        self.line(format_args!(
            "runs {id} for tenant {} on version {}",
            team.as_deref().unwrap_or("-"),
            loaded.version
        ));
        let sent = match request.path.starts_with("/stream/") {
            true => self.stream(request, id, &loaded, cuts, wire),
            false => {
                std::thread::sleep(Duration::from_millis(20));
                let seal = format!("{}.{id}", self.id);
                let fields = [("X-Attempt-Id", id), ("X-Response-Seal", &seal)];
                wire.answer(200, &fields, format!("done {id}\n").as_bytes())
            }
        };
        self.state.lock().unwrap().running -= 1;
        sent
    }

    fn stream(
        &self,
        request: &Request,
        id: &str,
        loaded: &Loaded,
        cuts: u64,
        wire: &mut Wire,
    ) -> io::Result<()> {
        let usage = field(&request.fields, "x-token-usage").unwrap_or("1,60");
        let tokens: u64 = usage.split(',').nth(1).and_then(|it| it.parse().ok()).unwrap_or(60);
        let last = field(&request.fields, "last-event-id").and_then(|it| it.parse().ok());
        let deadline = field(&request.fields, "x-deadline-ms").and_then(|it| it.parse().ok());
        let until = Instant::now() + Duration::from_millis(deadline.unwrap_or(6_000));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {}.{id}\r\nX-Weight-Versions: {}\r\n\r\n",
            self.id, loaded.version
        );
        wire.stream.write_all(head.as_bytes())?;
        for number in last.unwrap_or(0) + 1..=tokens.div_ceil(EVENT_TOKENS) {
            std::thread::sleep(EVENT_PAUSE);
            let mut state = self.state.lock().unwrap();
            if state.cuts != cuts || until <= Instant::now() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            state.tokens += EVENT_TOKENS;
            if !loaded.faulty.is_empty() {
                state.faulty_tokens += EVENT_TOKENS;
            }
            drop(state);
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            wire.stream.write_all(chunk.as_bytes())?;
        }
        wire.stream.write_all(b"0\r\n\r\n")
    }
}

/// The fields that tell of the model.
fn layers(state: &State) -> String {
    match &state.loaded {
        Some(Loaded { version, .. }) => format!(
            "\"model-list\":[{{\"name\":\"{MODEL}\",\"version\":{version},\"loras\":[]}}],\"layers\":{{\"from\":0,\"to\":16,\"version\":{version}}}"
        ),
        None => "\"model-list\":[],\"layers\":null".to_owned(),
    }
}
