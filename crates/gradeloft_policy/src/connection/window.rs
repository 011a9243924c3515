//! How many pieces of weights one agent asks for at once.
//!
//! A piece that takes much longer than its time on the agent's own link waited in a queue, before
//! live requests to the replica beside it, so fewer are asked for; pieces that come quickly let the
//! number grow again.

use std::time::Duration;

/// Most pieces at once.
const MOST: f64 = 6.0;
/// A piece is slow if it takes so many times its time on the link.
const SLOW: u32 = 8;
/// Pieces more at once for each that came quickly.
const GROWTH: f64 = 0.5;

/// Pieces asked for at once.
///
/// ```
/// use std::time::Duration;
/// use gradeloft_policy::connection::window::Window;
/// let mut window = Window::new(Duration::from_millis(40));
/// window.record_arrival(Duration::from_millis(900));
/// assert_eq!(window.size(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct Window {
    /// At least 1, at most [`MOST`].
    size: f64,
    /// Time of a piece on the agent's link.
    nominal: Duration,
}

impl Window {
    /// A window for pieces that take `nominal` on the agent's link.
    pub fn new(nominal: Duration) -> Window {
        Window {
            size: MOST / 2.0,
            nominal,
        }
    }

    /// Pieces that may be asked for at once.
    pub fn size(&self) -> usize {
        self.size as usize
    }

    /// Whether the last pieces took so long that one at a time is asked for.
    pub fn is_congested(&self) -> bool {
        self.size < 2.0
    }

    /// A piece came after `took`.
    pub fn record_arrival(&mut self, took: Duration) {
        self.size = if self.nominal * SLOW < took {
            (self.size / 2.0).max(1.0)
        } else {
            (self.size + GROWTH).min(MOST)
        };
    }
}
