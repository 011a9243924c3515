//! Fakes of links: every address has an egress and an ingress of a certain speed, and whatever
//! crosses between two addresses waits for both.
//!
//! A [`Relay`] stands before a process's port. It knows where bytes come from and go to by the
//! addresses of its connections, so processes have to connect from addresses of their own.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::mpsc,
    task::JoinHandle,
};

/// Bytes that cross at once; what shares a link takes turns of this size.
const SLICE: usize = 4 << 10;
/// Small kernel buffers, so that a sender feels the link.
const SOCKET_BUFFER: u32 = 16 << 10;
/// Slices under way in one connection.
const IN_FLIGHT: usize = 4;

#[derive(Clone, Copy)]
enum Direction {
    In,
    Out,
}

#[derive(Clone, Copy)]
struct Link {
    bytes_per_s: f64,
    out_free: Instant,
    in_free: Instant,
}

/// All links. Addresses without one are not limited.
#[derive(Default)]
pub struct Links {
    links: Mutex<HashMap<IpAddr, Link>>,
    /// One of so many slices gets a flipped byte; 0 for none.
    pub corrupt_every: AtomicU64,
    slices: AtomicU64,
    bytes_sent: AtomicU64,
    /// Slices that got one.
    pub corrupted: AtomicU64,
}

impl Links {
    /// Gives an address a link.
    pub fn set(&self, address: IpAddr, bytes_per_s: u64) {
        let now = Instant::now();
        let link = Link {
            bytes_per_s: bytes_per_s as f64,
            out_free: now,
            in_free: now,
        };
        self.lock().insert(address, link);
    }

    /// Waits until `bytes` have crossed from one address to another.
    pub async fn transfer(&self, from: IpAddr, to: IpAddr, bytes: usize) {
        self.pass(from, Direction::Out, bytes).await;
        self.pass(to, Direction::In, bytes).await;
    }

    /// Bytes that have left any address so far.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.load(Ordering::Relaxed)
    }

    async fn pass(&self, address: IpAddr, direction: Direction, bytes: usize) {
        let free = {
            let mut links = self.lock();
            let Some(link) = links.get_mut(&address) else {
                return;
            };
            let taken = Duration::from_secs_f64(bytes as f64 / link.bytes_per_s);
            let free = match direction {
                Direction::In => &mut link.in_free,
                Direction::Out => &mut link.out_free,
            };
            *free = (*free).max(Instant::now()) + taken;
            *free
        };
        tokio::time::sleep_until(free.into()).await;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<IpAddr, Link>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn corrupts_next(&self) -> bool {
        let every = self.corrupt_every.load(Ordering::Relaxed);
        let slice = self.slices.fetch_add(1, Ordering::Relaxed);
        let corrupts = 0 < every && slice % every == every - 1;
        self.corrupted
            .fetch_add(u64::from(corrupts), Ordering::Relaxed);
        corrupts
    }
}

/// Stands before a process's port; dropping it ends its connections.
pub struct Relay {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Relay {
    /// Listens on `address` and passes everything on to `target`, a port of the same instance.
    pub async fn start(
        links: Arc<Links>,
        address: IpAddr,
        target: SocketAddr,
    ) -> std::io::Result<Relay> {
        Relay::start_at(links, SocketAddr::new(address, 0), target)
    }

    /// As [`Relay::start`], on a port that is known beforehand.
    pub fn start_at(
        links: Arc<Links>,
        address: SocketAddr,
        target: SocketAddr,
    ) -> std::io::Result<Relay> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(SOCKET_BUFFER)?;
        socket.set_send_buffer_size(SOCKET_BUFFER)?;
        socket.bind(address)?;
        let listener = socket.listen(256)?;
        let address = listener.local_addr()?;
        let accepting = actix_rt::spawn(accept(listener, links, target));
        Ok(Relay { address, accepting })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(listener: TcpListener, links: Arc<Links>, target: SocketAddr) {
    // Aborts all connections when this task is.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        connections.spawn_local(relay(stream, peer.ip(), target, Arc::clone(&links)));
    }
}

async fn relay(stream: TcpStream, peer: IpAddr, target: SocketAddr, links: Arc<Links>) {
    let Ok(inner) = connect(target).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let (outer_read, outer_write) = stream.into_split();
    let (inner_read, inner_write) = inner.into_split();
    let own = target.ip();
    tokio::select! {
        () = pump(outer_read, inner_write, peer, own, &links) => {}
        () = pump(inner_read, outer_write, own, peer, &links) => {}
    }
}

async fn connect(target: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(SOCKET_BUFFER)?;
    socket.set_send_buffer_size(SOCKET_BUFFER)?;
    let stream = socket.connect(target).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Moves bytes slice by slice; a slice leaves one link while the one before it enters the other.
async fn pump(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    from_address: IpAddr,
    to_address: IpAddr,
    links: &Links,
) {
    let (send, mut receive) = mpsc::channel::<Bytes>(IN_FLIGHT);
    let leave = async move {
        let mut slice = vec![0; SLICE];
        while let Ok(count @ 1..) = from.read(&mut slice).await {
            links.bytes_sent.fetch_add(count as u64, Ordering::Relaxed);
            links.pass(from_address, Direction::Out, count).await;
            if send
                .send(Bytes::copy_from_slice(&slice[..count]))
                .await
                .is_err()
            {
                return;
            }
        }
    };
    let enter = async {
        while let Some(slice) = receive.recv().await {
            links.pass(to_address, Direction::In, slice.len()).await;
            if to.write_all(&maybe_corrupt(links, slice)).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(leave, enter);
}

fn maybe_corrupt(links: &Links, slice: Bytes) -> Bytes {
    if slice.len() < SLICE || !links.corrupts_next() {
        return slice;
    }
    let mut bytes = slice.to_vec();
    bytes[SLICE / 2] ^= 1;
    bytes.into()
}
