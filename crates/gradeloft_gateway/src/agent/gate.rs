//! Bounds how many pieces are asked for at once.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use gradeloft_policy::connection::window::Window;
use tokio::sync::Notify;

/// Lets as many in as the window says.
pub struct Gate {
    window: RefCell<Window>,
    inside: Cell<usize>,
    left: Notify,
}

/// A place inside, free again when dropped.
pub struct Pass<'a>(&'a Gate);

impl Gate {
    /// A gate for pieces that take `nominal` on this instance's link.
    pub fn new(nominal: Duration) -> Gate {
        Gate {
            window: RefCell::new(Window::new(nominal)),
            inside: Cell::new(0),
            left: Notify::new(),
        }
    }

    /// Waits for a place.
    pub async fn enter(&self) -> Pass<'_> {
        while self.window.borrow().size() <= self.inside.get() {
            self.left.notified().await;
        }
        self.inside.set(self.inside.get() + 1);
        Pass(self)
    }

    /// A piece came after `took`.
    pub fn arrived(&self, took: Duration) {
        self.window.borrow_mut().arrived(took);
        self.left.notify_one();
    }
}

impl Drop for Pass<'_> {
    fn drop(&mut self) {
        self.0.inside.set(self.0.inside.get() - 1);
        self.0.left.notify_one();
    }
}
