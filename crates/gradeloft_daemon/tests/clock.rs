//! The clock and its timers while the machine is suspended.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use gradeloft_daemon::clock::{Clock, Elapsed, Timers};

/// A machine that a test suspends.
fn machine() -> &'static AtomicU64 {
    Box::leak(Box::default())
}

#[test]
fn time_passes_while_the_machine_is_suspended() {
    let suspended_ms = machine();
    let clock = Clock::with_simulated_suspension(suspended_ms);
    let before = clock.now();
    suspended_ms.fetch_add(7_000, Ordering::Relaxed);
    assert!(before.after_ms(7_000) <= clock.now());
    assert_eq!(clock.until(before.after_ms(7_000)), Duration::ZERO);
}

#[test]
fn a_timer_that_became_due_meanwhile_ends_at_the_next_look() {
    actix_rt::System::new().block_on(async {
        let suspended_ms = machine();
        let clock = Clock::with_simulated_suspension(suspended_ms);
        let timers = Timers::new(clock);
        assert_eq!(timers.check_suspension(), Duration::ZERO);
        // A minute, which no test waits for.
        let due = clock.now().after_ms(60_000);
        let waits = timers.timeout_at(due, std::future::pending::<()>());
        let wakes = async {
            tokio::task::yield_now().await;
            suspended_ms.fetch_add(61_000, Ordering::Relaxed);
            timers.check_suspension()
        };
        let (ended, suspended) = tokio::join!(waits, wakes);
        assert_eq!(ended, Err(Elapsed));
        assert!(Duration::from_secs(60) < suspended, "{suspended:?}");
        assert_eq!(timers.check_suspension(), Duration::ZERO, "told once");
    });
}

#[test]
fn a_timer_that_is_not_due_yet_goes_on() {
    actix_rt::System::new().block_on(async {
        let suspended_ms = machine();
        let clock = Clock::with_simulated_suspension(suspended_ms);
        let timers = Timers::new(clock);
        let due = clock.now().after_ms(5_030);
        let waits = timers.sleep_until(due);
        let wakes = async {
            tokio::task::yield_now().await;
            suspended_ms.fetch_add(5_000, Ordering::Relaxed);
            timers.check_suspension();
        };
        tokio::join!(waits, wakes);
        assert!(due <= clock.now());
    });
}
