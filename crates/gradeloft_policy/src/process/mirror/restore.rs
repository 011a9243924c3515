//! Restores of the store: the first snapshot of an era, and the records that copies keep although the
//! store has lost them.

use std::collections::HashSet;

use gradeloft_wire::position::Position;

use super::{LostRecords, Mirror, Record, Update};
use crate::rendezvous;

impl Mirror {
    /// Returns a digest of the records that this copy keeps although the store has lost them; 0 if
    /// there are none.
    pub fn kept_digest(&self) -> u32 {
        let kept = self.kept.iter().flat_map(|(key, position)| {
            let position = [u64::from(position.era), position.offset];
            let position = position.into_iter().flat_map(u64::to_be_bytes);
            key.bytes().chain(position)
        });
        match self.kept.is_empty() {
            true => 0,
            false => (rendezvous::hash(&kept.collect::<Vec<u8>>()) as u32).max(1),
        }
    }

    /// Returns the number of records that this copy keeps although the store has lost them.
    pub fn kept_len(&self) -> usize {
        self.kept.len()
    }

    /// Returns whether the copy was up to date in the era before.
    pub fn has_previous_era(&self) -> bool {
        self.previous_end != Position::START
    }

    /// Returns the records that this copy keeps although the store has lost them.
    pub(super) fn kept_records(&self) -> impl Iterator<Item = Record> {
        self.kept.iter().map(|(key, position)| Record {
            key: key.clone(),
            value: self.value(key).cloned(),
            position: *position,
        })
    }

    /// Applies the first snapshot after a restore of the store. `kept` are the records that a peer
    /// keeps, which the snapshot lacks.
    pub(super) fn enter_era(
        &mut self,
        update: &Update,
        kept: &[Record],
        current: bool,
    ) -> Vec<Record> {
        let restored_end = self.restored_end(update);
        let keeps_missing = self.lost_records == LostRecords::Keep && current;
        let gone = self.missing_keys(update, kept);
        let gone = gone.filter(|it| !(keeps_missing && self.lost(it, restored_end)));
        let gone: Vec<String> = gone.cloned().collect();
        let (superseded, applied): (Vec<&Record>, Vec<&Record>) = update
            .records
            .iter()
            .partition(|it| self.supersedes(it, restored_end));
        let mut changed = self.remove_all(gone, update.end);
        for record in applied {
            changed.extend(self.set(record.clone()));
        }
        self.previous_end = match current {
            true => self.end,
            false => Position::START,
        };
        self.clear_tail();
        self.lineage.truncate(restored_end);
        self.lineage.extend(&update.records);
        self.end = update.end;
        self.lineage.skip_to(update.end.offset);
        self.note_kept(superseded.into_iter().map(|it| it.key.as_str()).collect());
        changed
    }

    /// Returns a lower bound for the offset up to which a restored store still has the records of
    /// the era before: the end of the last one in the snapshot that this copy has seen, too.
    fn restored_end(&self, snapshot: &Update) -> u64 {
        let known = snapshot.records.iter().filter(|it| self.lineage.has(it));
        known.map(|it| it.position.offset + 1).max().unwrap_or(0)
    }

    /// Returns whether the latest record of a key is not among those that a restored store still
    /// has.
    fn lost(&self, key: &str, restored_end: u64) -> bool {
        let position = self.position_of(key);
        position.is_some_and(|it| it.era < self.end.era || restored_end <= it.offset)
    }

    /// Returns whether a record of a restored store is older than the one that this copy has of its
    /// key.
    fn supersedes(&self, restored: &Record, restored_end: u64) -> bool {
        let offset = restored.position.offset;
        let is_newer = |it: Position| it.era < self.end.era || offset < it.offset;
        self.lost_records != LostRecords::Drop
            && offset < restored_end
            && self.position_of(&restored.key).is_some_and(is_newer)
    }

    /// Notes which records and deletions of earlier eras this copy keeps. `superseded` are the keys
    /// of which the restored store has an older record.
    fn note_kept(&mut self, superseded: HashSet<&str>) {
        let era = self.end.era;
        let earlier = self.newest.values().filter(|it| it.position.era < era);
        let earlier = earlier.map(|it| (it.key.clone(), it.position));
        let undone = self.deleted.iter();
        let undone = undone.filter(|(key, _)| superseded.contains(key.as_str()));
        let undone = undone.map(|(key, position)| (key.clone(), *position));
        self.kept = earlier.chain(undone).collect();
        let kept = &self.kept;
        self.deleted.retain(|key, _| kept.contains_key(key));
    }

    /// Applies the records that a peer keeps. `seen_end` is the end of the peer's copy: the peer
    /// kept them over all records before it.
    pub(super) fn adopt(&mut self, kept: Vec<Record>, seen_end: Position) -> Vec<Record> {
        let mut changed = Vec::new();
        if self.lost_records == LostRecords::Drop {
            return changed;
        }
        for record in kept {
            let position = record.position;
            // This copy had the record, and has seen what replaced it since.
            let resolved = position.era == self.previous_end.era
                && position < self.previous_end
                && !self.kept.contains_key(&record.key);
            let outdated = match self.position_of(&record.key) {
                None => false,
                Some(known) if known.era < self.end.era => position <= known,
                Some(known) => seen_end <= known || self.deleted.contains_key(&record.key),
            };
            if resolved || outdated || self.end.era <= position.era {
                continue;
            }
            let value = record.value.clone();
            let before = self.remove(&record.key);
            self.kept.insert(record.key.clone(), position);
            match &value {
                Some(_) => {
                    self.deleted.remove(&record.key);
                    self.newest.insert(record.key.clone(), record.clone());
                }
                None => self.note_deletion(&record.key, position),
            }
            if before.and_then(|it| it.value) != value {
                changed.push(record);
            }
        }
        changed
    }

    /// Returns the position of the latest known record or deletion of a key.
    fn position_of(&self, key: &str) -> Option<Position> {
        let newest = self.newest.get(key).map(|it| it.position);
        newest.or_else(|| self.deleted.get(key).copied())
    }
}
