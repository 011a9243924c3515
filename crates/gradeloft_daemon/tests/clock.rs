//! Behaviour of the clock and its timers when the machine is suspended.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use gradeloft_daemon::clock::{Clock, Elapsed, Timers};

/// Creates a counter of the simulated suspension, in milliseconds.
fn suspension() -> &'static AtomicU64 {
    Box::leak(Box::default())
}

#[test]
fn clock_counts_suspensions() {
    let suspended_ms = suspension();
    let clock = Clock::with_simulated_suspension(suspended_ms);
    let before = clock.now();
    suspended_ms.fetch_add(7_000, Ordering::Relaxed);
    assert!(before.after_ms(7_000) <= clock.now());
    assert_eq!(clock.until(before.after_ms(7_000)), Duration::ZERO);
}

#[test]
fn timer_due_during_suspension_fires_at_the_next_check() {
    actix_rt::System::new().block_on(async {
        let suspended_ms = suspension();
        let clock = Clock::with_simulated_suspension(suspended_ms);
        let timers = Timers::new(clock);
        assert_eq!(timers.check_suspension(), Duration::ZERO);
        // Much longer than the test may take.
        let due = clock.now().after_ms(60_000);
        let waiting = timers.timeout_at(due, std::future::pending::<()>());
        let suspending = async {
            tokio::task::yield_now().await;
            suspended_ms.fetch_add(61_000, Ordering::Relaxed);
            timers.check_suspension()
        };
        let (ended, suspended) = tokio::join!(waiting, suspending);
        assert_eq!(ended, Err(Elapsed));
        assert!(Duration::from_secs(60) < suspended, "{suspended:?}");
        assert_eq!(timers.check_suspension(), Duration::ZERO, "reported once");
    });
}

#[test]
fn timer_not_yet_due_keeps_waiting() {
    actix_rt::System::new().block_on(async {
        let suspended_ms = suspension();
        let clock = Clock::with_simulated_suspension(suspended_ms);
        let timers = Timers::new(clock);
        let due = clock.now().after_ms(5_030);
        let waiting = timers.sleep_until(due);
        let suspending = async {
            tokio::task::yield_now().await;
            suspended_ms.fetch_add(5_000, Ordering::Relaxed);
            timers.check_suspension();
        };
        tokio::join!(waiting, suspending);
        assert!(due <= clock.now());
    });
}

/// Guards against data without an end that keeps a timeout from passing.
#[test]
fn a_future_that_always_makes_progress_ends_at_its_timeout() {
    actix_rt::System::new().block_on(async {
        let timers = Timers::new(Clock::start());
        let always_busy = async {
            loop {
                tokio::task::coop::consume_budget().await;
            }
        };
        let ended = timers.timeout(Duration::from_millis(20), always_busy).await;
        assert!(ended.is_err());
    });
}
