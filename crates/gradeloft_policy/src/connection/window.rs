//! Adaptive number of concurrent requests for chunks of weights by one agent.
//!
//! A chunk that takes much longer than its transfer time on the agent's own link was queued, ahead
//! of live requests to the replica on the same instance, so the window shrinks. Chunks that arrive
//! quickly let it grow again.

use std::time::Duration;

/// Largest window.
const MAX_SIZE: f64 = 6.0;
/// Multiple of the nominal transfer time beyond which a chunk is slow.
const SLOW_FACTOR: u32 = 8;
/// Growth of the window for each chunk that arrives quickly.
const GROWTH: f64 = 0.5;

/// Window of concurrent chunk requests.
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
    /// Window size, from 1 to [`MAX_SIZE`].
    size: f64,
    /// Transfer time of a chunk on the agent's link.
    nominal: Duration,
}

impl Window {
    /// Creates a window for chunks that take `nominal` on the agent's link.
    pub fn new(nominal: Duration) -> Window {
        Window {
            size: MAX_SIZE / 2.0,
            nominal,
        }
    }

    /// Returns the number of chunks that may be requested concurrently.
    pub fn size(&self) -> usize {
        self.size as usize
    }

    /// Returns whether recent chunks were so slow that only one is requested at a time.
    pub fn is_congested(&self) -> bool {
        self.size < 2.0
    }

    /// Records a chunk that arrived after `took`.
    pub fn record_arrival(&mut self, took: Duration) {
        self.size = if self.nominal * SLOW_FACTOR < took {
            (self.size / 2.0).max(1.0)
        } else {
            (self.size + GROWTH).min(MAX_SIZE)
        };
    }
}
