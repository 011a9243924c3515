//! Rates an entry by the operator's records that it lacks and others hold.
//!
//! A final "no such route" is wrong if a newer configuration allows the request, while "not run,
//! retry" costs little. An entry that lacks records therefore denies no request. An entry that has
//! lacked them for long handles requests by outdated rules, so it leaves callers to entries with
//! newer records, as long as these can handle the load. An entry does not act on missing records
//! that it doesn't know of: an entry that is cut off from the store and from all peers continues to
//! serve. Only the silence of both the store and the peers would show that records may be missing:
//! no datagram from any peer and no response from the store for longer than the limit for applying
//! changes.

use std::time::Duration;

/// Share of the time limit for applying a configuration during which an entry that lacks it still
/// accepts callers. The limit counts from the confirmation, which follows after peers hold the
/// record. With a limit of 2 s this is 1.6 s, and entries of other regions announce the end of
/// their copies at least every 0.5 s. These 1.6 s are well above the time of a usual change, or a
/// large one over slow links, so entries seldom stop accepting callers.
const STALE_AFTER: f64 = 0.8;

/// Freshness of an entry's copy of the operator's records.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Freshness {
    /// The entry has lacked records for long, and leaves callers to other entries.
    Stale,
    /// The entry accepts callers but denies no request, since others hold newer records.
    Behind,
    /// The entry lacks no record that it knows of.
    #[default]
    Current,
}

impl Freshness {
    /// Returns the freshness of an entry that has lacked records for the time `lacked`, or that
    /// lacks none if this is `None`. Only catching up makes the entry current again, and does so at
    /// once. The time counts from when the entry learned of the first record that it still lacks,
    /// so an entry that follows frequent changes closely never counts as stale.
    ///
    /// `apply` is the time limit for applying a configuration. `most_beyond` returns whether most
    /// entries hold the missing records. If most entries lack these records too, such as while a
    /// large record is being distributed, they would otherwise all refuse callers.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gradeloft_policy::process::freshness::Freshness;
    /// let apply = Duration::from_secs(2);
    /// let long = Some(apply);
    /// assert_eq!(Freshness::of(None, apply, || true), Freshness::Current);
    /// assert_eq!(Freshness::of(long, apply, || false), Freshness::Behind);
    /// assert_eq!(Freshness::of(long, apply, || true), Freshness::Stale);
    /// ```
    pub fn of(
        lacked: Option<Duration>,
        apply: Duration,
        most_beyond: impl FnOnce() -> bool,
    ) -> Freshness {
        let Some(lacked) = lacked else {
            return Freshness::Current;
        };
        if apply.mul_f64(STALE_AFTER) <= lacked && most_beyond() {
            Freshness::Stale
        } else {
            Freshness::Behind
        }
    }
}
