//! Decisions about versions of weights on a serving fleet.

use std::time::Duration;

use gradeloft_policy::{
    clock::Time,
    connection::window::Window,
    version::{
        named::{Named, Times},
        waves::{Progress, Running, Wave},
    },
};
use rstest::rstest;

#[test]
fn each_version_is_due_at_its_own_time() {
    let mut named = Named::default();
    let at = |ms| Time::ZERO.after_ms(ms);
    let times = |preferred, due, expired| Times {
        preferred: at(preferred),
        due: at(due),
        expired: at(expired),
    };
    assert!(named.name(2, times(4_000, 5_000, 5_500)));
    assert!(named.name(3, times(6_500, 7_000, 7_500)));
    assert!(!named.name(2, times(9_000, 9_000, 9_000)));
    assert_eq!(named.begin_by(1), Some(at(5_500)));
    assert_eq!(named.begin_by(2), Some(at(7_500)));
    assert_eq!(named.begin_by(3), None);
    assert_eq!(named.oldest_preferred(at(3_999)), None);
    assert_eq!(named.oldest_preferred(at(4_000)), Some(2));
    assert_eq!(named.oldest_preferred(at(6_500)), Some(3));
    assert_eq!(named.oldest_allowed(Time::ZERO.after_ms(4_999)), None);
    assert_eq!(named.oldest_allowed(Time::ZERO.after_ms(5_000)), Some(2));
    assert_eq!(named.oldest_allowed(Time::ZERO.after_ms(7_000)), Some(3));
    named.settle(Time::ZERO.after_ms(6_000));
    assert_eq!(named.oldest_allowed(Time::ZERO), Some(2));
    assert_eq!(named.newest(), 3);
}

/// The waves of so many replicas, for one version.
fn waves(count: u64) -> Vec<Wave> {
    let nodes: Vec<u64> = (0..count).collect();
    let wave = |own: &u64| {
        let others: Vec<u64> = nodes.iter().copied().filter(|it| it != own).collect();
        Wave::of(9, *own, &others)
    };
    nodes.iter().map(wave).collect()
}

/// How many of `waves` may load when so many replicas are back and so much time has passed.
fn may_load(waves: &[Wave], switched: usize, passed_ms: u64) -> usize {
    let now = Time::ZERO.after_ms(passed_ms);
    let may = |it: &&Wave| it.may_load(switched, Time::ZERO, 8_000, now);
    waves.iter().filter(may).count()
}

#[rstest]
// Each wave of five waits for most of those before it.
#[case(20, 0, 1_000, 5)]
#[case(20, 3, 1_000, 5)]
#[case(20, 4, 1_000, 10)]
#[case(20, 7, 1_000, 10)]
#[case(20, 8, 1_000, 15)]
#[case(20, 12, 1_000, 20)]
// And for a bounded time.
#[case(20, 0, 3_999, 5)]
#[case(20, 0, 4_000, 10)]
#[case(20, 0, 5_200, 20)]
// Waves as even as they can be.
#[case(14, 0, 0, 4)]
// One replica alone waits for nobody.
#[case(1, 0, 0, 1)]
#[case(2, 0, 0, 1)]
fn a_wave_begins_once_those_before_are_back(
    #[case] replicas: u64,
    #[case] switched: usize,
    #[case] passed_ms: u64,
    #[case] expected: usize,
) {
    assert_eq!(may_load(&waves(replicas), switched, passed_ms), expected);
}

#[test]
fn waves_of_a_superseded_version_follow_each_other_without_waiting() {
    let waves = waves(20);
    let at = |ms| {
        let now = Time::ZERO.after_ms(ms);
        let may = |it: &&Wave| it.may_load_superseded(Time::ZERO, now);
        waves.iter().filter(may).count()
    };
    assert_eq!([at(0), at(400), at(800), at(1_200)], [5, 10, 15, 20]);
}

#[test]
fn those_that_are_to_be_first_are_in_the_earliest_waves() {
    let nodes: Vec<u64> = (0..20).collect();
    let first = [3, 11, 17, 18, 19];
    let begins = |own: &u64| {
        let others: Vec<u64> = nodes.iter().copied().filter(|it| it != own).collect();
        let wave = Wave::after(9, *own, &others, &first);
        wave.may_load_superseded(Time::ZERO, Time::ZERO)
    };
    let begun: Vec<u64> = nodes.iter().copied().filter(begins).collect();
    assert_eq!(begun, first);
}

#[test]
fn resumable_streams_are_cut_except_in_the_last_wave() {
    let waves = waves(20);
    let cut = |resumable| {
        let cut = |it: &&Wave| it.running(resumable) == Running::Cut;
        waves.iter().filter(cut).count()
    };
    assert_eq!([cut(true), cut(false)], [15, 0]);
}

#[test]
fn slow_pieces_narrow_the_window_and_quick_ones_widen_it() {
    let mut window = Window::new(Duration::from_millis(40));
    for _ in 0..20 {
        window.arrived(Duration::from_millis(50));
    }
    assert_eq!(window.size(), 6);
    for _ in 0..5 {
        window.arrived(Duration::from_millis(900));
    }
    assert_eq!(window.size(), 1);
}

#[test]
fn the_later_word_on_a_change_over_counts() {
    let word = |version, replicas| Progress { version, replicas };
    let mut progress = Progress::default();
    for heard in [word(2, 0), word(2, 5), word(2, 4), word(1, 9)] {
        progress.hear(heard);
    }
    assert_eq!(progress.back_with(2), 4);
    assert_eq!(progress.back_with(1), 0);
    progress.hear(word(3, 1));
    assert_eq!((progress.back_with(2), progress.back_with(3)), (0, 1));
}
