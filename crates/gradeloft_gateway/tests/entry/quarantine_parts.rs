//! Quarantine of parts of prompts that crash replicas.

use gradeloft_standin::crashing_replica::Crash;
use rstest::rstest;

use crate::support::{
    crashing_fleet::{Fleet, Options},
    run, send, wait_until,
};

/// Id of the part that crashes each replica which starts a request with it.
const BAD_PART: &str = "bad1";
/// Time after the fifth crash from which requests with the part are limited, in milliseconds.
const CONTACT_MS: u64 = 3_000;
/// Highest number of requests with the part that may reach replicas from then on.
const MAX_LATE_REQUESTS: usize = 3;

/// Returns a request whose prompt has the shared parts of all requests, a part of its own topic, and a
/// last part of its own.
fn request(topic: &str, number: usize) -> String {
    let body = format!("question {number}");
    format!(
        "POST /r/x HTTP/1.1\r\nHost: h\r\nt-request: q{number}\r\nt-key: secret\r\nt-deadline: 6000\r\n\
         t-parts: a1:40,b1:300,{topic}:500,{number:x}:20\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    )
}

/// Sends requests with the bad part, no two alike, beside sound ones that share all other parts, until
/// well after the fifth crash. Returns how many of the former reached replicas too late.
async fn play_storm(fleet: &Fleet, entries: &[u8]) -> usize {
    let clock = fleet.harness.entry.entry().node.clock;
    let crashes = || -> usize { fleet.replicas.iter().map(|it| it.stats().crashes).sum() };
    let mut limited_from = None;
    let mut earlier_requests = 0;
    for number in 0.. {
        let octet = entries[number % entries.len()];
        send(octet, &request(BAD_PART, number)).await;
        wait_until(|| async { fleet.replicas.iter().all(|it| it.is_running()) }).await;
        fleet.wait_until_listed().await;
        let sound = send(
            octet,
            &request(&format!("good{}", number % 4), 10_000 + number),
        )
        .await;
        let now = clock.now();
        let from = match limited_from {
            None if crashes() < 5 => continue,
            None => *limited_from.insert(now.after_ms(CONTACT_MS)),
            Some(from) => from,
        };
        if now < from {
            earlier_requests = fleet.marked_requests();
        }
        // Sound requests are served again once their neighbors are no longer crashed.
        if from <= now {
            assert!(sound.starts_with("HTTP/1.1 200"), "{number}: {sound}");
        }
        if from.after_ms(CONTACT_MS / 2) < now {
            break;
        }
    }
    fleet.marked_requests() - earlier_requests
}

/// Guards against a verdict on whole requests, which never adds up if no two of them are alike.
#[rstest]
#[case::one_entry(&[])]
#[case::entries_of_two_regions(&[(2, "z"), (3, "far")])]
fn requests_with_a_part_that_crashes_replicas_are_quarantined(#[case] others: &[(u8, &str)]) {
    run(async {
        let fleet = Fleet::with_options(Options {
            others,
            marker: BAD_PART,
            ..Options::default()
        })
        .await;
        let octets: Vec<u8> = [1]
            .into_iter()
            .chain(others.iter().map(|it| it.0))
            .collect();
        let late_requests = play_storm(&fleet, &octets).await;
        assert!(late_requests <= MAX_LATE_REQUESTS, "{late_requests}");
    });
}

/// Guards against taking the end of a crashed replica's connection for the end of a complete response.
#[test]
fn a_crash_that_looks_like_the_end_of_a_response_is_held_against_its_part() {
    run(async {
        let fleet = Fleet::with_options(Options {
            marker: BAD_PART,
            crash: Crash::LooksComplete,
            ..Options::default()
        })
        .await;
        let late_requests = play_storm(&fleet, &[1]).await;
        assert!(late_requests <= MAX_LATE_REQUESTS, "{late_requests}");
    });
}
