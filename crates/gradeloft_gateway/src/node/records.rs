//! What peers bring of the platform's tables, and what they are given.
//!
//! An answer to a call for records holds small values, and announces large ones, which then come in parts
//! ([`parts`](super::parts)).

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
        replicas::StoreTrust,
        transfer::{Holders, MissingValue, Transfer},
    },
};
use gradeloft_wire::{
    frame::{Absence, Call, Reply, Role, Row, Table, Value},
    id::Digest,
};
use rand::Rng;
use slog::warn;

use super::{
    MAX_FRAME, Node,
    parts::Asked,
    tables::{BACK_MS, Source, index},
};
use crate::{logs::Topic, metrics::Reason, settings};

/// Longest time for which a peer that was asked for records sends nothing.
const PEER_SILENCE: Duration = Duration::from_millis(1_500);
/// Largest value that comes with its record, in bytes: at most 55 ms of an agent's link.
const HERE_BYTES: usize = 64 << 10;
/// Bytes of all values in an answer; the rest of the frame is for keys.
const ANSWER_BYTES: usize = MAX_FRAME / 4 * 3;
/// Pause after a peer that gives to others, in milliseconds.
const BUSY_MS: std::ops::RangeInclusive<u64> = 20..=120;
/// Time for which a peer of another region has to be ahead before it is asked for records, in
/// milliseconds: two pauses between near entries' datagrams, and an answer.
const FAR_MS: u64 = 300;

/// What comes of a table from peers.
#[derive(Default)]
pub(super) struct Inbox {
    /// Whether a peer is being asked for records.
    asking: bool,
    /// Since when a peer of another region has been ahead.
    behind: Option<Time>,
    pub(super) holders: Holders,
    pub(super) pending: Option<Announced>,
    /// Outlives what announced it: its record may be superseded meanwhile, and is still newer than what is
    /// here. To drop it for the newest each time would bring none of them while they change quickly.
    pub(super) transfer: Option<Transfer>,
    /// Whether the transfer is being worked on.
    pub(super) fetching: bool,
}

/// What a peer announced.
pub(super) struct Announced {
    pub(super) pending: PendingUpdate,
    /// Whether the peer vouches for its removals.
    sound: bool,
    asked: Time,
    /// Who brought the last of it.
    pub(super) source: Source,
}

impl Node {
    /// Answers a peer's call, if it is for records or for parts of one. Other calls are for other kinds of
    /// process; dropping the answer is how the caller knows.
    pub async fn serve_call(self: &Rc<Node>, call: Call, outgoing: Outgoing) {
        match call {
            Call::Parts {
                table,
                offset,
                start,
                caller,
            } => {
                let asked = Asked {
                    table,
                    offset,
                    start,
                    caller,
                };
                self.give_parts(asked, outgoing).await;
            }
            Call::Records { table, from, brief } => {
                self.give_records(table, from, brief, outgoing).await;
            }
            _ => {}
        }
    }

    /// Answers a peer's call for records.
    async fn give_records(
        self: &Rc<Node>,
        table: Table,
        from: u64,
        brief: bool,
        outgoing: Outgoing,
    ) {
        let Some(update) = self.given(table, from, brief) else {
            return;
        };
        // Where many ask at once, as after a start, few at a time are done sooner, and give to the others.
        let caller = if brief { Role::Agent } else { Role::Entry };
        let _slot = match update.bytes() {
            ..=HERE_BYTES => None,
            _ => match self.slot(caller) {
                Some(slot) => Some(slot),
                None => {
                    outgoing.finish(&Reply::Absent(Absence::Busy)).await;
                    return;
                }
            },
        };
        let mut room = ANSWER_BYTES;
        let rows = update.records.into_iter().map(|it| Row {
            age_ms: self.age_ms(table, &it),
            value: self.value_for_peer(table, &it, &mut room),
            key: it.key,
            offset: it.offset,
        });
        let reply = Reply::Records {
            snapshot: update.snapshot,
            rows: rows.collect(),
            end: update.end,
            sound: self.trust(table) == StoreTrust::Sound,
        };
        outgoing.finish(&reply).await;
    }

    /// A record's value as it is given to a peer; `room` is what is left for values in the answer.
    fn value_for_peer(&self, table: Table, record: &Record, room: &mut usize) -> Value {
        let Some(value) = &record.value else {
            return Value::Deleted;
        };
        let large = HERE_BYTES < value.len() || *room < value.len();
        // Parts are given of values as they are held, and not of abridged ones.
        if large && self.value_at(table, record.offset).as_ref() == Some(value) {
            return Value::Apart {
                length: value.len() as u64,
                digest: Digest::of(value),
            };
        }
        *room = room.saturating_sub(value.len());
        Value::Here(value.to_vec())
    }

    /// Value of a record, if it is held.
    pub(super) fn value_at(&self, table: Table, offset: u64) -> Option<Bytes> {
        let copies = self.copies.borrow();
        copies[index(table)].at(offset)?.value.clone()
    }

    /// An entry said that its copies go up to `ends`.
    pub(super) fn know_holder(&self, peer: Ipv4Addr, zone: &str, ends: [u64; 3]) {
        let near = self.near(zone);
        let now = self.clock.now();
        for (inbox, end) in self.inboxes.borrow_mut().iter_mut().zip(ends) {
            inbox.holders.note(peer, Some(near), end, now);
        }
    }

    /// Whether an availability zone lies in this process's region.
    pub(crate) fn near(&self, zone: &str) -> bool {
        let settings = self.settings();
        settings.region(zone) == settings.region(&settings.zone)
    }

    /// A peer's copies go up to `ends`: reads from it what this process lacks; gives whether that was
    /// anything. Peers of other regions are left alone for a moment, in which near ones most likely
    /// have it too, and then asked by a few processes of this region first.
    pub fn catch_up_from(self: &Rc<Node>, peer: Ipv4Addr, zone: &str, ends: [u64; 3]) -> bool {
        let mut asked = false;
        let near = self.near(zone);
        for table in Table::ALL {
            let asking = self.with_inbox(table, |it| it.asking);
            if asking || !self.follows(table) {
                continue;
            }
            let behind = self.announced_end(table) < ends[index(table)];
            let waits = !near && !self.asks_far(table);
            if !behind || waits {
                continue;
            }
            asked = true;
            self.with_inbox(table, |it| {
                it.behind = None;
                it.asking = true;
            });
            let node = Rc::clone(self);
            self.scope.spawn(async move {
                node.ask_records(peer, table).await;
                node.with_inbox(table, |it| it.asking = false);
            });
        }
        asked
    }

    pub(super) fn with_inbox<T>(&self, table: Table, run: impl FnOnce(&mut Inbox) -> T) -> T {
        run(&mut self.inboxes.borrow_mut()[index(table)])
    }

    /// Offset up to which the copy of a table goes once all is here that peers announced.
    fn announced_end(&self, table: Table) -> u64 {
        let announced = self.with_inbox(table, |it| it.pending.as_ref().map(|it| it.pending.end()));
        self.end(table).max(announced.unwrap_or(0))
    }

    /// Whether it is this process's turn to ask a peer of another region for a table, with which that is ahead.
    fn asks_far(&self, table: Table) -> bool {
        let caller = self.caller();
        if caller.role == Role::Agent && !self.loaded(table) {
            return true;
        }
        let now = self.clock.now();
        let key = table as u64;
        let turn_ms = self.with_inbox(table, |it| match caller.role {
            Role::Agent => 0,
            Role::Entry => it.holders.far_wait_ms(key, caller, now),
        });
        self.long_behind(table, FAR_MS + turn_ms)
    }

    /// Whether peers of other regions have been ahead with a table for so long.
    fn long_behind(&self, table: Table, wait_ms: u64) -> bool {
        let now = self.clock.now();
        self.with_inbox(table, |it| {
            // What near peers brought meanwhile does not count as being behind.
            let recent = it.behind.filter(|it| now < it.after_ms(wait_ms + FAR_MS));
            it.behind = recent.or(Some(now));
            recent.is_some_and(|it| it.after_ms(wait_ms) <= now)
        })
    }

    /// Agents need replicas only while they fetch weights, and entries never.
    fn follows(&self, table: Table) -> bool {
        match self.settings.borrow().role {
            settings::Role::Agent { .. } => table == Table::Operator,
            settings::Role::Entry { .. } => true,
        }
    }

    /// Reads what this process lacks of a table from a peer; gives whether the peer answered. Large values
    /// come later, from whoever gives them.
    pub async fn ask_records(self: &Rc<Node>, peer: Ipv4Addr, table: Table) -> bool {
        let address = self.peer_address(peer);
        let from = self.end(table);
        let asked = self.clock.now();
        let brief = self.takes_brief();
        let call = Call::Records { table, from, brief };
        let asking = self
            .peers
            .ask_within(&address, Lane::Live, &call, PEER_SILENCE);
        let reply = asking.await;
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
                return self.fetch_failed(peer, table, asked, "busy");
            }
            Ok(Ok(_)) => return self.fetch_failed(peer, table, asked, "unexpected"),
            Ok(Err(fault)) => return self.fetch_failed(peer, table, asked, reason(fault)),
            Err(_) => return self.fetch_failed(peer, table, asked, "late"),
        };
        self.note_given(table, &rows, asked);
        let rows: Vec<pending_update::Row> = rows.into_iter().map(row).collect();
        let pending = PendingUpdate::new(snapshot, rows, end);
        if pending.oversized() {
            return self.fetch_failed(peer, table, asked, "too large");
        }
        let announced = Announced {
            pending,
            sound,
            asked,
            source: Source::Peer(peer),
        };
        self.with_inbox(table, |it| it.holders.note(peer, None, end, asked));
        self.announce(table, announced);
        self.settle(table);
        self.fetch(table);
        true
    }

    /// Keeps what a peer announced in place of what was announced before, whose values it takes over.
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
                    .fill(|want| values.get(&want.offset).cloned());
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

    /// Takes in what has all come of what was announced, from peers or meanwhile from the store.
    pub(super) fn settle(&self, table: Table) {
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
            .fill(|want| self.value_at(table, want.offset));
        let update = announced.pending.take_ready(end);
        let ahead = announced.pending.usable_ahead();
        let (sound, asked, source) = (announced.sound, announced.asked, announced.source);
        if announced.pending.missing().is_some() {
            self.with_inbox(table, |it| it.pending = Some(announced));
        }
        // A peer that reads the store steadily knows better than a process that is cut off from it.
        self.peer_sound.set(sound);
        if let Some(update) = update {
            if !sound {
                self.peer_doubt.set(self.clock.now().after_ms(BACK_MS));
            }
            self.take(table, update, source, asked);
        }
        let seen = ahead.iter().map(|it| it.offset + 1).max();
        self.take_ahead(table, ahead, source);
        self.took_from_peer(table, seen);
        self.peer_sound.set(false);
    }

    /// Notes that a peer did not give what it was asked for.
    pub(super) fn fetch_failed(
        &self,
        peer: impl fmt::Display,
        table: Table,
        asked: Time,
        reason: &'static str,
    ) -> bool {
        let label = Reason { reason };
        self.metrics
            .record_fetch_failures
            .get_or_create(&label)
            .inc();
        if let Some(log) = self.logs.line(Topic::Dependency) {
            warn!(log, "record fetch failed"; "table" => ?table, "peer" => %peer, "reason" => reason,
                "end" => self.end(table),
                "behind_ms" => self.behind(table).map_or(-1, |it| it.as_millis() as i64),
                "ms" => self.clock.now().since(asked).as_millis() as u64);
        }
        false
    }
}

pub(super) fn reason(fault: client::Fault) -> &'static str {
    match fault {
        client::Fault::Lost => "lost",
        client::Fault::Unsent => "unsent",
    }
}

fn row(row: Row) -> pending_update::Row {
    let Row {
        key, value, offset, ..
    } = row;
    let value = match value {
        Value::Apart { length, digest } => {
            return pending_update::Row::Missing(MissingValue {
                key,
                offset,
                length,
                digest,
            });
        }
        Value::Deleted => None,
        Value::Here(value) => Some(Bytes::from(value)),
    };
    pending_update::Row::Present(Record { key, value, offset })
}
