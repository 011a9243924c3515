//! Large values, which peers send to each other in parts.
//!
//! The time to transfer a configuration depends on its size, on the link and on concurrent
//! transfers, so only each part has a time limit. Received parts are kept, and the transfer
//! continues from any peer that holds the record
//! ([`transfer`](gradeloft_policy::process::transfer)).

use std::{cell::Cell, net::Ipv4Addr, rc::Rc, time::Duration};

use bytes::Bytes;
use gradeloft_daemon::transport::{client::Lane, server::Outgoing};
use gradeloft_policy::process::{
    mirror::Record,
    transfer::{Choice, Fetcher, MissingValue, Pace, Progress, Refusal, Transfer},
};
use gradeloft_wire::{
    frame::{Absence, Call, Reply, Role, Table},
    position::Position,
};

use super::{
    Node,
    records::{Inbox, reason},
    tables::{Source, index},
};
use crate::settings;

/// Time limit for one part. A part arrives in time at 22 KB/s, a fiftieth of an agent's link.
const PART_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Size of a part, in bytes.
const PART_BYTES: usize = 32 << 10;

/// Guard of an upload slot, which is freed on drop.
pub(super) struct UploadSlot(Rc<Node>, Role);

impl Drop for UploadSlot {
    fn drop(&mut self) {
        self.0.uploads.borrow_mut().free(self.1);
    }
}

/// Contents of a [`Call::Parts`].
#[derive(Clone, Copy, Debug)]
pub(super) struct PartsRequest {
    /// Table.
    pub(super) table: Table,
    /// Position of the record in the table.
    pub(super) position: Position,
    /// Bytes of the value that the peer already has.
    pub(super) start: u64,
    /// Role of the peer.
    pub(super) caller: Role,
}

/// Reason why a peer sent no further parts: the metric label, and the kind that decides which peer
/// is next.
type FetchFailure = (&'static str, Refusal);

impl Node {
    /// Serves a peer's call for a value, if this process holds the value and has a free upload
    /// slot.
    pub(super) async fn serve_parts(self: &Rc<Node>, request: PartsRequest, outgoing: Outgoing) {
        let Some(value) = self.value_at(request.table, request.position) else {
            outgoing.finish(&Reply::Absent(Absence::NotHeld)).await;
            return;
        };
        let Some(_slot) = self.take_upload_slot(request.caller) else {
            outgoing.finish(&Reply::Absent(Absence::Busy)).await;
            return;
        };
        let rest = value.get(request.start as usize..).unwrap_or_default();
        let pace = Pace::new(request.start, self.clock.now());
        let refused_before = self.uploads.borrow_mut().refused(request.caller);
        let mut done = request.start;
        for part in rest.chunks(PART_BYTES) {
            let others_waited = self.uploads.borrow_mut().refused(request.caller) != refused_before;
            if others_waited && pace.slow(done, value.len() as u64, self.clock.now()) {
                // A slow receiver would keep all others waiting, so it has to retry after the
                // others.
                outgoing.finish(&Reply::Absent(Absence::Busy)).await;
                return;
            }
            done += part.len() as u64;
            let part = Reply::Part(part.to_vec());
            // A peer that gets no part in time has given up this call, and may be unreachable.
            let sent = tokio::time::timeout(PART_TIMEOUT, outgoing.send(&part)).await;
            if sent != Ok(true) {
                return;
            }
        }
        outgoing.end();
    }

    /// Takes an upload slot, if one is free.
    pub(super) fn take_upload_slot(self: &Rc<Node>, caller: Role) -> Option<UploadSlot> {
        let taken = self.uploads.borrow_mut().take(caller);
        taken.then(|| UploadSlot(Rc::clone(self), caller))
    }

    /// Starts to fetch the missing large values, unless a task is fetching them already.
    pub(super) fn start_fetch(self: &Rc<Node>, table: Table) {
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

    /// Fetches large values until none is missing or no peer holds one.
    async fn fetch_all(self: &Rc<Node>, table: Table) {
        while self.ensure_transfer(table) {
            match self.choose_peer(table) {
                Choice::Request(peer) => self.fetch_from(peer, table).await,
                Choice::Wait(time) => actix_rt::time::sleep(time).await,
                Choice::NoHolder | Choice::Retry(_) if self.superseded(table) => {
                    // A superseded value is fetched only while some peer sends it.
                    self.with_inbox(table, |it| it.transfer = None);
                }
                Choice::Retry(time) => actix_rt::time::sleep(time).await,
                Choice::NoHolder => {
                    // The next peer that sends a datagram gets a request for records; received
                    // parts are kept.
                    self.with_inbox(table, |it| it.pending = None);
                    self.fetch_failed("none", table, self.clock.now(), "nobody");
                    return;
                }
            }
        }
    }

    /// Returns whether the missing value differs from the one that is being fetched.
    fn superseded(&self, table: Table) -> bool {
        self.with_inbox(table, |it| {
            let fetched = it.transfer.as_ref().map(Transfer::want);
            let missing = it.pending.as_ref().and_then(|it| it.pending.missing());
            missing.is_some() && missing != fetched
        })
    }

    /// Replaces the transfer unless it is still needed; returns `false` if no transfer is needed,
    /// for example because the store was faster.
    fn ensure_transfer(&self, table: Table) -> bool {
        self.apply_complete(table);
        let now = self.clock.now();
        let copies = self.copies.borrow();
        let copy = &copies[index(table)];
        self.with_inbox(table, |it| {
            let missing = it.pending.as_ref().and_then(|it| it.pending.missing());
            let is_needed = |transfer: &Transfer| {
                let want = transfer.want();
                missing == Some(want) || copy.lacks(&want.key, want.position)
            };
            if !it.transfer.as_ref().is_some_and(is_needed) {
                it.transfer = missing.cloned().map(|it| Transfer::new(it, now));
            }
            it.transfer.is_some()
        })
    }

    /// Chooses the peer from which to fetch.
    fn choose_peer(&self, table: Table) -> Choice {
        let now = self.clock.now();
        let caller = self.fetcher();
        self.with_rng(|rng| {
            self.with_inbox(table, |it| match &it.transfer {
                Some(transfer) => transfer.choose(&it.holders, caller, now, rng),
                None => Choice::NoHolder,
            })
        })
    }

    /// Fetches parts from a peer while it sends them and they are needed.
    async fn fetch_from(self: &Rc<Node>, peer: Ipv4Addr, table: Table) {
        let requested_at = self.clock.now();
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
        self.fetch_failed(peer, table, requested_at, reason);
    }

    /// Calls a peer for parts, and receives them.
    async fn receive_parts(
        self: &Rc<Node>,
        peer: Ipv4Addr,
        table: Table,
    ) -> Result<(), FetchFailure> {
        let wanted = self.with_inbox(table, |it| {
            let transfer = it.transfer.as_ref()?;
            Some((transfer.want().position, transfer.start()))
        });
        let Some((position, start)) = wanted else {
            return Ok(());
        };
        let call = Call::Parts {
            table,
            position,
            start,
            caller: self.role(),
        };
        let address = self.peer_address(peer);
        let waiting_since = Cell::new(self.clock.now());
        let late = |_| {
            self.peers
                .drop_silent(&address, Lane::Bulk, waiting_since.get());
            ("late", Refusal::Faulty)
        };
        let broken = |it| (reason(it), Refusal::Faulty);
        // On the bulk lane: small records would otherwise wait behind the data in the connection's
        // buffers.
        let opening = self.peers.open(&address, Lane::Bulk, &call);
        let opened = tokio::time::timeout(PART_TIMEOUT, opening).await;
        let mut incoming = opened.map_err(late)?.map_err(broken)?;
        let pace = Pace::new(start, self.clock.now());
        let mut received = false;
        loop {
            let next = tokio::time::timeout(PART_TIMEOUT, incoming.next()).await;
            match next.map_err(late)?.map_err(broken)? {
                Some(Reply::Part(part)) => {
                    waiting_since.set(self.clock.now());
                    if !self.add_part(peer, table, position, &part)? {
                        return Ok(());
                    }
                    received = true;
                    if self.should_switch_peer(peer, table, pace) {
                        return Err(("slow", Refusal::Faulty));
                    }
                }
                // This process used the peer's slot slowly. The other processes that wait for the
                // slot are served first.
                Some(Reply::Absent(Absence::Busy)) if received => {
                    return Err(("sent away", Refusal::Faulty));
                }
                Some(Reply::Absent(Absence::Busy)) => return Err(("busy", Refusal::Busy)),
                Some(Reply::Absent(_)) => return Err(("not held", Refusal::NotHeld)),
                Some(_) => return Err(("unexpected", Refusal::NotHeld)),
                None => return Err(("lost", Refusal::Faulty)),
            }
        }
    }

    /// Returns whether a peer sends slowly while another is available. Parts that arrive within
    /// their time limit only show that the peer is alive: over a slow link, a value arrives later
    /// than from another peer that holds it.
    fn should_switch_peer(&self, peer: Ipv4Addr, table: Table, pace: Pace) -> bool {
        let now = self.clock.now();
        let caller = self.fetcher();
        self.with_rng(|rng| {
            self.with_inbox(table, |it| {
                it.transfer.as_ref().is_some_and(|transfer| {
                    pace.slow(transfer.start(), transfer.want().length, now)
                        && transfer.should_switch(peer, &it.holders, caller, now, rng)
                })
            })
        })
    }

    /// Returns this process's address and role, for the choice of a peer.
    pub(super) fn fetcher(&self) -> Fetcher {
        Fetcher {
            address: self.settings().address,
            role: self.role(),
        }
    }

    /// Returns this process's role in calls.
    fn role(&self) -> Role {
        match self.settings.borrow().role {
            settings::Role::Agent { .. } => Role::Agent,
            settings::Role::Entry { .. } => Role::Entry,
        }
    }

    /// Adds a part of the record at `position`; returns whether the next part is needed.
    fn add_part(
        &self,
        peer: Ipv4Addr,
        table: Table,
        position: Position,
        part: &[u8],
    ) -> Result<bool, FetchFailure> {
        let fetched = |it: &Transfer| it.want().position == position;
        let progress = self.with_inbox(table, |it| {
            let transfer = it.transfer.as_mut().filter(|it| fetched(it));
            transfer.map(|it| it.add(part))
        });
        match progress {
            None => Ok(false),
            Some(Progress::Corrupt) => Err(("spoilt", Refusal::NotHeld)),
            Some(Progress::More) => {
                let is_needed = self.ensure_transfer(table);
                let same = |it: &mut Inbox| it.transfer.as_ref().is_some_and(fetched);
                Ok(is_needed && self.with_inbox(table, same))
            }
            Some(Progress::Complete(value)) => {
                self.finish_transfer(table, value, Source::Peer(peer));
                Ok(false)
            }
        }
    }

    /// Applies a value that has been fetched completely.
    fn finish_transfer(&self, table: Table, value: Bytes, source: Source) {
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
        self.apply_complete(table);
        // In case the value was superseded during the transfer.
        let record = Record {
            key: want.key.clone(),
            value: Some(value),
            position: want.position,
        };
        self.apply_ahead(table, vec![record], source);
    }
}
