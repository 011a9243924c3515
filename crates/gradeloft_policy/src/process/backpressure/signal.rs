//! Values of the headers in which replicas signal backpressure.

use std::time::Duration;

/// Longest pause that a replica gets. One that asks for more may do so by mistake, and is asked
/// again after this time.
pub const MAX_REST: Duration = Duration::from_secs(300);

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

/// Parses whether a replica says that it is leaving.
pub fn leaving(value: Option<&str>) -> Result<bool, Unreadable> {
    match value.map(str::trim) {
        None | Some("0") => Ok(false),
        Some("1") => Ok(true),
        Some(_) => Err(Unreadable),
    }
}

/// Parses the pause that a replica asks for, in seconds or as an HTTP date, which counts from the
/// `date` of the response; `None` without a header. A pause is at most [`MAX_REST`].
///
/// ```
/// use std::time::Duration;
/// use gradeloft_policy::process::backpressure::signal;
/// let rest = signal::rest(Some("1.5"), None);
/// assert_eq!(rest, Ok(Some(Duration::from_millis(1_500))));
/// ```
pub fn rest(value: Option<&str>, date: Option<&str>) -> Result<Option<Duration>, Unreadable> {
    let parse = |value: &str| match decimal(value) {
        Ok(seconds) => Ok(Duration::from_secs_f64(seconds.min(MAX_REST.as_secs_f64()))),
        Err(Unreadable) => Ok(until_date(value, date)?.min(MAX_REST)),
    };
    value.map(parse).transpose()
}

/// Returns the time from one HTTP date to another; zero if that is earlier.
fn until_date(value: &str, date: Option<&str>) -> Result<Duration, Unreadable> {
    let parse = |it: &str| httpdate::parse_http_date(it.trim()).map_err(|_| Unreadable);
    let (until, from) = (parse(value)?, parse(date.ok_or(Unreadable)?)?);
    Ok(until.duration_since(from).unwrap_or_default())
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
