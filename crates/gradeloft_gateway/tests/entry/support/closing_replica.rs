//! A replica whose response ends with its connection, and whoever has its address afterwards. It runs on
//! threads of its own, so that it acts at the moment of the close.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use gradeloft_daemon::clock::Clock;
use gradeloft_policy::clock::Time;
use socket2::{Domain, Socket, Type};

/// Id under which the replica is listed.
pub(crate) const ID: &str = "i-0";
/// Start time of the replica.
pub(crate) const BORN: u64 = 1_000;
/// Path of health checks.
pub(crate) const HEALTH_PATH: &str = "/health";
/// Path of a replica's own state.
pub(crate) const STATE_PATH: &str = "/state";
/// Time for which a dying process keeps its port open after the connection of a request.
const DYING: Duration = Duration::from_millis(40);
/// Time after which a test's threads end.
const END: Duration = Duration::from_secs(9);
/// Pause between two looks at a socket.
const POLL: Duration = Duration::from_millis(1);

/// Who has the address of a replica after the connection of its response has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Successor {
    /// The replica itself, which runs.
    Itself,
    /// The replica's process stands still: the kernel accepts connections, and nobody answers.
    Stopped,
    /// Nobody listens.
    Nobody,
    /// Nobody listens a moment later, as a process that ends closes its sockets one after the other.
    NobodySoon,
    /// Packets get no answer, as the machine is gone.
    NoMachine,
    /// The replica's next start, under another id.
    OtherId,
    /// The replica's next start, under the same id.
    SameId,
    /// A replica of another service, which does not know the paths of this one.
    OtherService,
    /// A server that does not speak HTTP.
    OtherProtocol,
}

/// Bytes of a response, and what follows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClosingResponse {
    /// All bytes before the close.
    pub(crate) bytes: &'static str,
    /// Whether the connection is reset instead.
    pub(crate) resets: bool,
    /// Who has the address afterwards.
    pub(crate) successor: Successor,
}

/// A replica that closes the connection of its first response, the only one that it sends.
pub(crate) struct ClosingReplica {
    /// Listening address.
    pub(crate) address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    response: ClosingResponse,
    state: Mutex<Option<Successor>>,
    /// Whether the successor has the address.
    replaced: AtomicBool,
    /// Whether the response has begun.
    begun: AtomicBool,
    /// Whether the response may end.
    may_end: AtomicBool,
    clock: Clock,
    /// Time at which the threads end.
    end: Time,
}

impl Shared {
    fn is_over(&self) -> bool {
        self.end <= self.clock.now()
    }
}

impl ClosingReplica {
    /// Starts a replica whose response ends once [`ClosingReplica::end_response`] is called.
    pub(crate) fn start_held(address: SocketAddr, response: ClosingResponse) -> ClosingReplica {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let clock = Clock::start();
        let shared = Arc::new(Shared {
            response,
            state: Mutex::default(),
            replaced: AtomicBool::default(),
            begun: AtomicBool::default(),
            may_end: AtomicBool::default(),
            clock,
            end: clock.now().after(END),
        });
        let accepting = Arc::clone(&shared);
        thread::spawn(move || accept(listener, &accepting));
        ClosingReplica { address, shared }
    }

    /// Starts a replica.
    pub(crate) fn start(address: SocketAddr, response: ClosingResponse) -> ClosingReplica {
        let replica = ClosingReplica::start_held(address, response);
        replica.end_response();
        replica
    }

    /// Returns whether the response has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.shared.begun.load(Ordering::SeqCst)
    }

    /// Lets the response end.
    pub(crate) fn end_response(&self) {
        self.shared.may_end.store(true, Ordering::SeqCst);
    }
}

fn accept(listener: TcpListener, shared: &Arc<Shared>) {
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let mut listener = Some(listener);
    let mut blocked = Vec::new();
    while !shared.is_over() {
        let successor = *shared.state.lock().unwrap();
        match successor {
            Some(Successor::Nobody) => {
                listener = None;
                shared.replaced.store(true, Ordering::SeqCst);
            }
            Some(Successor::NobodySoon) if !shared.replaced.swap(true, Ordering::SeqCst) => {
                thread::sleep(DYING);
                listener = None;
            }
            Some(Successor::NoMachine) if blocked.is_empty() => {
                listener = None;
                blocked = block_port(address);
                shared.replaced.store(true, Ordering::SeqCst);
            }
            // The port stays open, and nobody accepts.
            Some(Successor::Stopped) => shared.replaced.store(true, Ordering::SeqCst),
            Some(Successor::NobodySoon | Successor::NoMachine) => {}
            None | Some(_) => {
                shared.replaced.store(successor.is_some(), Ordering::SeqCst);
                let accepted = listener.as_ref().map(TcpListener::accept);
                if let Some(Ok((stream, _))) = accepted {
                    stream.set_nonblocking(false).unwrap();
                    let shared = Arc::clone(shared);
                    thread::spawn(move || serve(stream, successor, &shared));
                }
            }
        }
        thread::sleep(POLL);
    }
}

/// Binds a port whose queue of connections is full, so that further ones are not answered.
fn block_port(address: SocketAddr) -> Vec<Socket> {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.set_reuse_address(true).unwrap();
    listener.bind(&address.into()).unwrap();
    listener.listen(0).unwrap();
    let mut sockets = vec![listener];
    for _ in 0..8 {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let connected = socket.connect_timeout(&address.into(), Duration::from_millis(30));
        sockets.push(socket);
        if connected.is_err() {
            break;
        }
    }
    sockets
}

/// Serves a connection that was accepted by the replica, or by its successor if there was one by then.
fn serve(mut stream: TcpStream, successor: Option<Successor>, shared: &Shared) {
    if successor == Some(Successor::OtherProtocol) {
        let _ = stream.write_all(b"220 mail ready\r\n");
        return;
    }
    while let Some(request) = read_request(&mut stream) {
        if has_ended(successor, shared) {
            return;
        }
        let path = request.split(' ').nth(1).unwrap_or_default().to_owned();
        if path != HEALTH_PATH && path != STATE_PATH {
            if successor.is_none() {
                respond(stream, shared);
                return;
            }
            let _ =
                stream.write_all(b"HTTP/1.1 503 Full\r\nt-not-run: 1\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        if stream
            .write_all(answer(&path, successor).as_bytes())
            .is_err()
        {
            return;
        }
    }
}

/// Returns whether the process that accepted a connection has ended or stands still.
fn has_ended(accepted_by: Option<Successor>, shared: &Shared) -> bool {
    let now = *shared.state.lock().unwrap();
    now != accepted_by && now != Some(Successor::Itself)
}

/// Returns the answer to a question of who has the address.
fn answer(path: &str, successor: Option<Successor>) -> String {
    let (id, born) = match successor {
        None | Some(Successor::Itself) => (ID, BORN),
        Some(Successor::SameId) => (ID, 2 * BORN),
        _ => ("i-another", 3 * BORN),
    };
    let status = match successor {
        Some(Successor::OtherService) => "404 Not Found",
        _ => "200 OK",
    };
    let body = match path == STATE_PATH {
        true => born.to_string(),
        false => String::new(),
    };
    format!(
        "HTTP/1.1 {status}\r\nt-replica-id: {id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn respond(mut stream: TcpStream, shared: &Shared) {
    let _ = stream.write_all(shared.response.bytes.as_bytes());
    shared.begun.store(true, Ordering::SeqCst);
    while !shared.may_end.load(Ordering::SeqCst) && !shared.is_over() {
        thread::sleep(POLL);
    }
    *shared.state.lock().unwrap() = Some(shared.response.successor);
    while !shared.replaced.load(Ordering::SeqCst) && !shared.is_over() {
        thread::sleep(POLL);
    }
    if shared.response.resets {
        let _ = Socket::from(stream).set_linger(Some(Duration::ZERO));
    }
}

/// Reads a request with its body; returns `None` at the end of the connection.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut request = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&request).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let lines = head.lines();
            let length = lines
                .filter_map(|it| it.split_once(": "))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .and_then(|(_, it)| it.parse().ok())
                .unwrap_or(0);
            if length <= body.len() {
                return Some(text);
            }
        }
        let mut bytes = [0; 4096];
        match stream.read(&mut bytes) {
            Ok(count @ 1..) => request.extend_from_slice(&bytes[..count]),
            _ => return None,
        }
    }
}
