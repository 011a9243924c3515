//! Tests of the limits that replicas name: their order in time, and the requests that all entries
//! together send.

use std::time::Duration;

use gradeloft_policy::{
    clock::Time,
    process::{
        backpressure::{
            Change, Exchange, Merge, RateLimit, Rest,
            signal::{self, Unreadable},
        },
        rate_share::{self, RateShare},
        signal_reports::Reports,
    },
    rendezvous,
};
use rstest::rstest;

fn exchange(sent_ms: u64, received_ms: u64) -> Exchange {
    Exchange {
        sent: Time::ZERO.after_ms(sent_ms),
        received: Time::ZERO.after_ms(received_ms),
    }
}

/// Returns a limit that was named in a response received at 1 s.
fn limited(per_s: f64) -> RateLimit {
    let mut limit = RateLimit::default();
    let change = limit.observe(Some(per_s), exchange(900, 1_000));
    assert_eq!(change, Some(Change::Began));
    limit
}

#[rstest]
#[case("", Err(Unreadable))]
#[case("many", Err(Unreadable))]
#[case("NaN", Err(Unreadable))]
#[case("inf", Err(Unreadable))]
#[case("-0.5", Err(Unreadable))]
#[case("0", Ok(Some(0.0)))]
#[case(" 2.5 ", Ok(Some(2.5)))]
#[case("2.76549", Ok(Some(2.765)))]
#[case("1e300", Ok(Some(4_294_967.295)))]
fn a_limit_is_a_finite_decimal_that_is_not_negative(
    #[case] value: &str,
    #[case] expected: Result<Option<f64>, Unreadable>,
) {
    assert_eq!(signal::limit(Some(value)), expected);
}

#[test]
fn a_response_to_a_request_from_before_the_limit_does_not_end_it() {
    let mut limit = limited(3.0);
    let change = limit.observe(None, exchange(999, 1_500));
    assert_eq!((change, limit.value()), (None, Some(3.0)));
    let change = limit.observe(None, exchange(1_000, 1_600));
    assert_eq!((change, limit.value()), (Some(Change::Ended), None));
}

#[test]
fn a_lower_limit_counts_at_once_and_a_higher_one_only_from_a_later_request() {
    let mut limit = limited(3.0);
    let change = limit.observe(Some(5.0), exchange(999, 1_500));
    assert_eq!((change, limit.value()), (None, Some(3.0)));
    let change = limit.observe(Some(2.0), exchange(500, 1_500));
    assert_eq!((change, limit.value()), (Some(Change::Changed), Some(2.0)));
    let change = limit.observe(Some(5.0), exchange(1_500, 1_700));
    assert_eq!((change, limit.value()), (Some(Change::Changed), Some(5.0)));
}

#[test]
fn a_limit_of_nothing_still_lets_a_request_through_that_notices_its_end() {
    assert_eq!(limited(0.0).paced_per_s(), Some(0.2));
    assert_eq!(limited(4.0).paced_per_s(), Some(4.0));
}

#[test]
fn the_later_of_two_statements_wins_whoever_reports_it() {
    let at = |ms| Time::ZERO.after_ms(ms);
    let mut limit = limited(3.0);
    assert_eq!(limit.merge(Some(3.0), at(500)), Merge::Known);
    assert_eq!(limit.merge(None, at(999)), Merge::Outdated);
    // At the same time, the restriction holds.
    assert_eq!(limit.merge(None, at(1_000)), Merge::Outdated);
    assert_eq!(
        limit.merge(Some(2.0), at(1_000)),
        Merge::Applied(Change::Changed)
    );
    assert_eq!(limit.merge(None, at(1_001)), Merge::Applied(Change::Ended));
    assert_eq!(limit.merge(Some(2.0), at(1_000)), Merge::Outdated);
    assert_eq!(limit.value(), None);
}

#[test]
fn what_was_never_stated_has_no_age_and_ends_nothing() {
    let now = Time::ZERO.after_ms(5_000);
    assert_eq!(RateLimit::default().age(now), None);
    let mut limit = limited(3.0);
    assert_eq!(limit.age(now), Some(Duration::from_millis(4_000)));
    // A report without an age counts from the start of the receiver.
    assert_eq!(limit.merge(None, Time::ZERO), Merge::Outdated);
}

const NONE: [u32; 0] = [];

/// Returns the numbers of the replicas reported at a time, all of which are restricted.
fn reported(reports: &mut Reports<u32>, at_ms: u64, most: usize) -> Vec<u32> {
    reports.take_due(Time::ZERO.after_ms(at_ms), most, |_| Some(true))
}

#[test]
fn only_entries_that_a_replica_told_repeat_its_state_while_they_live() {
    let at = |ms| Time::ZERO.after_ms(ms);
    let mut told = Reports::default();
    told.signalled(1, at(0));
    assert_eq!(reported(&mut told, 0, 10), [1]);
    assert_eq!(reported(&mut told, 999, 10), NONE);
    assert_eq!(reported(&mut told, 1_000, 10), [1]);
    let mut learned = Reports::default();
    learned.learned(1, at(0));
    assert_eq!(reported(&mut learned, 4_999, 10), NONE);
    learned.reported(1, at(4_999));
    assert_eq!(reported(&mut learned, 9_998, 10), NONE);
    assert_eq!(reported(&mut learned, 9_999, 10), [1]);
    learned.confirmed(1);
    assert_eq!(reported(&mut learned, 10_999, 10), [1]);
}

#[test]
fn an_entry_with_an_older_state_is_corrected_and_an_end_is_not_reported_for_ever() {
    let at = |ms| Time::ZERO.after_ms(ms);
    let mut reports = Reports::default();
    reports.signalled(1, at(0));
    let due = |reports: &mut Reports<u32>, at_ms| reports.take_due(at(at_ms), 10, |_| Some(false));
    assert_eq!(due(&mut reports, 0), [1]);
    assert_eq!(due(&mut reports, 9_999), [1]);
    assert_eq!(due(&mut reports, 20_000), NONE);
    reports.outdated(1, at(20_000));
    assert_eq!(due(&mut reports, 20_000), [1]);
    assert_eq!(reports.take_due(at(21_000), 10, |_| None), NONE);
}

#[test]
fn reports_beyond_the_budget_follow_with_changes_first() {
    let at = |ms| Time::ZERO.after_ms(ms);
    let mut reports = Reports::default();
    for replica in 0..100 {
        reports.signalled(replica, at(0));
    }
    let mut first: Vec<u32> = (0..2).flat_map(|_| reported(&mut reports, 0, 50)).collect();
    first.sort_unstable();
    assert_eq!(first, (0..100).collect::<Vec<u32>>());
    reports.signalled(99, at(500));
    assert_eq!(reported(&mut reports, 2_000, 2)[0], 99);
}

/// Milliseconds between two steps of the simulated entries.
const STEP_MS: u64 = 25;
/// Milliseconds between two computations of the entries' shares.
const ROUND_MS: u64 = 125;
/// Length of the span in which requests are counted, in milliseconds.
const SPAN_MS: u64 = 4_000;
/// Requests in one span beyond one and a half times the limit.
const SLACK: f64 = 5.0;

/// An entry with requests at all times, and its view of the others.
struct SimulatedEntry {
    hash: u64,
    share: RateShare,
    /// Delay after which the entry learns of the start or end of another one.
    delay_ms: u64,
    /// Time span in which the entry runs.
    runs: std::ops::Range<u64>,
}

/// Returns the times at which all entries send requests to one replica.
fn simulate(entries: &mut [SimulatedEntry], per_s: f64, until_ms: u64) -> Vec<u64> {
    let spans: Vec<_> = entries
        .iter()
        .map(|it| (it.hash, it.runs.clone()))
        .collect();
    let mut sent = Vec::new();
    for at_ms in (0..until_ms).step_by(STEP_MS as usize) {
        let now = Time::ZERO.after_ms(at_ms);
        for entry in entries.iter_mut().filter(|it| it.runs.contains(&at_ms)) {
            if at_ms % ROUND_MS == 0 || at_ms == entry.runs.start {
                let seen_ms = at_ms.saturating_sub(entry.delay_ms);
                let others = spans
                    .iter()
                    .filter(|(hash, runs)| *hash != entry.hash && runs.contains(&seen_ms))
                    .map(|(hash, _)| *hash);
                let interval = rate_share::min_interval(per_s, 7, entry.hash, others);
                entry.share.set_interval(interval, now);
            }
            if entry.share.next_send().is_some_and(|it| it <= now) {
                entry.share.note_sent(now);
                sent.push(at_ms);
            }
        }
    }
    sent
}

/// Returns the largest number of requests in one span.
fn worst_span(sent: &[u64]) -> usize {
    let within = |from: u64| {
        sent.iter()
            .filter(|it| (from..from + SPAN_MS).contains(*it))
            .count()
    };
    sent.iter().map(|it| within(*it)).max().unwrap_or_default()
}

#[rstest]
fn entries_that_start_and_end_keep_a_limit_together(
    #[values(2, 6, 100, 410)] entries: u64,
    #[values(0.0, 0.5, 2.7, 12.0, 80.0)] per_s: f64,
    #[values(150, 1_000)] delay_ms: u64,
) {
    let per_s = limited(per_s).paced_per_s().unwrap();
    let mut simulated: Vec<SimulatedEntry> = (0..entries)
        .map(|it| SimulatedEntry {
            hash: rendezvous::hash(&it.to_le_bytes()),
            share: RateShare::default(),
            delay_ms: delay_ms - it % 7 * 20,
            // A third starts late, a third ends early, one after the other.
            runs: match it % 3 {
                0 => 0..20_000,
                1 => it * 100 % 12_000..20_000,
                _ => 0..8_000 + it * 61 % 12_000,
            },
        })
        .collect();
    let sent = simulate(&mut simulated, per_s, 20_000);
    let allowed = per_s * 1.5 * SPAN_MS as f64 / 1_000.0 + SLACK;
    let worst = worst_span(&sent);
    assert!(worst as f64 <= allowed, "{worst} of {allowed}");
    // The limit is used.
    let used = sent.len() as f64 / 20.0;
    assert!(per_s * 0.5 <= used, "{used} of {per_s} a second");
}

#[test]
fn an_entry_takes_the_share_of_another_one_only_after_a_pause() {
    let now = |ms| Time::ZERO.after_ms(ms);
    let mut share = RateShare::default();
    share.set_interval(None, now(0));
    share.set_interval(Some(Duration::from_millis(100)), now(900));
    assert_eq!(share.next_send(), None);
    share.set_interval(Some(Duration::from_millis(100)), now(1_000));
    assert_eq!(share.next_send(), Some(Time::ZERO));
}

#[rstest]
#[case(None, Ok(false))]
#[case(Some("1"), Ok(true))]
#[case(Some("0"), Ok(false))]
#[case(Some("soon"), Err(Unreadable))]
#[case(Some(""), Err(Unreadable))]
fn leaving_is_a_flag(#[case] value: Option<&str>, #[case] expected: Result<bool, Unreadable>) {
    assert_eq!(signal::leaving(value), expected);
}

#[rstest]
#[case("3", None, Ok(3_000))]
#[case("0.25", None, Ok(250))]
#[case("0", None, Ok(0))]
// A week.
#[case("604800", None, Ok(300_000))]
#[case("1e300", None, Ok(300_000))]
#[case("-1", None, Err(Unreadable))]
#[case("soon", None, Err(Unreadable))]
#[case("NaN", None, Err(Unreadable))]
#[case(
    "Wed, 21 Oct 2026 07:28:10 GMT",
    Some("Wed, 21 Oct 2026 07:28:08 GMT"),
    Ok(2_000)
)]
#[case(
    "Wed, 21 Oct 2026 07:28:00 GMT",
    Some("Wed, 21 Oct 2026 07:28:08 GMT"),
    Ok(0)
)]
#[case("Wed, 21 Oct 2026 07:28:10 GMT", None, Err(Unreadable))]
fn a_pause_is_in_seconds_or_a_date_and_bounded(
    #[case] value: &str,
    #[case] date: Option<&str>,
    #[case] expected_ms: Result<u64, Unreadable>,
) {
    let expected = expected_ms.map(|it| Some(Duration::from_millis(it)));
    assert_eq!(signal::rest(Some(value), date), expected);
}

#[test]
fn after_a_pause_one_request_goes_first() {
    let at = |ms| Time::ZERO.after_ms(ms);
    let mut rest = Rest::default();
    assert!(rest.ask(Duration::from_secs(3), at(0)));
    // A shorter pause that another refusal asks for doesn't shorten the first one.
    assert!(!rest.ask(Duration::from_secs(1), at(100)));
    assert!(
        !rest.accepted(at(2_999)),
        "a response to an earlier request"
    );
    assert!(!rest.allows(at(2_999)));
    assert!(rest.begin_request(at(3_000)));
    assert!(!rest.allows(at(3_001)));
    rest.probe_ended();
    assert!(rest.begin_request(at(3_100)));
    assert!(rest.accepted(at(3_100)));
    assert!(!rest.begin_request(at(3_200)));
    assert!(rest.allows(at(3_200)));
}
