//! Availability zones that datagrams name.

use std::collections::HashSet;

/// Maximum number of zones that the settings do not name, three times those of the largest fleet that is
/// designed for.
const MAX_UNLISTED: usize = 64;
/// Maximum length of the name of such a zone, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Zones that the settings do not name. Each zone without a region is a region of its own, for which a process
/// keeps state and sends messages.
#[derive(Clone, Debug, Default)]
pub struct Zones {
    /// At most [`MAX_UNLISTED`].
    unlisted: HashSet<String>,
}

impl Zones {
    /// Returns whether a datagram from `zone` is read. `is_listed` is whether the settings name the zone.
    pub fn admit(&mut self, zone: &str, is_listed: bool) -> bool {
        if is_listed || self.unlisted.contains(zone) {
            return true;
        }
        if MAX_UNLISTED <= self.unlisted.len() || MAX_NAME_BYTES < zone.len() {
            return false;
        }
        self.unlisted.insert(zone.to_owned())
    }
}
