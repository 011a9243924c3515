//! What an entry makes of knowing that others have newer records of the operator's.
//!
//! A final "no such route" is wrong for what a newer configuration may allow, while "not run, ask again"
//! costs little, so an entry that lacks records denies nothing. An entry that lacks them for long handles
//! requests by what no longer holds, so it leaves callers to those that know more, as long as these can
//! bear them. What it does not know of it does not act on: an entry that is cut off from the store and
//! from all peers serves on. That would show only in the silence of both: no datagram from any peer, and no
//! answer of the store, for longer than the bound on following.

use std::time::Duration;

/// Part of the time for a configuration to be in force for which an entry that lacks it takes callers as if
/// it lacked nothing. That time counts from the confirmation, which comes after peers have the record: with
/// a bound of 2 s this is 1.6 s, and entries of other regions tell each 0.5 s at the latest how far their
/// copies go. Well above the time that a usual change takes on its way, and a large one over narrow links, so
/// entries seldom step aside.
const ASIDE: f64 = 0.8;

/// How an entry takes callers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Freshness {
    /// It leaves them to others.
    Stale,
    /// It takes them, but denies nothing: others know more.
    Behind,
    /// It lacks nothing that it knows of.
    #[default]
    Current,
}

impl Freshness {
    /// Of an entry that has `lacked` something for a time. There is no way back but to catch up, which
    /// ends it at once: it counts from when the first record that is still lacked was known of, so an
    /// entry that follows changes in close order is never long behind.
    ///
    /// `apply` is the time for a configuration to be in force. `most_beyond` says whether most entries have what it lacks. Where most lack it too, as while a
    /// large record is on its way to all, they would refuse everybody.
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
        if apply.mul_f64(ASIDE) <= lacked && most_beyond() {
            Freshness::Stale
        } else {
            Freshness::Behind
        }
    }
}
