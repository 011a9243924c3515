//! Write times of records, and stalls of the process, after which received data may be old.

use std::{rc::Rc, time::Duration};

use gradeloft_policy::{
    clock::Time,
    process::{
        gaps::Gaps,
        mirror::{Record, Update},
        write_times::Read,
    },
};
use gradeloft_wire::{
    frame::{Row, Table},
    position::Position,
};
use slog::warn;

use super::{
    Node,
    tables::{ReadState, index},
};
use crate::logs::Topic;

/// Pause between checks for a stall of the process.
const TICK: Duration = Duration::from_millis(250);
/// Shortest pause between ticks that counts as a stall, in milliseconds: four ticks, so that a lack
/// of processor time alone does not count.
const STALL_MS: u64 = 1_000;
/// Time after a stall for which a process that receives nothing treats its copies as stale, in
/// milliseconds: far above the 0.4 s within which its peers send, if it has any.
const STALE_MS: u64 = 1_000;
/// Silence of all peers after which this process counts as cut off, in milliseconds: six intervals
/// between near entries' datagrams, and one and a half between an entry's datagrams to an agent.
const SILENCE_MS: u64 = 750;

/// Gaps in this process's activity.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActivityGaps {
    /// Gaps between ticks.
    ticks: Gaps,
    /// Gaps between datagrams.
    datagrams: Gaps,
}

impl Default for ActivityGaps {
    fn default() -> ActivityGaps {
        ActivityGaps {
            ticks: Gaps::new(STALL_MS),
            datagrams: Gaps::new(SILENCE_MS),
        }
    }
}

impl Node {
    /// Checks continuously for stalls of the process.
    pub async fn detect_stalls(self: Rc<Node>) {
        loop {
            self.detect_stall();
            actix_rt::time::sleep(TICK).await;
        }
    }

    /// Checks whether the process was stalled a moment ago, or its machine suspended. Called before
    /// the process acts on its state, which is outdated after a stall.
    pub fn detect_stall(&self) {
        let now = self.clock.now();
        let ticks = &mut self.activity_gaps.borrow_mut().ticks;
        let stalled = ticks.current(now);
        ticks.note_event(now);
        let suspended = self.timers.check_suspension();
        if !suspended.is_zero() {
            if let Some(log) = self.logs.line(Topic::State) {
                warn!(log, "process was suspended"; "ms" => suspended.as_millis() as u64);
            }
        } else if let Some(stalled) = stalled {
            self.metrics.stalls.inc();
            if let Some(log) = self.logs.line(Topic::State) {
                warn!(log, "process stalled"; "ms" => stalled.as_millis() as u64);
            }
        }
    }

    /// Returns whether datagrams received now were sent a moment ago, rather than during a stall.
    pub fn datagrams_are_current(&self) -> bool {
        self.activity_gaps.borrow().ticks.fresh(self.clock.now())
    }

    /// Returns whether the process was stalled and has not received the ends of other copies since.
    /// Until then the records that it lacks are unknown.
    pub fn stale_after_stall(&self) -> bool {
        let now = self.clock.now();
        let Some(stall_end) = self.activity_gaps.borrow().ticks.last_end(now) else {
            return false;
        };
        let informed = self.informed_at.get().is_some_and(|it| stall_end < it);
        !informed && now < stall_end.after_ms(STALE_MS)
    }

    /// Returns the time at which a record counts as written. For a record read after an
    /// interruption, this is before the interruption; for one that a peer sent, no later than at
    /// the peer.
    pub fn written_at(&self, table: Table, record: &Record) -> Time {
        let now = self.clock.now();
        let effective = self.write_times.borrow()[index(table)].effective_since(record.position);
        effective.map_or(now, |it| it.min(now))
    }

    /// Returns the times for which this process's copies have not been confirmed complete by its
    /// own reads, in milliseconds; `u16::MAX` for longer times, and for copies that were never
    /// confirmed.
    pub(super) fn unconfirmed_ms(&self) -> [u16; 3] {
        let now = self.clock.now();
        let ages = self.write_times.borrow();
        Table::ALL.map(|it| {
            // A process that doesn't advertise the end of its copy can't report it as complete.
            let advertised = self.advertised_end(it) == self.end(it);
            let unconfirmed = ages[index(it)].unconfirmed_ms(now);
            unconfirmed
                .filter(|_| advertised)
                .map_or(u16::MAX, saturate)
        })
    }

    /// Notes the ends of a peer's copies, and the times for which the copies have not been
    /// confirmed by the peer's own reads. As the times cover own reads only, no report comes back
    /// to its sender as new information.
    pub fn note_peer_copies(&self, ends: [Position; 3], unconfirmed_ms: [u16; 3]) {
        let now = self.clock.now();
        let mut activity_gaps = self.activity_gaps.borrow_mut();
        activity_gaps.ticks.note_event(now);
        activity_gaps.datagrams.note_event(now);
        let fresh = activity_gaps.ticks.fresh(now);
        if fresh {
            self.informed_at.set(Some(now));
        }
        let mut ages = self.write_times.borrow_mut();
        for ((table, end), age) in ages.iter_mut().zip(ends).zip(unconfirmed_ms) {
            table.note_peer_end(end, now);
            // Right after a stall, the datagram may have been waiting in the socket.
            if fresh && age < u16::MAX {
                table.note_peer_complete(end, u64::from(age), now);
            }
        }
    }

    /// Returns the age of a record, from the time at which it counts as written, in milliseconds;
    /// `u16::MAX` for longer.
    pub(super) fn age_ms(&self, table: Table, record: &Record) -> u16 {
        let written = self.written_at(table, record);
        saturate(self.clock.now().since(written).as_millis() as u64)
    }

    /// Notes the ages of records that a peer sent on a call made at `requested_at`.
    pub(super) fn note_received_rows(&self, table: Table, rows: &[Row], requested_at: Time) {
        let ages = &mut self.write_times.borrow_mut()[index(table)];
        for row in rows {
            ages.note_received(row.position, u64::from(row.age_ms), requested_at);
        }
    }

    /// Notes a successful read of the store, which waited there for up to `wait`, before it is
    /// applied.
    pub(super) fn note_read(
        &self,
        table: Table,
        update: &Update,
        requested_at: Time,
        wait: Duration,
    ) {
        let received_at = self.clock.now();
        let interrupted = self.read_states.borrow()[index(table)] == ReadState::Interrupted;
        self.set_after_interruption(table, interrupted);
        let activity_gaps = self.activity_gaps.borrow();
        let last_read = self.write_times.borrow()[index(table)].read_at();
        let last_stall = activity_gaps.ticks.last_end(received_at);
        self.continue_reads(table, last_read.is_some() && last_read < last_stall);
        let gap = |it: &Gaps| it.gap_since(requested_at, received_at);
        let disturbed = interrupted || gap(&activity_gaps.ticks) || gap(&activity_gaps.datagrams);
        if !disturbed {
            self.informed_at.set(Some(received_at));
        }
        let read = Read {
            requested_at,
            wait,
            received_at,
            bytes: update.bytes(),
            disturbed,
        };
        let positions = update.records.iter().map(|it| it.position);
        self.write_times.borrow_mut()[index(table)].note_read(positions, read);
    }
}

fn saturate(ms: u64) -> u16 {
    ms.min(u64::from(u16::MAX)) as u16
}
