//! Bounds on what all clients of a listener together make a process hold.
//!
//! Each connection has an allowance that covers the kernel's buffers, the state of the connection and an
//! ordinary request. The number of connections bounds the sum of the allowances. All that a connection
//! holds beyond its allowance, such as a large body, counts towards memory that all connections share.
//!
//! When either is exhausted, the connections that keep others waiting go first: those that only wait for
//! the client to close, then those whose request stays incomplete, then those that have been idle or
//! incomplete for longest. A connection whose request is being served is never ended, nor is a new one
//! before its client has had time to send a request, nor one whose last response was just sent before its
//! client has had time to read it.

use std::cmp::Reverse;

use slotmap::{SlotMap, new_key_type};

use crate::clock::Time;

/// Time for which a request may be incomplete before its connection goes ahead of idle ones, in
/// milliseconds: ordinary requests arrive whole.
const INCOMPLETE_MS: u64 = 1_000;
/// Time in which a connection is not ended after it was opened or its last request was responded to, in
/// milliseconds: several round trips between regions.
const MIN_MS: u64 = 100;

new_key_type! {
    /// Key of an open connection.
    pub struct ConnectionKey;
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of open connections; at least one.
    pub connections: usize,
    /// Maximum memory beyond the allowances, in bytes.
    pub shared_bytes: usize,
    /// Part of `shared_bytes` that bodies leave to heads and responses, in bytes.
    pub reserved_bytes: usize,
}

/// State of a connection.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Activity {
    /// The last response was sent, and the client has not closed its side.
    Closing,
    /// No request has begun.
    Idle,
    /// A request is incomplete.
    Receiving,
    /// A complete request is being served.
    Serving,
}

impl Activity {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Activity::Closing => "closing",
            Activity::Idle => "idle",
            Activity::Receiving => "receiving",
            Activity::Serving => "serving",
        }
    }
}

/// Content of shared memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Content {
    /// Request body, which leaves [`Limits::reserved_bytes`] free.
    Body,
    /// Head of a request, or a response.
    Other,
}

/// Resource that is exhausted.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Shortage {
    /// Number of connections.
    Connections,
    /// Shared memory.
    Memory,
}

impl Shortage {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Shortage::Connections => "connections",
            Shortage::Memory => "memory",
        }
    }
}

/// Outcome of an attempt to take shared memory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Growth {
    /// The memory was taken.
    Granted,
    /// The request itself has held most for longest, or nothing can be freed.
    Refused,
    /// Other requests end. The memory is free once they have returned theirs.
    Waits(Vec<Victim>),
}

/// A connection that is ended in favour of others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Victim {
    /// Key of the connection.
    pub key: ConnectionKey,
    /// State of the connection.
    pub activity: Activity,
    /// Shared memory that the connection held, in bytes.
    pub held_bytes: usize,
}

struct Connection {
    activity: Activity,
    /// Time since which the connection has been in its state.
    since: Time,
    held_bytes: usize,
    /// Whether the request ends in favour of others.
    is_ending: bool,
}

/// Open connections of a listener, and the memory that they hold.
pub struct Intake {
    limits: Limits,
    connections: SlotMap<ConnectionKey, Connection>,
    /// Sum over all connections; at most `limits.shared_bytes`.
    held_bytes: usize,
    peak_bytes: usize,
}

impl Intake {
    /// Creates the state of a listener without connections.
    pub fn new(limits: Limits) -> Intake {
        Intake {
            limits,
            connections: SlotMap::with_key(),
            held_bytes: 0,
            peak_bytes: 0,
        }
    }

    /// Adds an idle connection. At the limit, another connection ends in its favour; returns `None` if
    /// all others are being served or have just been opened.
    pub fn open(&mut self, now: Time) -> Option<(ConnectionKey, Option<Victim>)> {
        let victim = if self.connections.len() < self.limits.connections {
            None
        } else {
            Some(self.remove_first(now)?)
        };
        let key = self.connections.insert(Connection {
            activity: Activity::Idle,
            since: now,
            held_bytes: 0,
            is_ending: false,
        });
        Some((key, victim))
    }

    /// Removes a connection, unless it has ended in favour of another one.
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.remove(key) {
            self.held_bytes -= connection.held_bytes;
        }
    }

    /// Sets the state of a connection. A request that turns out to be complete is served, even if it was to
    /// end in favour of others.
    pub fn set_activity(&mut self, key: ConnectionKey, activity: Activity, now: Time) {
        if let Some(connection) = self.connections.get_mut(key)
            && connection.activity != activity
        {
            connection.activity = activity;
            connection.since = now;
            connection.is_ending &= activity != Activity::Serving;
        }
    }

    /// Takes shared memory for a connection. When it is exhausted, incomplete requests end in its
    /// favour, those first that have held most for longest.
    pub fn grow(
        &mut self,
        key: ConnectionKey,
        bytes: usize,
        content: Content,
        now: Time,
    ) -> Growth {
        let limit = match content {
            Content::Body => self.limits.shared_bytes - self.limits.reserved_bytes,
            Content::Other => self.limits.shared_bytes,
        };
        let is_ending = self.connections.get(key).is_none_or(|it| it.is_ending);
        if limit < bytes || is_ending {
            return Growth::Refused;
        }
        let excess = (self.held_bytes + bytes).saturating_sub(limit);
        if excess == 0 {
            self.hold(key, bytes);
            return Growth::Granted;
        }
        let mut victims = Vec::new();
        while self.ending_bytes() < excess {
            match self.heaviest(now) {
                Some(heaviest) if heaviest != key => victims.extend(self.end_request(heaviest)),
                _ if victims.is_empty() => return Growth::Refused,
                _ => break,
            }
        }
        Growth::Waits(victims)
    }

    fn hold(&mut self, key: ConnectionKey, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.held_bytes += bytes;
            self.held_bytes += bytes;
            self.peak_bytes = self.peak_bytes.max(self.held_bytes);
        }
    }

    /// Returns shared memory of a connection.
    pub fn shrink(&mut self, key: ConnectionKey, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(key) {
            let bytes = bytes.min(connection.held_bytes);
            connection.held_bytes -= bytes;
            self.held_bytes -= bytes;
        }
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the shared memory that all connections hold, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the most shared memory that all connections held at once, in bytes.
    pub fn peak_bytes(&self) -> usize {
        self.peak_bytes
    }

    /// Removes the connection that goes first when there are too many.
    fn remove_first(&mut self, now: Time) -> Option<Victim> {
        let rank = |it: &Connection| match it.activity {
            Activity::Serving => None,
            _ if now < it.since.after_ms(MIN_MS) => None,
            Activity::Closing => Some(2),
            Activity::Receiving if it.since.after_ms(INCOMPLETE_MS) <= now => Some(1),
            Activity::Idle | Activity::Receiving => Some(0),
        };
        let ranked = self.connections.iter();
        let ranked = ranked.filter_map(|(key, it)| Some((rank(it)?, Reverse(it.since), key)));
        let (_, _, key) = ranked.max()?;
        let connection = self.connections.remove(key)?;
        self.held_bytes -= connection.held_bytes;
        Some(Victim {
            key,
            activity: connection.activity,
            held_bytes: connection.held_bytes,
        })
    }

    /// Returns the incomplete request with the highest product of memory and time.
    fn heaviest(&self, now: Time) -> Option<ConnectionKey> {
        let weight = |it: &Connection| {
            let age_us = now.since(it.since).as_micros().max(1);
            it.held_bytes as u128 * age_us
        };
        let incomplete = self
            .connections
            .iter()
            .filter(|(_, it)| it.activity == Activity::Receiving)
            .filter(|(_, it)| 0 < it.held_bytes && !it.is_ending);
        let heaviest = incomplete.max_by_key(|(key, it)| (weight(it), *key));
        heaviest.map(|(key, _)| key)
    }

    /// Returns the shared memory of requests that end in favour of others and have not freed it, in bytes.
    fn ending_bytes(&self) -> usize {
        let ending = self.connections.values().filter(|it| it.is_ending);
        ending.map(|it| it.held_bytes).sum()
    }

    /// Ends the request of a connection, which stays open until its client was refused.
    fn end_request(&mut self, key: ConnectionKey) -> Option<Victim> {
        let connection = self.connections.get_mut(key)?;
        connection.is_ending = true;
        Some(Victim {
            key,
            activity: connection.activity,
            held_bytes: connection.held_bytes,
        })
    }
}
