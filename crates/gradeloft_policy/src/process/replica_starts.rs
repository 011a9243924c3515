//! Assigns messages about a replica to its starts.
//!
//! A replica may restart under the same id, and then loses its state. It reports the time of each
//! start by the clock of its instance, which may be set back between two starts.

/// Relation of a message to the known start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOrder {
    /// The message concerns a start that has ended.
    Ended,
    /// The message concerns a start that was not known.
    Newer,
    /// The message concerns the known start, or one that can't be distinguished from it.
    Same,
}

/// Returns whether two start times are those of different starts; false if one is unknown.
pub fn differ(before: Option<u64>, after: Option<u64>) -> bool {
    before.is_some() && after.is_some() && before != after
}

/// What a replica says of itself.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Identity<'a> {
    /// Id.
    pub id: Option<&'a str>,
    /// Time of its start, as a Unix time in milliseconds.
    pub born: Option<u64>,
}

/// Relation of what is said at a replica's address to a known start of the replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Answerer {
    /// Another replica, or another start.
    Other,
    /// The known start.
    Same,
    /// What was said does not tell.
    Unknown,
}

impl Identity<'_> {
    /// Compares what is said at a replica's address with the known start of the replica. Where starts
    /// have times, an id may be used again, and does not tell by itself, also if the time of the known
    /// start has not been learned yet.
    ///
    /// ```
    /// use gradeloft_policy::process::replica_starts::{Answerer, Identity};
    /// let known = Identity { id: Some("i-7"), born: Some(2_000) };
    /// let said = |id, born| known.compare(Identity { id, born });
    /// assert_eq!(said(Some("i-7"), Some(2_000)), Answerer::Same);
    /// assert_eq!(said(Some("i-7"), Some(3_000)), Answerer::Other);
    /// assert_eq!(said(Some("i-8"), None), Answerer::Other);
    /// assert_eq!(said(Some("i-7"), None), Answerer::Unknown);
    /// let unknown_time = Identity { born: None, ..known };
    /// let later = Identity { id: Some("i-7"), born: Some(3_000) };
    /// assert_eq!(unknown_time.compare(later), Answerer::Unknown);
    /// ```
    pub fn compare(self, said: Identity<'_>) -> Answerer {
        if said.id.is_some() && self.id != said.id {
            return Answerer::Other;
        }
        match (self.born, said.born) {
            (Some(known), Some(said)) if known == said => Answerer::Same,
            (Some(_), Some(_)) => Answerer::Other,
            (None, None) if said.id.is_some() => Answerer::Same,
            _ => Answerer::Unknown,
        }
    }
}

/// The starts of one replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Starts {
    /// The known start, as a Unix time in milliseconds.
    current: Option<u64>,
    /// The start before the known one.
    ended: Option<u64>,
}

impl Starts {
    /// Creates the state for the first known start.
    pub fn new(born: Option<u64>) -> Starts {
        Starts {
            current: born,
            ended: None,
        }
    }

    /// Applies a record of the platform's table, whose records are read in order.
    ///
    /// ```
    /// use gradeloft_policy::process::replica_starts::{StartOrder, Starts};
    /// let mut starts = Starts::new(Some(2_000));
    /// assert_eq!(starts.listed(Some(2_000)), StartOrder::Same);
    /// // Its clock was set back before it started again.
    /// assert_eq!(starts.listed(Some(1_000)), StartOrder::Newer);
    /// assert_eq!(starts.received(Some(2_000)), StartOrder::Ended);
    /// ```
    pub fn listed(&mut self, born: Option<u64>) -> StartOrder {
        match (self.current, born) {
            (Some(current), Some(born)) if current != born => {
                self.ended = Some(current);
                self.current = Some(born);
                StartOrder::Newer
            }
            _ => {
                self.current = self.current.or(born);
                StartOrder::Same
            }
        }
    }

    /// Applies a message that may be delayed: a message about an earlier start, or about the start
    /// that ended last, changes nothing.
    pub fn received(&mut self, born: Option<u64>) -> StartOrder {
        match (self.current, born) {
            (Some(current), Some(born)) if born < current || self.ended == Some(born) => {
                StartOrder::Ended
            }
            _ => self.listed(born),
        }
    }

    /// Returns the known start as a Unix time in milliseconds.
    pub fn born(self) -> Option<u64> {
        self.current
    }
}
