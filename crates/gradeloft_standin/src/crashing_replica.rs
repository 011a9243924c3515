//! A fake of a replica that crashes when it starts a marked request, and restarts after a delay.

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

/// Time from the start of a marked request to the crash, in which tests can observe other requests
/// in flight at the replica.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// Time from a crash to the restart.
const RESTART_DELAY: Duration = Duration::from_millis(60);

/// Counters of a replica.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Start time of the current run, in Unix milliseconds.
    pub started_ms: u64,
    /// Number of crashes.
    pub crashes: usize,
    /// Number of requests received.
    pub received: usize,
    /// Number of marked requests received.
    pub marked: usize,
    /// Number of requests answered.
    pub answered: usize,
}

/// What the caller of a marked request sees when its replica crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Crash {
    /// The connection is reset without a response.
    Reset,
    /// A response begins that has neither a length nor chunks, and its connection closes in order.
    LooksComplete,
}

/// Behavior of a replica.
#[derive(Clone, Debug)]
pub struct Behavior {
    /// Text in a request that crashes the replica.
    pub marker: String,
    /// What the caller of a marked request sees of the crash; other connections are reset.
    pub crash: Crash,
    /// Name of the request id header, which responses echo.
    pub request_header: String,
    /// Name of the response header that marks a response as sent by the replica.
    pub seal_header: String,
    /// Time to process a request that is not marked.
    pub service_time: Duration,
}

/// A replica that crashes when it starts a marked request.
#[derive(Clone)]
pub struct CrashingReplica {
    /// Listening address while the replica runs.
    pub address: SocketAddr,
    stats: Rc<RefCell<Stats>>,
    /// Token of the current run; a crash cancels it.
    running: Rc<RefCell<CancellationToken>>,
    restarted: Rc<Notify>,
    restarts_held: Rc<Cell<bool>>,
    hold_changed: Rc<Notify>,
}

impl CrashingReplica {
    /// Starts a replica on `address`.
    pub async fn start(address: SocketAddr, behavior: Behavior) -> io::Result<CrashingReplica> {
        let listener = TcpListener::bind(address).await?;
        let replica = CrashingReplica {
            address,
            stats: Rc::new(RefCell::new(Stats {
                started_ms: 1_000,
                ..Stats::default()
            })),
            running: Rc::default(),
            restarted: Rc::default(),
            restarts_held: Rc::default(),
            hold_changed: Rc::default(),
        };
        actix_rt::spawn(replica.clone().run(listener, Rc::new(behavior)));
        Ok(replica)
    }

    /// Returns the current counters.
    pub fn stats(&self) -> Stats {
        self.stats.borrow().clone()
    }

    /// Returns whether the replica runs.
    pub fn is_running(&self) -> bool {
        !self.running.borrow().is_cancelled()
    }

    /// Crashes the replica, also while requests are in flight.
    pub fn crash(&self) {
        self.running.borrow().cancel();
    }

    /// Sets whether the replica stays down after a crash.
    pub fn hold_restarts(&self, hold: bool) {
        self.restarts_held.set(hold);
        self.hold_changed.notify_waiters();
    }

    /// Waits until the replica has restarted after more than `crashes` crashes.
    pub async fn wait_for_restart(&self, crashes: usize) -> Stats {
        loop {
            let restarted = self.restarted.notified();
            let stats = self.stats();
            if crashes < stats.crashes {
                return stats;
            }
            restarted.await;
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
            actix_rt::time::sleep(RESTART_DELAY).await;
            while self.restarts_held.get() {
                self.hold_changed.notified().await;
            }
            let Ok(new_listener) = TcpListener::bind(self.address).await else {
                return;
            };
            listener = new_listener;
            *self.running.borrow_mut() = CancellationToken::new();
            let mut stats = self.stats.borrow_mut();
            stats.started_ms += 1_000;
            stats.crashes += 1;
            drop(stats);
            self.restarted.notify_waiters();
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
                // A process that exits with unread bytes resets its connections.
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            _ = self.handle_requests(&mut stream) => {}
        }
    }

    async fn handle_requests(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        loop {
            let Some(request) = read_request(stream, &mut buffer).await? else {
                return Ok(());
            };
            self.stats.borrow_mut().received += 1;
            if request.contains(&self.behavior.marker) {
                self.stats.borrow_mut().marked += 1;
                actix_rt::time::sleep(CRASH_DELAY).await;
                return self.crash(stream, &request).await;
            }
            actix_rt::time::sleep(self.behavior.service_time).await;
            self.stats.borrow_mut().answered += 1;
            let answer = format!("{}Content-Length: 2\r\n\r\nok", self.head(&request));
            stream.write_all(answer.as_bytes()).await?;
        }
    }

    /// Returns the head of a response, without a length.
    fn head(&self, request: &str) -> String {
        let Behavior {
            request_header,
            seal_header,
            ..
        } = &*self.behavior;
        let id = header_value(request, request_header);
        format!("HTTP/1.1 200 OK\r\n{request_header}: {id}\r\n{seal_header}: s\r\n")
    }

    /// Crashes the replica under the current request.
    async fn crash(&self, stream: &mut TcpStream, request: &str) -> io::Result<()> {
        if self.behavior.crash == Crash::LooksComplete {
            let head = format!("{}\r\n", self.head(request));
            stream.write_all(head.as_bytes()).await?;
            stream.shutdown().await?;
        }
        self.running.cancel();
        std::future::pending().await
    }
}

/// Reads the next request with its body; returns `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        let text = String::from_utf8_lossy(buffer).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let length: usize = header_value(&text[..end], "content-length")
                .parse()
                .unwrap_or(0);
            let request_end = end + 4 + length;
            if request_end <= buffer.len() {
                buffer.drain(..request_end);
                return Ok(Some(text[..request_end].to_owned()));
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Returns the value of a header field, or an empty string if it is absent.
fn header_value<'a>(request: &'a str, name: &str) -> &'a str {
    let fields = request.lines().filter_map(|it| it.split_once(": "));
    let mut named = fields.filter(|(it, _)| it.eq_ignore_ascii_case(name));
    named.next().map_or("", |(_, value)| value.trim())
}
