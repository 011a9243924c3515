//! Connections to replicas, kept for the next request.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use gradeloft_daemon::clock::Clock;
use gradeloft_policy::{clock::Time, process::replicas::ReplicaKey};
use tokio::time::timeout;

use crate::h1::wire::Wire;

/// Longest time to connect. Links take a few milliseconds; a lost opening packet is sent again only
/// after a second, by which another replica has answered.
const CONNECT: Duration = Duration::from_millis(350);
/// Time for which a connection is kept if the replica does not say, in milliseconds. Timeouts are
/// told in whole seconds, so one that is not told may be under a second.
const UNTOLD_MS: u64 = 500;
/// Part of the told time for which a connection is kept, so that a request does not cross its end.
const KEPT: f64 = 0.75;

struct Idle {
    wire: Wire,
    until: Time,
}

/// Connections to replicas.
pub struct Pool {
    clock: Clock,
    idle: RefCell<HashMap<ReplicaKey, Vec<Idle>>>,
    open: Rc<RefCell<HashMap<ReplicaKey, usize>>>,
}

/// A connection in use.
pub struct Link {
    /// The connection.
    pub wire: Wire,
    /// Whether it has carried a request before.
    pub reused: bool,
    key: ReplicaKey,
    counted: Counted,
}

/// Counts an open connection until it is dropped.
struct Counted {
    key: ReplicaKey,
    open: Rc<RefCell<HashMap<ReplicaKey, usize>>>,
}

impl Drop for Counted {
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
    /// An empty pool.
    pub fn new(clock: Clock) -> Pool {
        Pool {
            clock,
            idle: RefCell::default(),
            open: Rc::default(),
        }
    }

    /// A kept connection to a replica.
    pub fn take(&self, key: ReplicaKey) -> Option<Link> {
        let now = self.clock.now();
        loop {
            let mut kept = self.idle.borrow_mut().get_mut(&key)?.pop()?;
            if now < kept.until && kept.wire.quiet() {
                return Some(Link {
                    wire: kept.wire,
                    reused: true,
                    key,
                    counted: self.count(key),
                });
            }
        }
    }

    /// A new connection to a replica.
    pub async fn connect(&self, key: ReplicaKey, address: SocketAddr) -> io::Result<Link> {
        let counted = self.count(key);
        let connected = timeout(CONNECT, Wire::connect(address)).await;
        let wire = connected.map_err(|_| io::ErrorKind::TimedOut)??;
        Ok(Link {
            wire,
            reused: false,
            key,
            counted,
        })
    }

    /// Connections in use at a replica.
    pub fn used(&self, key: ReplicaKey) -> usize {
        self.open.borrow().get(&key).copied().unwrap_or_default()
    }

    /// Keeps a connection whose answer is whole; `keep_alive_ms` as the replica told it.
    pub fn keep(&self, link: Link, keep_alive_ms: Option<u64>) {
        let Link { wire, key, .. } = link;
        let kept_ms = keep_alive_ms.map_or(UNTOLD_MS, |it| (it as f64 * KEPT) as u64);
        let until = self.clock.now().after_ms(kept_ms);
        let mut idle = self.idle.borrow_mut();
        idle.entry(key).or_default().push(Idle { wire, until });
    }

    /// Closes connections that have been kept long enough, and those to replicas that are gone.
    pub fn expire(&self, known: impl Fn(ReplicaKey) -> bool) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|key, kept| {
            kept.retain(|it| now < it.until);
            !kept.is_empty() && known(*key)
        });
    }

    fn count(&self, key: ReplicaKey) -> Counted {
        *self.open.borrow_mut().entry(key).or_default() += 1;
        Counted {
            key,
            open: Rc::clone(&self.open),
        }
    }
}

impl Link {
    /// The replica that it leads to.
    pub fn replica(&self) -> ReplicaKey {
        debug_assert_eq!(self.key, self.counted.key);
        self.key
    }
}
