//! Connections of a listener, within its limits.

use std::{
    cell::{Cell, RefCell},
    fmt,
    rc::Rc,
    time::Duration,
};

use gradeloft_policy::{
    clock::Time,
    connection::intake::{self, Activity, ConnectionKey, Content, Growth, Limits, Shortage},
};
use slotmap::SecondaryMap;
use tokio::{sync::Notify, time::timeout};

/// Interval between attempts to admit a connection.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Connection or request that ended in favour of others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Resource that was exhausted.
    pub shortage: Shortage,
    /// State of the connection.
    pub activity: Activity,
    /// Shared memory that the connection held or asked for, in bytes.
    pub bytes: usize,
}

/// Receiver of refusals, for logs and metrics.
pub type Observer = Rc<dyn Fn(Refusal)>;

/// Clock of a listener.
pub type Now = Rc<dyn Fn() -> Time>;

/// Open connections of a listener.
pub struct Intake {
    state: RefCell<intake::Intake>,
    signals: RefCell<SecondaryMap<ConnectionKey, Rc<Signal>>>,
    /// Notified when a connection is closed or no longer served.
    freed: Notify,
    /// Whether a new connection waits, and none has ended in its favour since its last attempt.
    is_awaited: Cell<bool>,
    now: Now,
    observer: Observer,
}

/// Notice to a connection that it ends in favour of others.
#[derive(Default)]
struct Signal {
    shortage: Cell<Option<Shortage>>,
    changed: Notify,
}

impl Signal {
    fn send(&self, shortage: Shortage) {
        self.shortage.set(Some(shortage));
        self.changed.notify_waiters();
    }
}

impl Intake {
    /// Creates a listener's state without connections.
    pub fn new(limits: Limits, now: Now, observer: Observer) -> Rc<Intake> {
        Rc::new(Intake {
            state: RefCell::new(intake::Intake::new(limits)),
            signals: RefCell::default(),
            freed: Notify::new(),
            is_awaited: Cell::default(),
            now,
            observer,
        })
    }

    /// Admits a connection, in favour of which another one ends if there are too many. Waits while all
    /// others are being served or have just been opened.
    pub async fn open(self: &Rc<Intake>) -> Place {
        loop {
            let freed = self.freed.notified();
            let opened = self.state.borrow_mut().open((self.now)());
            self.is_awaited.set(opened.is_none());
            if let Some((key, victim)) = opened {
                self.end(victim, Shortage::Connections);
                let signal = Rc::<Signal>::default();
                self.signals.borrow_mut().insert(key, Rc::clone(&signal));
                return Place {
                    intake: Rc::clone(self),
                    key,
                    activity: Cell::new(Activity::Idle),
                    signal,
                };
            }
            // In vain if all are still new.
            let _ = timeout(RETRY_INTERVAL, freed).await;
        }
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.state.borrow().connections()
    }

    /// Returns whether a new connection waits, and no other one has ended in its favour yet.
    pub fn is_awaited(&self) -> bool {
        self.is_awaited.get()
    }

    /// Returns the shared memory that is held now and that was held at most, in bytes.
    pub fn shared_bytes(&self) -> (usize, usize) {
        let state = self.state.borrow();
        (state.held_bytes(), state.peak_bytes())
    }

    fn end(&self, victims: impl IntoIterator<Item = intake::Victim>, shortage: Shortage) {
        for victim in victims {
            if let Some(signal) = self.signals.borrow().get(victim.key) {
                signal.send(shortage);
            }
            (self.observer)(Refusal {
                shortage,
                activity: victim.activity,
                bytes: victim.held_bytes,
            });
        }
    }
}

/// Number of times that all other tasks run while one waits for memory. Those that end free it at once.
const MAX_TURNS: usize = 64;

/// Place of an open connection, which is free again once this is dropped.
pub struct Place {
    intake: Rc<Intake>,
    key: ConnectionKey,
    /// Last state that was set, also after the connection has ended in favour of another.
    activity: Cell<Activity>,
    signal: Rc<Signal>,
}

impl Place {
    /// Returns the state of the connection.
    pub fn activity(&self) -> Activity {
        self.activity.get()
    }

    /// Sets the state of the connection.
    pub fn set_activity(&self, activity: Activity) {
        self.activity.set(activity);
        let intake = &self.intake;
        let now = (intake.now)();
        intake
            .state
            .borrow_mut()
            .set_activity(self.key, activity, now);
        if activity != Activity::Serving {
            intake.freed.notify_one();
        }
    }

    /// Takes shared memory, in favour of which other requests may end.
    fn grow(&self, bytes: usize, content: Content) -> Growth {
        let intake = &self.intake;
        let now = (intake.now)();
        let mut growth = intake
            .state
            .borrow_mut()
            .grow(self.key, bytes, content, now);
        if let Growth::Waits(victims) = &mut growth {
            intake.end(victims.drain(..), Shortage::Memory);
        }
        growth
    }

    fn report_refusal(&self, bytes: usize, content: Content) {
        (self.intake.observer)(Refusal {
            shortage: Shortage::Memory,
            activity: match content {
                Content::Body => Activity::Receiving,
                Content::Other => Activity::Serving,
            },
            bytes,
        });
    }

    /// Returns whether this connection has to end in favour of a new one, which waits. All are being served,
    /// and a client that sends one request after the other would keep its place for ever. One connection
    /// ends for each attempt to admit the new one.
    pub fn must_yield(&self) -> bool {
        self.intake.is_awaited.take()
    }

    /// Returns the resource in favour of which this connection or its request ended.
    pub fn shortage(&self) -> Option<Shortage> {
        self.signal.shortage.get()
    }

    /// Waits until this connection ends in favour of others.
    pub async fn wait_for(&self, shortage: Shortage) {
        loop {
            let changed = self.signal.changed.notified();
            if self.shortage() == Some(shortage) {
                return;
            }
            changed.await;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.intake.state.borrow_mut().close(self.key);
        self.intake.signals.borrow_mut().remove(self.key);
        self.intake.freed.notify_one();
    }
}

impl fmt::Debug for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Place").field("key", &self.key).finish()
    }
}

/// Memory of a request or a response. What exceeds the allowance is shared memory, which is returned once
/// this is dropped.
#[derive(Debug)]
pub struct Reserve {
    place: Rc<Place>,
    allowance: usize,
    /// Bytes that are covered, at least the allowance.
    covered: usize,
}

impl Reserve {
    /// Creates a reserve without shared memory.
    pub fn new(place: &Rc<Place>, allowance: usize) -> Reserve {
        Reserve {
            place: Rc::clone(place),
            allowance,
            covered: allowance,
        }
    }

    /// Takes shared memory until `bytes` bytes in total are covered, and waits until requests that end in
    /// favour of this one have freed theirs; returns whether it was granted.
    pub async fn cover(&mut self, bytes: usize, content: Content) -> bool {
        for _ in 0..MAX_TURNS {
            match self.grow(bytes, content) {
                Growth::Granted => return true,
                Growth::Refused => break,
                Growth::Waits(_) => tokio::task::yield_now().await,
            }
        }
        self.place.report_refusal(bytes - self.covered, content);
        false
    }

    /// Takes shared memory as [`Reserve::cover`] does if it is free now.
    pub fn cover_now(&mut self, bytes: usize, content: Content) -> bool {
        let granted = self.grow(bytes, content) == Growth::Granted;
        if !granted {
            self.place.report_refusal(bytes - self.covered, content);
        }
        granted
    }

    fn grow(&mut self, bytes: usize, content: Content) -> Growth {
        let more = bytes.saturating_sub(self.covered);
        if more == 0 {
            return Growth::Granted;
        }
        let growth = self.place.grow(more, content);
        if growth == Growth::Granted {
            self.covered += more;
        }
        growth
    }

    /// Returns the place of the connection.
    pub fn place(&self) -> &Rc<Place> {
        &self.place
    }
}

impl Drop for Reserve {
    fn drop(&mut self) {
        let mut state = self.place.intake.state.borrow_mut();
        state.shrink(self.place.key, self.covered - self.allowance);
    }
}
