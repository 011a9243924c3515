//! Prints the error table of `docs/ERRORS.md`.

use gradeloft_wire::error::Kind;

fn main() {
    print!("{}", Kind::table());
}
