//! Fakes of network links. Each address has an egress and an ingress with limited bandwidth, and
//! data between two addresses passes the egress of the sender and the ingress of the receiver.
//!
//! A [`Relay`] proxies the port of a process. It identifies sender and receiver by the addresses of
//! the connections, so each process must connect from its own address.

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

/// Unit of transfer, in bytes; connections that share a link alternate by slices.
const SLICE: usize = 4 << 10;
/// Size of kernel socket buffers, in bytes; small, so that backpressure reaches the sender.
const SOCKET_BUFFER: u32 = 16 << 10;
/// Maximum number of slices in flight in one direction of a connection.
const MAX_IN_FLIGHT: usize = 4;

#[derive(Clone, Copy)]
enum Direction {
    Ingress,
    Egress,
}

#[derive(Clone, Copy)]
struct Link {
    bytes_per_s: f64,
    egress_free: Instant,
    ingress_free: Instant,
}

/// Links by address. Addresses without a link have unlimited bandwidth.
#[derive(Default)]
pub struct Links {
    links: Mutex<HashMap<IpAddr, Link>>,
    /// Every n-th full slice gets a flipped bit; 0 disables corruption.
    pub corrupt_every: AtomicU64,
    slices: AtomicU64,
    bytes_sent: AtomicU64,
    /// Number of corrupted slices.
    pub corrupted: AtomicU64,
}

impl Links {
    /// Limits the bandwidth of an address in each direction.
    pub fn set(&self, address: IpAddr, bytes_per_s: u64) {
        let now = Instant::now();
        let link = Link {
            bytes_per_s: bytes_per_s as f64,
            egress_free: now,
            ingress_free: now,
        };
        self.lock().insert(address, link);
    }

    /// Waits until `bytes` have been transferred from one address to another.
    pub async fn transfer(&self, from: IpAddr, to: IpAddr, bytes: usize) {
        self.reserve(from, Direction::Egress, bytes).await;
        self.reserve(to, Direction::Ingress, bytes).await;
    }

    /// Returns the number of bytes that all relays have sent.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.load(Ordering::Relaxed)
    }

    async fn reserve(&self, address: IpAddr, direction: Direction, bytes: usize) {
        let free = {
            let mut links = self.lock();
            let Some(link) = links.get_mut(&address) else {
                return;
            };
            let transfer_time = Duration::from_secs_f64(bytes as f64 / link.bytes_per_s);
            let free = match direction {
                Direction::Ingress => &mut link.ingress_free,
                Direction::Egress => &mut link.egress_free,
            };
            *free = (*free).max(Instant::now()) + transfer_time;
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

/// A proxy for the port of a process; drop closes its connections.
pub struct Relay {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl Relay {
    /// Listens on a free port of `address` and forwards connections to `target`, a port of the same
    /// instance.
    pub async fn start(
        links: Arc<Links>,
        address: IpAddr,
        target: SocketAddr,
    ) -> std::io::Result<Relay> {
        Relay::start_at(links, SocketAddr::new(address, 0), target)
    }

    /// Like [`Relay::start`], but listens on a given port.
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

    /// Returns the listening address.
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
    // Dropping the set aborts all connections when this task is aborted.
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
    let Ok(target_stream) = connect(target).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let (client_read, client_write) = stream.into_split();
    let (target_read, target_write) = target_stream.into_split();
    let own = target.ip();
    tokio::select! {
        () = copy(client_read, target_write, peer, own, &links) => {}
        () = copy(target_read, client_write, own, peer, &links) => {}
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

/// Copies bytes in slices; a slice passes the egress while the previous one passes the ingress.
async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    from_address: IpAddr,
    to_address: IpAddr,
    links: &Links,
) {
    let (send, mut receive) = mpsc::channel::<Bytes>(MAX_IN_FLIGHT);
    let egress = async move {
        let mut slice = vec![0; SLICE];
        while let Ok(count @ 1..) = from.read(&mut slice).await {
            links.bytes_sent.fetch_add(count as u64, Ordering::Relaxed);
            links.reserve(from_address, Direction::Egress, count).await;
            if send
                .send(Bytes::copy_from_slice(&slice[..count]))
                .await
                .is_err()
            {
                return;
            }
        }
    };
    let ingress = async {
        while let Some(slice) = receive.recv().await {
            links
                .reserve(to_address, Direction::Ingress, slice.len())
                .await;
            if to.write_all(&maybe_corrupt(links, slice)).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(egress, ingress);
}

fn maybe_corrupt(links: &Links, slice: Bytes) -> Bytes {
    if slice.len() < SLICE || !links.corrupts_next() {
        return slice;
    }
    let mut bytes = slice.to_vec();
    bytes[SLICE / 2] ^= 1;
    bytes.into()
}
