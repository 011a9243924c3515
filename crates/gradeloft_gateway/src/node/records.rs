//! Exchange of the tables' records with peers.
//!
//! A reply to a call for records holds small values, and announces large ones, which are then
//! fetched in parts ([`parts`](super::parts)).

use std::{fmt, net::Ipv4Addr, rc::Rc, time::Duration};

use bytes::Bytes;
use gradeloft_daemon::transport::{
    client::{self, Lane},
    server::Outgoing,
};
use gradeloft_policy::{
    clock::Time,
    process::{
        mirror::Record,
        pending_update::{self, PendingUpdate},
        transfer::{Holders, MissingValue, Transfer},
    },
};
use gradeloft_wire::{
    frame::{Absence, Call, Reply, Role, Row, Table, Value},
    id::Digest,
    position::Position,
};
use rand::Rng;
use slog::warn;

use super::{
    MAX_FRAME, Node,
    parts::PartsRequest,
    tables::{Source, index},
};
use crate::{logs::Topic, metrics::Reason, settings};

/// Time limit for a peer's reply to a call for records.
const RECORDS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Largest value that is sent with its record, in bytes: an agent's link carries it in 55 ms at
/// most.
const INLINE_BYTES: usize = 64 << 10;
/// Bytes of all values in a reply; the rest of the frame is for keys.
const REPLY_BYTES: usize = MAX_FRAME / 4 * 3;
/// Pause after a peer has refused a call because of other uploads, in milliseconds.
const BUSY_MS: std::ops::RangeInclusive<u64> = 20..=120;
/// Time for which a peer of another region has to be ahead before records are requested from it, in
/// milliseconds: two intervals between near entries' datagrams, and a reply.
const FAR_DELAY_MS: u64 = 300;

/// State of fetching one table from peers.
#[derive(Default)]
pub(super) struct Inbox {
    /// Whether a request for records is in progress.
    requesting: bool,
    /// Time since which a peer of another region has been ahead.
    behind_since: Option<Time>,
    /// Peers that hold records of the table.
    pub(super) holders: Holders,
    /// Update that is not complete yet.
    pub(super) pending: Option<Announced>,
    /// Large value that is being fetched. The transfer outlives the update that announced the
    /// value: a superseded record is still newer than the copy, and if each newer record restarted
    /// the transfer, none would complete while records change quickly.
    pub(super) transfer: Option<Transfer>,
    /// Whether a task is fetching the value.
    pub(super) fetching: bool,
}

/// An update that a peer announced.
pub(super) struct Announced {
    pub(super) pending: PendingUpdate,
    /// Time of the call.
    requested_at: Time,
    /// Source of the update's last value.
    pub(super) source: Source,
}

impl Node {
    /// Serves a peer's call for records or for parts of a value. Other calls are meant for other
    /// kinds of process: their streams are dropped, so that the calls fail at the peer.
    pub async fn serve_call(self: &Rc<Node>, call: Call, outgoing: Outgoing) {
        match call {
            Call::Parts {
                table,
                position,
                start,
                caller,
            } => {
                let request = PartsRequest {
                    table,
                    position,
                    start,
                    caller,
                };
                self.serve_parts(request, outgoing).await;
            }
            Call::Records {
                table,
                from,
                abridged,
            } => {
                self.serve_records(table, from, abridged, outgoing).await;
            }
            _ => {}
        }
    }

    /// Serves a peer's call for records.
    async fn serve_records(
        self: &Rc<Node>,
        table: Table,
        from: Position,
        abridged: bool,
        outgoing: Outgoing,
    ) {
        let Some(update) = self.update_for_peer(table, from, abridged) else {
            return;
        };
        // When many peers send requests at once, as after a start, serving few at a time completes
        // the first copies sooner, and those peers then serve the others.
        let caller = if abridged { Role::Agent } else { Role::Entry };
        let _slot = match update.bytes() {
            ..=INLINE_BYTES => None,
            _ => match self.take_upload_slot(caller) {
                Some(slot) => Some(slot),
                None => {
                    outgoing.finish(&Reply::Absent(Absence::Busy)).await;
                    return;
                }
            },
        };
        let mut room = REPLY_BYTES;
        let rows = update.records.into_iter().map(|it| Row {
            age_ms: self.age_ms(table, &it),
            value: self.value_for_peer(table, &it, &mut room),
            key: it.key,
            position: it.position,
        });
        let reply = Reply::Records {
            snapshot: update.snapshot,
            rows: rows.collect(),
            end: update.end,
            sound: self.vouches(table),
        };
        outgoing.finish(&reply).await;
    }

    /// Returns a record's value as it is sent to a peer; `room` is the space left for values in the
    /// reply.
    fn value_for_peer(&self, table: Table, record: &Record, room: &mut usize) -> Value {
        let Some(value) = &record.value else {
            return Value::Deleted;
        };
        let large = INLINE_BYTES < value.len() || *room < value.len();
        // Only values that this process holds as they are can be sent in parts, not abridged ones.
        if large && self.value_at(table, record.position).as_ref() == Some(value) {
            return Value::Deferred {
                length: value.len() as u64,
                digest: Digest::of(value),
            };
        }
        *room = room.saturating_sub(value.len());
        Value::Inline(value.to_vec())
    }

    /// Returns the value of a record, if the copy holds it.
    pub(super) fn value_at(&self, table: Table, position: Position) -> Option<Bytes> {
        let copies = self.copies.borrow();
        copies[index(table)].at(position)?.value.clone()
    }

    /// Notes the ends of an entry's copies.
    pub(super) fn note_holder(&self, peer: Ipv4Addr, zone: &str, ends: [Position; 3]) {
        let near = self.near(zone);
        let now = self.clock.now();
        for (inbox, end) in self.inboxes.borrow_mut().iter_mut().zip(ends) {
            inbox.holders.note(peer, Some(near), end, now);
        }
    }

    /// Returns whether an availability zone is in this process's region.
    pub(crate) fn near(&self, zone: &str) -> bool {
        let settings = self.settings();
        settings.region(zone) == settings.region(&settings.zone)
    }

    /// Fetches the records that this process lacks from a peer whose copies go up to `ends` and who
    /// keeps the records with the digest `kept`; returns whether this process lacks any. Requests to peers of other regions are delayed by a
    /// moment, within which near peers most likely get the records too. At first only a few
    /// processes of this region send such requests.
    pub fn catch_up_from(
        self: &Rc<Node>,
        peer: Ipv4Addr,
        zone: &str,
        ends: [Position; 3],
        kept: u32,
    ) -> bool {
        let mut requested = false;
        let near = self.near(zone);
        for table in Table::ALL {
            let requesting = self.with_inbox(table, |it| it.requesting);
            if requesting || !self.follows(table) {
                continue;
            }
            let behind = self.announced_end(table) < ends[index(table)];
            let lacks_kept = self.lacks_kept(table, ends, kept);
            if lacks_kept {
                self.note_kept_missing();
            }
            let waits = !near && !self.may_request_far(table);
            if !(behind || lacks_kept) || waits {
                continue;
            }
            requested = true;
            self.with_inbox(table, |it| {
                it.behind_since = None;
                it.requesting = true;
            });
            let node = Rc::clone(self);
            self.scope.spawn(async move {
                if node.fetch_records(peer, table).await && lacks_kept {
                    node.note_kept_fetched(table, kept);
                }
                node.with_inbox(table, |it| it.requesting = false);
            });
        }
        requested
    }

    /// Runs a function with the state of fetching a table.
    pub(super) fn with_inbox<T>(&self, table: Table, run: impl FnOnce(&mut Inbox) -> T) -> T {
        run(&mut self.inboxes.borrow_mut()[index(table)])
    }

    /// Returns the end of a table's copy once all announced records have arrived.
    fn announced_end(&self, table: Table) -> Position {
        let announced = self.with_inbox(table, |it| it.pending.as_ref().map(|it| it.pending.end()));
        self.end(table).max(announced.unwrap_or_default())
    }

    /// Returns whether this process may request records of a table from a peer of another region
    /// that is ahead.
    fn may_request_far(&self, table: Table) -> bool {
        let caller = self.fetcher();
        if caller.role == Role::Agent && !self.loaded(table) {
            return true;
        }
        let now = self.clock.now();
        let key = table as u64;
        let turn_ms = self.with_inbox(table, |it| match caller.role {
            Role::Agent => 0,
            Role::Entry => it.holders.far_wait_ms(key, caller, now),
        });
        self.is_far_behind_for(table, FAR_DELAY_MS + turn_ms)
    }

    /// Returns whether peers of other regions have been ahead with a table for a time.
    fn is_far_behind_for(&self, table: Table, wait_ms: u64) -> bool {
        let now = self.clock.now();
        self.with_inbox(table, |it| {
            // A time outside this window is discarded: near peers have most likely sent the missing
            // records since.
            let recent = it
                .behind_since
                .filter(|it| now < it.after_ms(wait_ms + FAR_DELAY_MS));
            it.behind_since = recent.or(Some(now));
            recent.is_some_and(|it| it.after_ms(wait_ms) <= now)
        })
    }

    /// Returns whether this process keeps a table up to date from peers. Agents need the table of
    /// replicas only while they fetch weights, and never the table of entries.
    fn follows(&self, table: Table) -> bool {
        match self.settings.borrow().role {
            settings::Role::Agent { .. } => table == Table::Operator,
            settings::Role::Entry { .. } => true,
        }
    }

    /// Fetches the records of a table that this process lacks from a peer; returns whether the peer
    /// replied. Large values follow later, from any peer that sends them.
    pub async fn fetch_records(self: &Rc<Node>, peer: Ipv4Addr, table: Table) -> bool {
        let address = self.peer_address(peer);
        let from = self.end(table);
        let requested_at = self.clock.now();
        let abridged = self.wants_abridged();
        let call = Call::Records {
            table,
            from,
            abridged,
        };
        let request = self
            .peers
            .call_within(&address, Lane::Live, &call, RECORDS_TIMEOUT);
        let reply = request.await;
        let (snapshot, rows, end, sound) = match reply {
            Ok(Ok(Reply::Records {
                snapshot,
                rows,
                end,
                sound,
            })) => (snapshot, rows, end, sound),
            Ok(Ok(Reply::Absent(Absence::Busy))) => {
                let pause = self.with_rng(|it| it.random_range(BUSY_MS));
                actix_rt::time::sleep(Duration::from_millis(pause)).await;
                return self.fetch_failed(peer, table, requested_at, "busy");
            }
            Ok(Ok(_)) => return self.fetch_failed(peer, table, requested_at, "unexpected"),
            Ok(Err(fault)) => return self.fetch_failed(peer, table, requested_at, reason(fault)),
            Err(_) => return self.fetch_failed(peer, table, requested_at, "late"),
        };
        self.note_received_rows(table, &rows, requested_at);
        let rows: Vec<pending_update::Row> = rows.into_iter().map(row).collect();
        let pending = PendingUpdate::new(snapshot, rows, end);
        if pending.oversized() {
            return self.fetch_failed(peer, table, requested_at, "too large");
        }
        let announced = Announced {
            pending,
            requested_at,
            source: Source::Peer(peer),
        };
        self.with_inbox(table, |it| it.holders.note(peer, None, end, requested_at));
        if sound {
            self.note_vouched(table, end, requested_at);
        }
        self.announce(table, announced);
        self.apply_complete(table);
        self.confirm_removals(table);
        self.start_fetch(table);
        true
    }

    /// Replaces the announced update by a newer one, which takes over the values that have arrived.
    fn announce(&self, table: Table, mut announced: Announced) {
        self.with_inbox(table, |it| {
            let before = it.pending.take();
            if let Some(before) = before {
                if announced.pending.end() < before.pending.end() {
                    it.pending = Some(before);
                    return;
                }
                let values = before.pending.values();
                announced
                    .pending
                    .fill(|want| values.get(&want.position).cloned());
            }
            let fetched = it.transfer.as_mut();
            if let Some(transfer) =
                fetched.filter(|t| announced.pending.missing() == Some(t.want()))
            {
                transfer.announced();
            }
            it.pending = Some(announced);
        });
    }

    /// Applies the part of the announced update that is complete, with records from peers and those
    /// read from the store in the meantime.
    pub(super) fn apply_complete(&self, table: Table) {
        let announced = self.with_inbox(table, |it| it.pending.take());
        let Some(mut announced) = announced else {
            return;
        };
        let end = self.end(table);
        if announced.pending.outdated(end) {
            return;
        }
        announced
            .pending
            .fill(|want| self.value_at(table, want.position));
        let update = announced.pending.take_ready(end);
        let ahead = announced.pending.usable_ahead();
        let (requested_at, source) = (announced.requested_at, announced.source);
        if announced.pending.missing().is_some() {
            self.with_inbox(table, |it| it.pending = Some(announced));
        }
        if let Some(update) = update {
            self.apply_update(table, update, source, requested_at);
        }
        let seen = ahead.iter().map(|it| it.position.next()).max();
        self.apply_ahead(table, ahead, source);
        self.note_peer_update(table, seen);
    }

    /// Counts and logs a failed fetch from a peer; returns `false`.
    pub(super) fn fetch_failed(
        &self,
        peer: impl fmt::Display,
        table: Table,
        requested_at: Time,
        reason: &'static str,
    ) -> bool {
        let label = Reason { reason };
        self.metrics
            .record_fetch_failures
            .get_or_create(&label)
            .inc();
        if let Some(log) = self.logs.line(Topic::Dependency) {
            warn!(log, "record fetch failed"; "table" => ?table, "peer" => %peer, "reason" => reason,
                "end" => %self.end(table),
                "behind_ms" => self.behind(table).map_or(-1, |it| it.as_millis() as i64),
                "ms" => self.clock.now().since(requested_at).as_millis() as u64);
        }
        false
    }
}

/// Returns the metric label of a failed call.
pub(super) fn reason(fault: client::CallError) -> &'static str {
    match fault {
        client::CallError::Lost => "lost",
        client::CallError::Unsent => "unsent",
    }
}

fn row(row: Row) -> pending_update::Row {
    let Row {
        key,
        value,
        position,
        ..
    } = row;
    let value = match value {
        Value::Deferred { length, digest } => {
            return pending_update::Row::Missing(MissingValue {
                key,
                position,
                length,
                digest,
            });
        }
        Value::Deleted => None,
        Value::Inline(value) => Some(Bytes::from(value)),
    };
    pending_update::Row::Present(Record {
        key,
        value,
        position,
    })
}
