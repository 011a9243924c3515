//! Since when records count as written, and what may have been on its way for long when it is read.

use std::{rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        gaps::Gaps,
        mirror::{Record, Update},
        write_times::Read,
    },
};
use gradeloft_wire::frame::{Row, Table};
use slog::warn;

use super::{
    Node,
    tables::{Reading, index},
};
use crate::logs::Topic;

/// Pause between looks at whether the process stands still.
const TICK: Duration = Duration::from_millis(250);
/// Pause between signs of life from which on the process stood still, in milliseconds: four ticks, so that
/// want of processor time alone does not look like it.
const STILL_MS: u64 = 1_000;
/// Time after it stood still for which a process that receives nothing takes its copies for old, in milliseconds:
/// far above the 0.4 s within which its peers send, if it has any.
const UNAWARE_MS: u64 = 1_000;
/// Silence of all peers from which on this process was cut off, in milliseconds: six of the pauses between
/// near entries' datagrams, one and a half of those between an entry's datagrams to an agent.
const SILENCE_MS: u64 = 750;

/// Gaps in what this process does and receives.
#[derive(Clone, Copy, Debug)]
pub(super) struct Disturbances {
    ticks: Gaps,
    datagrams: Gaps,
}

impl Default for Disturbances {
    fn default() -> Disturbances {
        Disturbances {
            ticks: Gaps::new(STILL_MS),
            datagrams: Gaps::new(SILENCE_MS),
        }
    }
}

impl Node {
    /// Looks again and again whether the process stood still.
    pub async fn detect_stalls(self: Rc<Node>) {
        loop {
            self.detect_stall();
            actix_rt::time::sleep(TICK).await;
        }
    }

    /// Looks whether the process stood still a moment ago, or its machine was suspended: before anything is
    /// acted on, as what a process believed before it stood still is old by then.
    pub fn detect_stall(&self) {
        self.disturbances
            .borrow_mut()
            .ticks
            .note_event(self.clock.now());
        let suspended = self.timers.look();
        if !suspended.is_zero()
            && let Some(log) = self.logs.line(Topic::State)
        {
            warn!(log, "was suspended"; "ms" => suspended.as_millis() as u64);
        }
    }

    /// Whether what is received now was sent a moment ago, rather than while the process stood still.
    pub fn receives_current(&self) -> bool {
        self.disturbances.borrow().ticks.fresh(self.clock.now())
    }

    /// Whether the process stood still and has not learned since how far others are: what its copies lack by
    /// now it doesn't know.
    pub fn stale_after_stall(&self) -> bool {
        let now = self.clock.now();
        let Some(woke) = self.disturbances.borrow().ticks.last_end(now) else {
            return false;
        };
        let informed = self.informed_at.get().is_some_and(|it| woke < it);
        !informed && now < woke.after_ms(UNAWARE_MS)
    }

    /// Since when a record of a table counts as written: what was read after an interruption counts from
    /// before it, and what a peer gave is at least as old as it was to the peer.
    pub fn written_at(&self, table: Table, record: &Record) -> Time {
        let now = self.clock.now();
        let counts = self.ages.borrow()[index(table)].effective_since(record.offset);
        counts.map_or(now, |it| it.min(now))
    }

    /// For how long this process's copies have not been known to be whole by its own reads, in milliseconds;
    /// the largest number for longer, and for never.
    pub(super) fn unconfirmed_ms(&self) -> [u16; 3] {
        let now = self.clock.now();
        let ages = self.ages.borrow();
        Table::ALL.map(|it| {
            // Whoever doesn't say how far its copy goes can't say that it was whole there.
            let said = self.offered(it) == self.end(it);
            let unconfirmed = ages[index(it)].unconfirmed_ms(now);
            unconfirmed.filter(|_| said).map_or(u16::MAX, saturate)
        })
    }

    /// A peer said how far its copies go, and for how long it has not known them to be whole by reads of its
    /// own. Only such words count, so that no word comes back as news to who said it.
    pub fn receive_ages(&self, ends: [u64; 3], unconfirmed_ms: [u16; 3]) {
        let now = self.clock.now();
        let mut disturbances = self.disturbances.borrow_mut();
        disturbances.ticks.note_event(now);
        disturbances.datagrams.note_event(now);
        let fresh = disturbances.ticks.fresh(now);
        if fresh {
            self.informed_at.set(Some(now));
        }
        let mut ages = self.ages.borrow_mut();
        for ((table, end), age) in ages.iter_mut().zip(ends).zip(unconfirmed_ms) {
            table.note_peer_end(end, now);
            // Right after the process stood still, the datagram may have lain in the socket.
            if fresh && age < u16::MAX {
                table.note_peer_complete(end, u64::from(age), now);
            }
        }
    }

    /// For how long a record has counted as written, in milliseconds; the largest number for longer.
    pub(super) fn age_ms(&self, table: Table, record: &Record) -> u16 {
        let written = self.written_at(table, record);
        saturate(self.clock.now().since(written).as_millis() as u64)
    }

    /// A peer gives records on a call that was made at `asked`.
    pub(super) fn note_given(&self, table: Table, rows: &[Row], asked: Time) {
        let ages = &mut self.ages.borrow_mut()[index(table)];
        for row in rows {
            ages.note_received(row.offset, u64::from(row.age_ms), asked);
        }
    }

    /// Notes a good read of the store, which waited there for up to `wait`, before it is taken in.
    pub(super) fn note_read(&self, table: Table, update: &Update, asked: Time, wait: Duration) {
        let answered = self.clock.now();
        let interrupted = self.reading.borrow()[index(table)] == Reading::Interrupted;
        self.set_after_interruption(table, interrupted);
        let disturbances = self.disturbances.borrow();
        let gap = |it: &Gaps| it.gap_since(asked, answered);
        let disturbed = interrupted || gap(&disturbances.ticks) || gap(&disturbances.datagrams);
        if !disturbed {
            self.informed_at.set(Some(answered));
        }
        let read = Read {
            asked,
            wait,
            answered,
            bytes: update.bytes(),
            disturbed,
        };
        let offsets = update.records.iter().map(|it| it.offset);
        self.ages.borrow_mut()[index(table)].note_read(offsets, read);
    }
}

fn saturate(ms: u64) -> u16 {
    ms.min(u64::from(u16::MAX)) as u16
}
