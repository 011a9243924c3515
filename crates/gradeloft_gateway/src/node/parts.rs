//! Large values, which processes give each other in parts.
//!
//! How long a configuration takes depends on its size, on the link and on who else asks, so only a part is
//! bounded in time. What came is kept, and goes on from any peer that has the record
//! ([`transfer`](gradeloft_policy::process::transfer)).

use std::{cell::Cell, net::Ipv4Addr, rc::Rc, time::Duration};

use bytes::Bytes;
use gradeloft_daemon::transport::{client::Lane, server::Outgoing};
use gradeloft_policy::process::{
    mirror::Record,
    transfer::{Choice, Fetcher, MissingValue, Pace, Progress, Refusal, Transfer},
};
use gradeloft_wire::frame::{Absence, Call, Reply, Role, Table};

use super::{
    Node,
    records::{Inbox, reason},
    tables::{Source, index},
};
use crate::settings;

/// Time for a peer to send one part: 22 KB/s at least, a fiftieth of an agent's link.
const PART_TIME: Duration = Duration::from_millis(1_500);
/// Bytes of a part.
const PART_BYTES: usize = 32 << 10;

/// A large value is being given; counted until dropped.
pub(super) struct Slot(Rc<Node>, Role);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.giving.borrow_mut().free(self.1);
    }
}

/// What a peer asks for by [`Call::Parts`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Asked {
    /// Table.
    pub(super) table: Table,
    /// Position of the record in the table.
    pub(super) offset: u64,
    /// Bytes of the value that the peer has already.
    pub(super) start: u64,
    /// What the peer is.
    pub(super) caller: Role,
}

/// Why a peer gave nothing further: in words, and for the choice of the next one.
type Missed = (&'static str, Refusal);

impl Node {
    /// Answers a peer's call for a value, if it is held and few others get one now.
    pub(super) async fn give_parts(self: &Rc<Node>, asked: Asked, outgoing: Outgoing) {
        let Some(value) = self.value_at(asked.table, asked.offset) else {
            outgoing.finish(&Reply::Absent(Absence::NotHeld)).await;
            return;
        };
        let Some(_slot) = self.slot(asked.caller) else {
            outgoing.finish(&Reply::Absent(Absence::Busy)).await;
            return;
        };
        let rest = value.get(asked.start as usize..).unwrap_or_default();
        let pace = Pace::new(asked.start, self.clock.now());
        let away = self.giving.borrow_mut().refused(asked.caller);
        let mut done = asked.start;
        for part in rest.chunks(PART_BYTES) {
            let waited_for = self.giving.borrow_mut().refused(asked.caller) != away;
            if waited_for && pace.slow(done, value.len() as u64, self.clock.now()) {
                // One who takes slowly would keep all others waiting, and comes back after them.
                outgoing.finish(&Reply::Absent(Absence::Busy)).await;
                return;
            }
            done += part.len() as u64;
            let part = Reply::Part(part.to_vec());
            // Whoever gets no part in time has given this up, and may be out of reach.
            let sent = tokio::time::timeout(PART_TIME, outgoing.send(&part)).await;
            if sent != Ok(true) {
                return;
            }
        }
        outgoing.end();
    }

    pub(super) fn slot(self: &Rc<Node>, caller: Role) -> Option<Slot> {
        let taken = self.giving.borrow_mut().take(caller);
        taken.then(|| Slot(Rc::clone(self), caller))
    }

    /// Fetches the large values that are missing, unless that is under way.
    pub(super) fn fetch(self: &Rc<Node>, table: Table) {
        let fetching = self.with_inbox(table, |it| std::mem::replace(&mut it.fetching, true));
        if fetching {
            return;
        }
        let node = Rc::clone(self);
        self.scope.spawn(async move {
            node.fetch_all(table).await;
            node.with_inbox(table, |it| it.fetching = false);
        });
    }

    async fn fetch_all(self: &Rc<Node>, table: Table) {
        while self.begin(table) {
            match self.choose(table) {
                Choice::Ask(peer) => self.receive(peer, table).await,
                Choice::Wait(time) => actix_rt::time::sleep(time).await,
                Choice::NoHolder | Choice::Retry(_) if self.superseded(table) => {
                    // What was superseded goes on only while someone gives it.
                    self.with_inbox(table, |it| it.transfer = None);
                }
                Choice::Retry(time) => actix_rt::time::sleep(time).await,
                Choice::NoHolder => {
                    // Whoever speaks next is asked what there is to have; what came is kept.
                    self.with_inbox(table, |it| it.pending = None);
                    self.fetch_failed("none", table, self.clock.now(), "nobody");
                    return;
                }
            }
        }
    }

    /// Whether something else is missing than what is being fetched.
    fn superseded(&self, table: Table) -> bool {
        self.with_inbox(table, |it| {
            let fetched = it.transfer.as_ref().map(Transfer::want);
            let missing = it.pending.as_ref().and_then(|it| it.pending.missing());
            missing.is_some() && missing != fetched
        })
    }

    /// Makes sure that the transfer is one that is of use; gives `false` if none would be, as when the store
    /// was quicker.
    fn begin(&self, table: Table) -> bool {
        self.settle(table);
        let now = self.clock.now();
        let copies = self.copies.borrow();
        let copy = &copies[index(table)];
        self.with_inbox(table, |it| {
            let missing = it.pending.as_ref().and_then(|it| it.pending.missing());
            let useful = |transfer: &Transfer| {
                let want = transfer.want();
                missing == Some(want) || copy.lacks(&want.key, want.offset)
            };
            if !it.transfer.as_ref().is_some_and(useful) {
                it.transfer = missing.cloned().map(|it| Transfer::new(it, now));
            }
            it.transfer.is_some()
        })
    }

    fn choose(&self, table: Table) -> Choice {
        let now = self.clock.now();
        let caller = self.caller();
        self.with_rng(|rng| {
            self.with_inbox(table, |it| match &it.transfer {
                Some(transfer) => transfer.choose(&it.holders, caller, now, rng),
                None => Choice::NoHolder,
            })
        })
    }

    /// Receives parts from a peer for as long as it gives them and they are of use.
    async fn receive(self: &Rc<Node>, peer: Ipv4Addr, table: Table) {
        let asked = self.clock.now();
        let (reason, refusal) = match self.receive_parts(peer, table).await {
            Ok(()) => return,
            Err(failure) => failure,
        };
        let now = self.clock.now();
        self.with_rng(|rng| {
            self.with_inbox(table, |it| {
                if let Some(transfer) = &mut it.transfer {
                    transfer.refused(peer, refusal, now, rng);
                }
            });
        });
        self.fetch_failed(peer, table, asked, reason);
    }

    async fn receive_parts(self: &Rc<Node>, peer: Ipv4Addr, table: Table) -> Result<(), Missed> {
        let wanted = self.with_inbox(table, |it| {
            let transfer = it.transfer.as_ref()?;
            Some((transfer.want().offset, transfer.start()))
        });
        let Some((offset, start)) = wanted else {
            return Ok(());
        };
        let call = Call::Parts {
            table,
            offset,
            start,
            caller: self.role(),
        };
        let address = self.peer_address(peer);
        let waits_since = Cell::new(self.clock.now());
        let late = |_| {
            self.peers.silent(&address, Lane::Bulk, waits_since.get());
            ("late", Refusal::Faulty)
        };
        let broken = |it| (reason(it), Refusal::Faulty);
        // Beside small news, which would else wait behind what is in the connection's buffers.
        let opening = self.peers.open(&address, Lane::Bulk, &call);
        let opened = tokio::time::timeout(PART_TIME, opening).await;
        let mut incoming = opened.map_err(late)?.map_err(broken)?;
        let pace = Pace::new(start, self.clock.now());
        let mut came = false;
        loop {
            let next = tokio::time::timeout(PART_TIME, incoming.next()).await;
            match next.map_err(late)?.map_err(broken)? {
                Some(Reply::Part(part)) => {
                    waits_since.set(self.clock.now());
                    if !self.part_came(peer, table, offset, &part)? {
                        return Ok(());
                    }
                    came = true;
                    if self.leaves(peer, table, pace) {
                        return Err(("slow", Refusal::Faulty));
                    }
                }
                // Others wait there for what this process took slowly, and come first.
                Some(Reply::Absent(Absence::Busy)) if came => {
                    return Err(("sent away", Refusal::Faulty));
                }
                Some(Reply::Absent(Absence::Busy)) => return Err(("busy", Refusal::Busy)),
                Some(Reply::Absent(_)) => return Err(("not held", Refusal::NotHeld)),
                Some(_) => return Err(("unexpected", Refusal::NotHeld)),
                None => return Err(("lost", Refusal::Faulty)),
            }
        }
    }

    /// Whether a peer gives slowly while another could be asked. Parts that come in time show only that it
    /// is there: a link that carries little would hold up what another peer has.
    fn leaves(&self, peer: Ipv4Addr, table: Table, pace: Pace) -> bool {
        let now = self.clock.now();
        let caller = self.caller();
        self.with_rng(|rng| {
            self.with_inbox(table, |it| {
                it.transfer.as_ref().is_some_and(|transfer| {
                    pace.slow(transfer.start(), transfer.want().length, now)
                        && transfer.should_switch(peer, &it.holders, caller, now, rng)
                })
            })
        })
    }

    pub(super) fn caller(&self) -> Fetcher {
        Fetcher {
            address: self.settings().address,
            role: self.role(),
        }
    }

    fn role(&self) -> Role {
        match self.settings.borrow().role {
            settings::Role::Agent { .. } => Role::Agent,
            settings::Role::Entry { .. } => Role::Entry,
        }
    }

    /// Takes in a part of the record at `offset`; gives whether the next one is of use.
    fn part_came(
        &self,
        peer: Ipv4Addr,
        table: Table,
        offset: u64,
        part: &[u8],
    ) -> Result<bool, Missed> {
        let fetched = |it: &Transfer| it.want().offset == offset;
        let progress = self.with_inbox(table, |it| {
            let transfer = it.transfer.as_mut().filter(|it| fetched(it));
            transfer.map(|it| it.add(part))
        });
        match progress {
            None => Ok(false),
            Some(Progress::Corrupt) => Err(("spoilt", Refusal::NotHeld)),
            Some(Progress::More) => {
                let goes_on = self.begin(table);
                let same = |it: &mut Inbox| it.transfer.as_ref().is_some_and(fetched);
                Ok(goes_on && self.with_inbox(table, same))
            }
            Some(Progress::Complete(value)) => {
                self.came(table, value, Source::Peer(peer));
                Ok(false)
            }
        }
    }

    /// What was being fetched has come.
    fn came(&self, table: Table, value: Bytes, source: Source) {
        let transfer = self.with_inbox(table, |it| it.transfer.take());
        let Some(transfer) = transfer else {
            return;
        };
        let want = transfer.want();
        self.with_inbox(table, |it| {
            if let Some(announced) = &mut it.pending {
                let same = |missing: &MissingValue| (missing == want).then(|| value.clone());
                announced.pending.fill(same);
                announced.source = source;
            }
        });
        self.settle(table);
        // In case that it was superseded while it came.
        let record = Record {
            key: want.key.clone(),
            value: Some(value),
            offset: want.offset,
        };
        self.take_ahead(table, vec![record], source);
    }
}
