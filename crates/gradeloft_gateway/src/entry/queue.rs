//! Requests that wait at this entry for a replica with room, by service.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use gradeloft_policy::{
    clock::{Time, duration_ms},
    process::document::Speed,
    request::{
        forecast,
        queue::{Entrant, Order, Queue, WaiterKey},
    },
};
use tokio::sync::Notify;

use super::{
    Entry,
    forward::{self, Job},
};
use crate::metrics::Service;

/// Queues of all services.
#[derive(Default)]
pub(super) struct Queues(RefCell<HashMap<Rc<str>, ServiceQueue>>);

#[derive(Default)]
struct ServiceQueue {
    queue: Queue,
    signals: HashMap<WaiterKey, Rc<Signal>>,
}

/// Notification of a waiting request.
#[derive(Default)]
struct Signal {
    notify: Notify,
    /// Whether the request has to leave, as it can no longer be in time.
    evicted: Cell<bool>,
}

impl ServiceQueue {
    /// Notifies the request whose turn it is to look for room.
    fn notify_next(&mut self, now: Time) {
        let next = self.queue.next_turn(now);
        if let Some(signal) = next.and_then(|it| self.signals.get(&it)) {
            signal.notify.notify_one();
        }
    }
}

/// Place of a request in its service's queue, which it leaves when this is dropped.
pub(super) struct Place {
    entry: Rc<Entry>,
    service: Rc<str>,
    key: WaiterKey,
    signal: Rc<Signal>,
    joined: Time,
}

/// Event of a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Event {
    /// Turn of the request to look for room.
    Turn,
    /// The request can no longer be in time, as more urgent ones have arrived.
    Evicted,
}

impl Place {
    /// Waits for the request's turn.
    pub(super) async fn event(&self) -> Event {
        if !self.signal.evicted.get() {
            self.signal.notify.notified().await;
        }
        match self.signal.evicted.get() {
            true => Event::Evicted,
            false => Event::Turn,
        }
    }

    /// Returns the time at which the request joined the queue.
    pub(super) fn joined(&self) -> Time {
        self.joined
    }

    /// Returns the number of requests ahead.
    pub(super) fn position(&self) -> usize {
        self.with(|it, _| it.queue.position(self.key))
            .unwrap_or_default()
    }

    /// Returns whether a request ahead holds this one back.
    pub(super) fn is_held(&self) -> bool {
        self.with(|it, now| it.queue.is_held(self.key, now))
            .unwrap_or_default()
    }

    /// Begins another round, in which all waiting requests look for room.
    pub(super) fn look(&self) {
        self.with(|it, now| {
            it.queue.look(now);
            it.notify_next(now);
        });
    }

    /// Returns whether the request, for which no replica has room, may wait. Requests behind it
    /// that can no longer be in time are evicted.
    pub(super) fn admit(&self) -> bool {
        let admitted = self.with(|it, now| {
            it.queue.found_no_room(self.key);
            let late = it.queue.admit(self.key, now)?;
            for key in &late {
                if let Some(signal) = it.signals.get(key) {
                    signal.evicted.set(true);
                    signal.notify.notify_one();
                }
                // Those behind move up at once.
                it.queue.leave(*key);
            }
            it.notify_next(now);
            Some(late.len())
        });
        let evicted = admitted.flatten();
        let metrics = &self.entry.node.metrics;
        if let Some(evicted) = evicted.filter(|it| 0 < *it) {
            let evictions = metrics.evictions.get_or_create(&self.label());
            evictions.inc_by(evicted as u64);
        }
        evicted.is_some()
    }

    /// Leaves the queue, as a replica has room for the request.
    pub(super) fn placed(self) {
        self.with(|it, now| it.queue.place(self.key, now));
    }

    fn label(&self) -> Service {
        Service {
            service: self.service.to_string(),
        }
    }

    fn with<T>(&self, change: impl FnOnce(&mut ServiceQueue, Time) -> T) -> Option<T> {
        let now = self.entry.node.clock.now();
        let mut queues = self.entry.queues.0.borrow_mut();
        queues.get_mut(&self.service).map(|it| change(it, now))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.with(|it, now| {
            it.signals.remove(&self.key);
            it.queue.leave(self.key);
            it.notify_next(now);
        });
        let waiting = &self.entry.node.metrics.waiting;
        waiting.get_or_create(&self.label()).dec();
    }
}

/// Adds a request that has not looked for room to its service's queue if others are ahead of it;
/// returns whether it has to wait for its turn.
pub(super) fn join_behind_others(entry: &Rc<Entry>, job: &mut Job, now: Time) -> bool {
    if job.place.is_some() || !entry.has_waiting(&job.service) {
        return false;
    }
    let Some(entrant) = entrant(entry, job) else {
        return false;
    };
    let order = entry.queue_order(&job.service);
    let queues = entry.queues.0.borrow();
    let service_queue = queues.get(&job.service);
    let others_precede = service_queue.is_some_and(|it| it.queue.precedes(order, &entrant));
    drop(queues);
    if others_precede {
        join(entry, job, entrant, false, now);
    }
    others_precede
}

/// Adds a request that found no room to its service's queue, unless it has a place.
pub(super) fn join_without_room<'a>(
    entry: &Rc<Entry>,
    job: &'a mut Job,
    now: Time,
) -> Option<&'a Place> {
    if job.place.is_none() {
        let entrant = entrant(entry, job)?;
        join(entry, job, entrant, true, now);
    }
    job.place.as_ref()
}

fn join(entry: &Rc<Entry>, job: &mut Job, entrant: Entrant, looked: bool, now: Time) {
    let order = entry.queue_order(&job.service);
    let mut queues = entry.queues.0.borrow_mut();
    let service_queue = queues.entry(Rc::clone(&job.service)).or_default();
    let key = service_queue.queue.join(order, entrant, looked, now);
    let signal = Rc::new(Signal::default());
    service_queue.signals.insert(key, Rc::clone(&signal));
    service_queue.notify_next(now);
    drop(queues);
    let place = Place {
        entry: Rc::clone(entry),
        service: Rc::clone(&job.service),
        key,
        signal,
        joined: now,
    };
    let waiting = &entry.node.metrics.waiting;
    waiting.get_or_create(&place.label()).inc();
    job.queue_position.get_or_insert(place.position());
    job.place = Some(place);
}

/// Ends the wait of a request.
pub(super) fn leave(entry: &Entry, job: &mut Job, placed: bool, now: Time) {
    let Some(place) = job.place.take() else {
        if placed {
            entry.change_queue(&job.service, |it, _| it.found_room(job.precedence));
        }
        return;
    };
    job.waited += now.since(place.joined());
    if placed {
        place.placed();
    }
}

/// Returns the time by which a request in a ranked service has to find room to be in time; `None`
/// in other services.
pub(super) fn latest_start(entry: &Entry, job: &Job) -> Option<Time> {
    if job.head_sent || entry.queue_order(&job.service) == Order::Arrival {
        return None;
    }
    let entrant = entrant(entry, job)?;
    let first_token_ms = entrant.first_token.as_millis() as u64;
    Some(entrant.contender.goal.before_ms(first_token_ms))
}

fn entrant(entry: &Entry, job: &Job) -> Option<Entrant> {
    let mut contender = forward::contender(entry, job)?;
    if let Some(patience) = entry.patience(job) {
        contender.goal = contender.goal.min(job.received.at.after(patience));
    }
    let speed = entry.speed(&job.service)?;
    let slots = entry.slots_of(&job.service)?;
    Some(Entrant {
        contender,
        resumed: job.head_sent,
        first_token: first_token(&speed, slots, job.prompt_tokens),
    })
}

/// Returns the time to first token at a replica with one free slot.
fn first_token(speed: &Speed, slots: u32, prompt_tokens: f64) -> Duration {
    let load = forecast::Queue {
        slots,
        begun: slots.saturating_sub(1),
        waiting: 0,
        waiting_tokens: 0.0,
    };
    let ms = forecast::first_token_ms(speed, load, prompt_tokens);
    duration_ms(ms)
}

impl Entry {
    /// Returns the order in which a service's requests wait.
    fn queue_order(&self, service: &str) -> Order {
        let config = self.config.borrow();
        match config
            .as_ref()
            .is_some_and(|it| it.ranks_requests_for(service))
        {
            true => Order::Precedence,
            false => Order::Arrival,
        }
    }

    /// Returns whether requests for a service wait.
    fn has_waiting(&self, service: &str) -> bool {
        let queues = self.queues.0.borrow();
        queues.get(service).is_some_and(|it| !it.queue.is_empty())
    }

    /// Returns the longest time that a request may wait beside others of its route's priority: the
    /// shortest latency objective among them. If each waited for its own objective, those with the
    /// longest would fill the queue, and those with the shortest would be refused.
    fn patience(&self, job: &Job) -> Option<Duration> {
        let config = self.config.borrow();
        let priority = job.route.priority;
        let objective_ms = config
            .as_ref()?
            .shortest_objective_ms(&job.service, priority)?;
        Some(Duration::from_millis(objective_ms))
    }

    /// Returns whether a service's requests wait only as long as they can be in time given those
    /// ahead.
    pub(super) fn bounds_queue(&self, service: &str) -> bool {
        self.queue_order(service) == Order::Precedence
    }

    /// Records that a request of this entry at a replica of a service has ended. The slots that
    /// requests without a response (`answered`) held don't count as capacity.
    pub(super) fn request_ended(&self, service: &str, answered: bool) {
        self.change_queue(service, |queue, now| match answered {
            true => queue.request_ended(now),
            false => queue.room_changed(now),
        });
    }

    /// Records that a replica of a service may have room for another reason.
    pub(super) fn room_changed(&self, service: &str) {
        self.change_queue(service, Queue::room_changed);
    }

    fn change_queue(&self, service: &str, change: impl FnOnce(&mut Queue, Time)) {
        let now = self.node.clock.now();
        if let Some(service_queue) = self.queues.0.borrow_mut().get_mut(service) {
            change(&mut service_queue.queue, now);
            service_queue.notify_next(now);
        }
    }
}
