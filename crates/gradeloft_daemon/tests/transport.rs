//! Connections between processes of the system.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use gradeloft_daemon::{
    clock::Clock,
    scope::Scope,
    transport::{
        client::{Lane, Pool},
        server::{Handler, Limits, Outgoing, SMALL_BUFFERS, Server},
    },
};
use gradeloft_http::intake::Refusal;
use gradeloft_wire::{
    frame::{Absence, Call, Reply},
    id::Digest,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
};

/// Timeout of each wait. Only a failing test reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);
const LIMITS: Limits = Limits {
    frame_bytes: 1 << 20,
    streams: 8,
    connections: 8,
    shared_bytes: 16 << 20,
    buffers: SMALL_BUFFERS,
};

/// Handler that answers every call.
struct AbsentReplies(Rc<Scope>);

impl Handler for AbsentReplies {
    fn call(&self, _: Call, outgoing: Outgoing) {
        self.0.spawn(async move {
            outgoing.finish(&Reply::Absent(Absence::NotHeld)).await;
        });
    }

    fn refused(&self, _: Refusal) {}

    fn malformed(&self) {
        panic!("malformed call");
    }
}

/// Proxy to a peer that can silence its open connections without a reset, while new ones work.
struct Proxy {
    address: SocketAddr,
    /// Number of connections so far.
    connections: Rc<Cell<usize>>,
    /// Number of the first connection that is not silent.
    live_from: Rc<Cell<usize>>,
}

impl Proxy {
    async fn start(peer: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Proxy {
            address: listener.local_addr().unwrap(),
            connections: Rc::default(),
            live_from: Rc::default(),
        };
        let (connections, live_from) = (Rc::clone(&proxy.connections), Rc::clone(&proxy.live_from));
        actix_rt::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let number = connections.get();
                connections.set(number + 1);
                let live_from = Rc::clone(&live_from);
                let is_live = Rc::new(move || live_from.get() <= number);
                let server = TcpStream::connect(peer).await.unwrap();
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                actix_rt::spawn(forward(client_read, server_write, Rc::clone(&is_live)));
                actix_rt::spawn(forward(server_read, client_write, is_live));
            }
        });
        proxy
    }

    fn silence(&self) {
        self.live_from.set(self.connections.get());
    }
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_live: Rc<impl Fn() -> bool>) {
    let mut buffer = [0; 4_096];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if is_live() && to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

async fn is_answered(pool: &Pool, proxy: &Proxy, silence: Duration) -> bool {
    let call = Call::Chunk {
        digest: Digest::of(b"any"),
    };
    let address = proxy.address.to_string();
    let answer = pool.call_within(&address, Lane::Live, &call, silence).await;
    matches!(answer, Ok(Ok(Reply::Absent(Absence::NotHeld))))
}

/// Guards against changes that take effect 1.5 to 1.9 s late at single entries. Open connections go
/// silent for good, without a reset, while new ones work. An entry asks a peer for a change, gets
/// nothing for 1.5 s and asks the next peer, whose connection is silent too. If only the first
/// connection is dropped, the entry loses the whole timeout again, although both peers serve
/// others.
#[test]
fn silent_connection_also_drops_others_without_later_data() {
    let test = async {
        let scope = Rc::new(Scope::default());
        let handler = || Rc::new(AbsentReplies(Rc::clone(&scope)));
        let start = || Server::start("127.0.0.1:0", LIMITS, Rc::clone(&scope), handler());
        let (first, second) = (start().await.unwrap(), start().await.unwrap());
        let proxies = [
            Proxy::start(first.address()).await,
            Proxy::start(second.address()).await,
        ];
        let pool = Pool::new(Clock::start(), 1 << 20, TEST_TIMEOUT, None);
        for proxy in &proxies {
            assert!(is_answered(&pool, proxy, TEST_TIMEOUT).await);
        }
        proxies.iter().for_each(Proxy::silence);
        let short = Duration::from_millis(200);
        assert!(!is_answered(&pool, &proxies[0], short).await, "silent");
        assert!(is_answered(&pool, &proxies[1], Duration::from_secs(5)).await);
        assert!(is_answered(&pool, &proxies[0], Duration::from_secs(5)).await);
        assert_eq!(proxies.each_ref().map(|it| it.connections.get()), [2, 2]);
    };
    actix_rt::System::new().block_on(async {
        tokio::time::timeout(TEST_TIMEOUT, test)
            .await
            .expect("in time");
    });
}
