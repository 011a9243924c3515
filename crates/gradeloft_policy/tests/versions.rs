//! Decisions about versions of weights on a serving fleet.

use std::time::Duration;

use gradeloft_policy::{
    clock::Time,
    connection::window::Window,
    version::{
        named::Named,
        waves::{Running, Wave},
    },
};

#[test]
fn each_version_is_due_at_its_own_time() {
    let mut named = Named::default();
    let at = |ms| Time::ZERO.after_ms(ms);
    assert!(named.name(2, at(4_000), at(5_000)));
    assert!(named.name(3, at(6_500), at(7_000)));
    assert!(!named.name(2, at(9_000), at(9_000)));
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

#[test]
fn half_of_the_replicas_change_first_and_the_rest_once_they_are_back() {
    let nodes: Vec<u64> = (0..20).collect();
    let waves = nodes.iter().map(|own| {
        let others: Vec<u64> = nodes.iter().copied().filter(|it| it != own).collect();
        Wave::of(9, *own, &others)
    });
    let waves: Vec<Wave> = waves.collect();
    let first = waves.iter().filter(|it| **it == Wave::First).count();
    assert_eq!(first, 10);
    let second = Wave::Second { first };
    let now = Time::ZERO.after_ms(1_000);
    assert!(!second.may_load(7, Time::ZERO, 8_000, now));
    assert!(second.may_load(8, Time::ZERO, 8_000, now));
    assert!(second.may_load(0, Time::ZERO, 8_000, Time::ZERO.after_ms(4_400)));
    assert!(Wave::First.may_load(0, Time::ZERO, 8_000, now));
}

#[test]
fn only_resumable_streams_of_the_first_wave_are_cut() {
    assert_eq!(Wave::First.running(true), Running::Cut);
    assert_eq!(Wave::First.running(false), Running::Finished);
    assert_eq!(Wave::Second { first: 1 }.running(true), Running::Finished);
}

#[test]
fn one_replica_alone_waits_for_nobody() {
    let wave = Wave::of(9, 1, &[]);
    assert!(wave.may_load(0, Time::ZERO, 8_000, Time::ZERO));
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
