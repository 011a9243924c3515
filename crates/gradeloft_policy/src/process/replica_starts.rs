//! Which start of a replica something was said of.
//!
//! A replica may start again under the id that it had, and then knows nothing of before. Each start says
//! when it began, by its instance's clock, which may have been set back meanwhile.

/// How what was said relates to the start that is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOrder {
    /// Of a start that has ended.
    Ended,
    /// Of a start that is not known yet.
    Newer,
    /// Of the start that is known, or of one that can't be told from it.
    Same,
}

/// The starts of one replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Starts {
    /// Unix millisecond of the one that is known.
    now: Option<u64>,
    /// Of the one before it.
    ended: Option<u64>,
}

impl Starts {
    /// The first that is known.
    pub fn new(born: Option<u64>) -> Starts {
        Starts {
            now: born,
            ended: None,
        }
    }

    /// Takes in what the platform's table says, whose records are read in order.
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
        match (self.now, born) {
            (Some(now), Some(born)) if now != born => {
                self.ended = Some(now);
                self.now = Some(born);
                StartOrder::Newer
            }
            _ => {
                self.now = self.now.or(born);
                StartOrder::Same
            }
        }
    }

    /// Takes in what a message says that may be late: an earlier start, or the one that ended last, is
    /// no news.
    pub fn received(&mut self, born: Option<u64>) -> StartOrder {
        match (self.now, born) {
            (Some(now), Some(born)) if born < now || self.ended == Some(born) => StartOrder::Ended,
            _ => self.listed(born),
        }
    }

    /// Unix millisecond of the start that is known.
    pub fn born(self) -> Option<u64> {
        self.now
    }
}
