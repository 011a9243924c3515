//! Prints the table of errors as `docs/ERRORS.md` shows it.

use gradeloft_wire::error::Kind;

fn main() {
    print!("{}", Kind::table());
}
