//! Shares of the listeners in the memory that clients may make the process hold.

use gradeloft_wire::border::settings::{Role, Settings};

/// Memory of one listener, and the number of connections that the settings allow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    memory_bytes: usize,
    max_connections: usize,
}

impl Share {
    fn of(settings: &Settings, eighths: usize) -> Share {
        let limits = settings.limits.clone().unwrap_or_default();
        Share {
            memory_bytes: limits.client_memory_bytes as usize / 8 * eighths,
            max_connections: limits.connections as usize,
        }
    }

    /// Returns the number of connections that half of the memory has room for.
    pub fn connections(self, connection_bytes: usize) -> usize {
        let room = self.memory_bytes / 2 / connection_bytes;
        room.min(self.max_connections).max(1)
    }

    /// Returns the memory that all connections share: half of the memory, and at least what one request
    /// of `largest` bytes takes.
    pub fn shared_bytes(self, largest: usize) -> usize {
        // A quarter is reserved for heads and responses.
        (self.memory_bytes / 2).max(largest + largest / 2)
    }
}

/// Returns the share of the listener for callers.
pub fn public(settings: &Settings) -> Share {
    Share::of(settings, 6)
}

/// Returns the share of the listener for peers. Those of an agent send it the requests of callers.
pub fn peers(settings: &Settings) -> Share {
    Share::of(
        settings,
        match settings.role {
            Role::Agent => 7,
            Role::Entry => 1,
        },
    )
}

/// Returns the share of the admin listener.
pub fn admin(settings: &Settings) -> Share {
    Share::of(settings, 1)
}
