//! A replica whose response does not end. It runs on a thread of its own, as one that shares the
//! entry's thread could not send while the entry reads.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use gradeloft_daemon::clock::Clock;

/// Time after which the replica ends its response on its own, so that an entry that reads all of it
/// fails the test instead of blocking it.
const END: Duration = Duration::from_secs(5);

/// Response that does not end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndlessResponse {
    /// Bytes at its start.
    pub(crate) start: &'static str,
    /// Bytes that follow again and again.
    pub(crate) piece: &'static str,
    /// Pause before each repetition of the piece; without one, pieces are sent as fast as possible.
    pub(crate) pause: Duration,
}

/// A replica that sends an endless response to each request.
pub(crate) struct EndlessReplica {
    /// Listening address.
    pub(crate) address: SocketAddr,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    /// Number of responses that the replica has begun.
    begun: AtomicUsize,
    /// Number of connections that the entry has ended.
    ended: AtomicUsize,
}

impl EndlessReplica {
    pub(crate) fn start(address: SocketAddr, response: EndlessResponse) -> EndlessReplica {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let counts = Arc::new(Counts::default());
        let shared = Arc::clone(&counts);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counts = Arc::clone(&shared);
                thread::spawn(move || respond(stream, response, &counts));
            }
        });
        EndlessReplica { address, counts }
    }

    /// Returns the number of responses that the replica has begun.
    pub(crate) fn begun(&self) -> usize {
        self.counts.begun.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that the entry has ended.
    pub(crate) fn ended(&self) -> usize {
        self.counts.ended.load(Ordering::SeqCst)
    }
}

fn respond(mut stream: TcpStream, response: EndlessResponse, counts: &Counts) {
    let clock = Clock::start();
    let end = clock.now().after(END);
    if !matches!(stream.read(&mut [0; 4096]), Ok(1..)) {
        return;
    }
    let flood = response.piece.repeat(65_536 / response.piece.len());
    let piece = match response.pause.is_zero() {
        true => flood.as_bytes(),
        false => response.piece.as_bytes(),
    };
    counts.begun.fetch_add(1, Ordering::SeqCst);
    let mut sent = stream.write_all(response.start.as_bytes());
    while sent.is_ok() && clock.now() < end {
        thread::sleep(response.pause);
        sent = stream.write_all(piece);
    }
    if sent.is_err() {
        counts.ended.fetch_add(1, Ordering::SeqCst);
    }
}
