//! Pool of connections to replicas.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use gradeloft_daemon::clock::Clock;
use gradeloft_policy::{clock::Time, process::replicas::ReplicaKey};
use tokio::time::timeout;

use crate::h1::wire::Wire;

/// Connect timeout. A round trip takes a few milliseconds; a lost SYN packet is retransmitted only
/// after a second, in which time another replica can respond.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time for which an idle connection is kept if the replica declares no keep-alive timeout, in
/// milliseconds. Timeouts are declared in whole seconds, so an undeclared one may be shorter than a
/// second.
const DEFAULT_KEEP_ALIVE_MS: u64 = 500;
/// Fraction of the declared keep-alive timeout for which an idle connection is kept, so that no
/// request is sent while the replica closes it.
const KEEP_ALIVE_FRACTION: f64 = 0.75;

struct Idle {
    wire: Wire,
    opened: Time,
    until: Time,
}

/// Pool of connections to replicas.
pub struct Pool {
    clock: Clock,
    idle: RefCell<HashMap<ReplicaKey, Vec<Idle>>>,
    open: Rc<RefCell<HashMap<ReplicaKey, usize>>>,
}

/// A connection to a replica, in use by a request.
pub struct ReplicaConnection {
    /// The connection.
    pub wire: Wire,
    /// Whether the connection has carried a request before.
    pub reused: bool,
    key: ReplicaKey,
    /// Time at which the connection was opened.
    opened: Time,
    counter: ConnectionCounter,
}

/// Counts an open connection until it is dropped.
struct ConnectionCounter {
    key: ReplicaKey,
    open: Rc<RefCell<HashMap<ReplicaKey, usize>>>,
}

impl Drop for ConnectionCounter {
    fn drop(&mut self) {
        let mut open = self.open.borrow_mut();
        if let Some(count) = open.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                open.remove(&self.key);
            }
        }
    }
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(clock: Clock) -> Pool {
        Pool {
            clock,
            idle: RefCell::default(),
            open: Rc::default(),
        }
    }

    /// Takes an idle connection to a replica out of the pool.
    pub fn take_idle(&self, key: ReplicaKey) -> Option<ReplicaConnection> {
        loop {
            let connection = self.idle.borrow_mut().get_mut(&key)?.pop()?;
            if let Some(connection) = self.reuse(key, connection) {
                return Some(connection);
            }
        }
    }

    /// Takes an idle connection to a replica out of the pool that was opened before `time`.
    pub fn take_older(&self, key: ReplicaKey, time: Time) -> Option<ReplicaConnection> {
        loop {
            let mut all = self.idle.borrow_mut();
            let idle = all.get_mut(&key)?;
            let position = idle.iter().rposition(|it| it.opened < time)?;
            let connection = idle.remove(position);
            drop(all);
            if let Some(connection) = self.reuse(key, connection) {
                return Some(connection);
            }
        }
    }

    /// Returns an idle connection for the next request if it is still open.
    fn reuse(&self, key: ReplicaKey, idle: Idle) -> Option<ReplicaConnection> {
        let is_open = self.clock.now() < idle.until && idle.wire.is_idle();
        is_open.then(|| ReplicaConnection {
            wire: idle.wire,
            reused: true,
            key,
            opened: idle.opened,
            counter: self.count(key),
        })
    }

    /// Opens a new connection to a replica.
    pub async fn connect(
        &self,
        key: ReplicaKey,
        address: SocketAddr,
    ) -> io::Result<ReplicaConnection> {
        let counter = self.count(key);
        let connected = timeout(CONNECT_TIMEOUT, Wire::connect(address)).await;
        let wire = connected.map_err(|_| io::ErrorKind::TimedOut)??;
        Ok(ReplicaConnection {
            wire,
            reused: false,
            key,
            opened: self.clock.now(),
            counter,
        })
    }

    /// Returns the number of connections in use at a replica.
    pub fn connection_count(&self, key: ReplicaKey) -> usize {
        self.open.borrow().get(&key).copied().unwrap_or_default()
    }

    /// Returns a connection to the pool after a complete response; `keep_alive_ms` is the timeout
    /// that the replica declared.
    pub fn release(&self, link: ReplicaConnection, keep_alive_ms: Option<u64>) {
        let ReplicaConnection {
            wire, key, opened, ..
        } = link;
        let keep_ms = keep_alive_ms.map_or(DEFAULT_KEEP_ALIVE_MS, |it| {
            (it as f64 * KEEP_ALIVE_FRACTION) as u64
        });
        let until = self.clock.now().after_ms(keep_ms);
        let mut idle = self.idle.borrow_mut();
        idle.entry(key).or_default().push(Idle {
            wire,
            opened,
            until,
        });
    }

    /// Closes idle connections whose keep-alive time is over, and those to replicas that are no
    /// longer listed.
    pub fn expire(&self, is_listed: impl Fn(ReplicaKey) -> bool) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|key, idle_connections| {
            idle_connections.retain(|it| now < it.until);
            !idle_connections.is_empty() && is_listed(*key)
        });
    }

    fn count(&self, key: ReplicaKey) -> ConnectionCounter {
        *self.open.borrow_mut().entry(key).or_default() += 1;
        ConnectionCounter {
            key,
            open: Rc::clone(&self.open),
        }
    }
}

impl ReplicaConnection {
    /// Returns the replica at the other end.
    pub fn replica(&self) -> ReplicaKey {
        debug_assert_eq!(self.key, self.counter.key);
        self.key
    }
}
