//! Positions of records in the tables of the platform's store.

use std::fmt;

use bincode::{Decode, Encode};

/// Position of a record in a table, or the position at which a copy of the table ends.
///
/// The store may be restored from a backup that is a few seconds old. The records written since are
/// lost, and later records get their offsets. Each restore begins a new era, and positions compare
/// by era first.
///
/// ```
/// use gradeloft_wire::position::Position;
/// assert!(Position::new(1, 9) < Position::new(2, 4));
/// assert!(Position::new(2, 4) < Position::new(2, 4).next());
/// ```
#[derive(Clone, Copy, Debug, Decode, Default, Encode, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Era of the store. Declared first, as the derived order compares it first.
    pub era: u32,
    /// Number of records that precede the position in the table.
    pub offset: u64,
}

impl Position {
    /// Position at which an empty copy ends.
    pub const START: Position = Position::new(0, 0);

    /// Creates a position.
    pub const fn new(era: u32, offset: u64) -> Position {
        Position { era, offset }
    }

    /// Returns the position of the next record.
    pub fn next(self) -> Position {
        Position {
            offset: self.offset + 1,
            ..self
        }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.offset)
    }
}
