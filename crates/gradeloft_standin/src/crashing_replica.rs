//! A fake of a replica that ends when it begins a marked request, and starts again a moment later.

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
};
use tokio_util::sync::CancellationToken;

/// Time from the beginning of a marked request to the end of its replica, in which other requests that are
/// in flight there can be observed.
const WORK: Duration = Duration::from_millis(30);
/// Time until it starts again.
const AWAY: Duration = Duration::from_millis(60);

/// What happened at a replica.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Unix millisecond of its present start.
    pub started_ms: u64,
    /// How often it has ended.
    pub crashes: usize,
    /// Requests that reached it.
    pub received: usize,
    /// Marked ones among them.
    pub marked: usize,
    /// Requests that it answered.
    pub answered: usize,
}

/// How a replica behaves.
#[derive(Clone, Debug)]
pub struct Behavior {
    /// Requests that contain this end it.
    pub marker: String,
    /// Name of the header that names a request, which answers repeat.
    pub request_header: String,
    /// Name of the header that marks its answers as its own.
    pub seal_header: String,
    /// How long it works on other requests.
    pub service_time: Duration,
}

/// A replica that ends when it begins a marked request.
#[derive(Clone)]
pub struct CrashingReplica {
    /// Where it listens while it runs.
    pub address: SocketAddr,
    stats: Rc<RefCell<Stats>>,
    /// The present start; cancelled when it crashes.
    running: Rc<RefCell<CancellationToken>>,
    changed: Rc<Notify>,
    held: Rc<Cell<bool>>,
    released: Rc<Notify>,
}

impl CrashingReplica {
    /// Listens on `address`.
    pub async fn start(address: SocketAddr, behavior: Behavior) -> io::Result<CrashingReplica> {
        let listener = TcpListener::bind(address).await?;
        let replica = CrashingReplica {
            address,
            stats: Rc::new(RefCell::new(Stats {
                started_ms: 1_000,
                ..Stats::default()
            })),
            running: Rc::default(),
            changed: Rc::default(),
            held: Rc::default(),
            released: Rc::default(),
        };
        actix_rt::spawn(replica.clone().run(listener, Rc::new(behavior)));
        Ok(replica)
    }

    /// What happened so far.
    pub fn stats(&self) -> Stats {
        self.stats.borrow().clone()
    }

    /// Whether it runs now.
    pub fn is_running(&self) -> bool {
        !self.running.borrow().is_cancelled()
    }

    /// Ends it, whatever runs there.
    pub fn crash(&self) {
        self.running.borrow().cancel();
    }

    /// Whether it stays away once it has ended, until it is told otherwise.
    pub fn hold_restarts(&self, away: bool) {
        self.held.set(away);
        self.released.notify_waiters();
    }

    /// Waits until it has started again more often than `ends` says.
    pub async fn wait_for_restart(&self, crashes: usize) -> Stats {
        loop {
            let changed = self.changed.notified();
            let stats = self.stats();
            if crashes < stats.crashes {
                return stats;
            }
            changed.await;
        }
    }

    async fn run(self, mut listener: TcpListener, behavior: Rc<Behavior>) {
        loop {
            let running = self.running.borrow().clone();
            loop {
                tokio::select! {
                    () = running.cancelled() => break,
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        let connection = Connection {
                            behavior: Rc::clone(&behavior),
                            stats: Rc::clone(&self.stats),
                            running: running.clone(),
                        };
                        actix_rt::spawn(connection.serve(stream));
                    }
                }
            }
            drop(listener);
            actix_rt::time::sleep(AWAY).await;
            while self.held.get() {
                self.released.notified().await;
            }
            let Ok(again) = TcpListener::bind(self.address).await else {
                return;
            };
            listener = again;
            *self.running.borrow_mut() = CancellationToken::new();
            let mut stats = self.stats.borrow_mut();
            stats.started_ms += 1_000;
            stats.crashes += 1;
            drop(stats);
            self.changed.notify_waiters();
        }
    }
}

struct Connection {
    behavior: Rc<Behavior>,
    stats: Rc<RefCell<Stats>>,
    running: CancellationToken,
}

impl Connection {
    async fn serve(self, mut stream: TcpStream) {
        tokio::select! {
            () = self.running.cancelled() => {
                // As a process that ends with unread bytes leaves its connections.
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            _ = self.answers(&mut stream) => {}
        }
    }

    async fn answers(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        loop {
            let Some(request) = read(stream, &mut buffer).await? else {
                return Ok(());
            };
            self.stats.borrow_mut().received += 1;
            if request.contains(&self.behavior.marker) {
                self.stats.borrow_mut().marked += 1;
                actix_rt::time::sleep(WORK).await;
                self.running.cancel();
                std::future::pending::<()>().await;
            }
            actix_rt::time::sleep(self.behavior.service_time).await;
            self.stats.borrow_mut().answered += 1;
            let behavior = &self.behavior;
            let id = field(&request, &behavior.request_header);
            let answer = format!(
                "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: s\r\nContent-Length: 2\r\n\r\nok",
                behavior.request_header, behavior.seal_header
            );
            stream.write_all(answer.as_bytes()).await?;
        }
    }
}

/// The next request, whole; `None` at the end of the connection.
async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let length: usize = field(&text[..end], "content-length").parse().unwrap_or(0);
            let whole = end + 4 + length;
            if whole <= buffer.len() {
                buffer.drain(..whole);
                return Ok(Some(text[..whole].to_owned()));
            }
        }
        let mut piece = [0; 4096];
        match stream.read(&mut piece).await? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&piece[..count]),
        }
    }
}

/// Value of a header field; empty without it.
fn field<'a>(request: &'a str, name: &str) -> &'a str {
    let fields = request.lines().filter_map(|it| it.split_once(": "));
    let mut named = fields.filter(|(it, _)| it.eq_ignore_ascii_case(name));
    named.next().map_or("", |(_, value)| value.trim())
}
