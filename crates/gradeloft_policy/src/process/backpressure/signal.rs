//! Values of the headers in which replicas signal backpressure.

/// A header value that can't be parsed. What is known of the replica stays.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unreadable;

/// Parses the limit of a replica, in requests a second from all entries together; `None` without a
/// header. The limit is finite, not negative, and rounded to a thousandth, as entries report it to
/// each other.
///
/// ```
/// use gradeloft_policy::process::backpressure::signal::{self, Unreadable};
/// assert_eq!(signal::limit(Some("2.5")), Ok(Some(2.5)));
/// assert_eq!(signal::limit(None), Ok(None));
/// assert_eq!(signal::limit(Some("-1")), Err(Unreadable));
/// ```
pub fn limit(value: Option<&str>) -> Result<Option<f64>, Unreadable> {
    let parse = |it: &str| {
        let per_s = decimal(it)?;
        Ok(from_thousandths(thousandths(per_s)))
    };
    value.map(parse).transpose()
}

/// Parses a finite decimal number that is not negative.
fn decimal(value: &str) -> Result<f64, Unreadable> {
    let number: f64 = value.trim().parse().map_err(|_| Unreadable)?;
    let is_valid = number.is_finite() && 0.0 <= number;
    is_valid.then_some(number).ok_or(Unreadable)
}

/// Returns a rate in thousandths of a request per second.
pub fn thousandths(per_s: f64) -> u32 {
    // A rate beyond the range is as good as none at all.
    (per_s * 1_000.0).round() as u32
}

/// Returns a rate in requests a second.
pub fn from_thousandths(rate: u32) -> f64 {
    f64::from(rate) / 1_000.0
}
