//! Backpressure of replicas that are no longer listed.
//!
//! The platform may drop the record of a live replica while its store is away, and list the same
//! start again. What the replica said still holds then.

use std::{collections::HashMap, rc::Rc};

use super::{Rest, Throttle};
use crate::clock::Time;

/// Time for which the backpressure of a replica is kept, in milliseconds: several times as long as
/// a live replica may be missing.
const KEPT_MS: u64 = 60_000;

#[derive(Clone, Debug)]
struct Item {
    /// Start of the replica as a Unix time in milliseconds, if it is reported.
    born: Option<u64>,
    throttle: Throttle,
    /// Time of the first expiry after the removal.
    since: Option<Time>,
}

/// Backpressure of replicas that are no longer listed, by their ids.
#[derive(Clone, Debug, Default)]
pub struct Unlisted {
    items: HashMap<Rc<str>, Item>,
}

impl Unlisted {
    /// Keeps the backpressure of a start of a replica, if it signals any.
    pub fn keep(&mut self, id: &Rc<str>, born: Option<u64>, throttle: Throttle) {
        if !throttle.has_backpressure() && throttle.rest == Rest::default() {
            return;
        }
        let item = Item {
            born,
            throttle,
            since: None,
        };
        self.items.insert(Rc::clone(id), item);
    }

    /// Takes the backpressure of a replica that is listed again; `None` for another start.
    pub fn take(&mut self, id: &str, born: Option<u64>) -> Option<Throttle> {
        let item = self.items.remove(id)?;
        let mut throttle = (item.born == born).then_some(item.throttle)?;
        throttle.rest.probe_ended();
        Some(throttle)
    }

    /// Forgets a replica, as its start has ended.
    pub fn forget(&mut self, id: &str) {
        self.items.remove(id);
    }

    /// Forgets replicas that have long been missing.
    pub fn expire(&mut self, now: Time) {
        self.items
            .retain(|_, it| now < it.since.get_or_insert(now).after_ms(KEPT_MS));
    }
}
