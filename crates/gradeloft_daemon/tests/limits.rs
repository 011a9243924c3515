//! Rate limits of teams across several entries.

mod support;

use gradeloft_standin::fleet::{Fleet, SERVICE, TEAM};
use support::{fleet, shape, version};

/// Starts a fleet of three entries whose team may send `requests_per_s`.
async fn rate_limited_fleet(requests_per_s: u64) -> Fleet {
    let fleet = fleet(shape(3, 1, 1)).await;
    let v1 = version("v1");
    fleet.upload(&v1);
    let mut bundle = fleet.bundle(1, None, &v1);
    bundle.teams[0].requests_per_s = requests_per_s;
    fleet.publish(&bundle).await.expect("it is accepted");
    fleet
        .wait_until("ready", || {
            fleet.is_routable(&v1) && fleet.serving_count(&v1) == 1
        })
        .await;
    let connected = || {
        fleet.entries.iter().flatten().all(|it| {
            let membership = it.node().membership.borrow();
            let entries = membership.of(gradeloft_wire::border::platform::InstanceRole::Entry);
            entries.filter(|(_, it)| it.connected).count() == 2
        })
    };
    fleet
        .wait_until("entries are connected to each other", connected)
        .await;
    fleet
}

/// Sends calls to one entry until it has admitted `wanted` of them; panics if that takes too long.
async fn admit_calls(fleet: &Fleet, entry: usize, wanted: u32) {
    let path = format!("{SERVICE}/rooms");
    let sending = async {
        let mut admitted = 0;
        while admitted < wanted {
            let answer = fleet
                .caller()
                .call(fleet.entry(entry), "GET", &path, "")
                .await;
            admitted += u32::from(answer.status == 200);
        }
    };
    let timeout = std::time::Duration::from_secs(20);
    tokio::time::timeout(timeout, sending)
        .await
        .expect("the entry got a lease");
}

#[actix_rt::test]
async fn entry_borrows_rate_that_others_leave_unused() {
    // Without a lease, an entry admits 200 * 0.05 / 3 calls per second: 300 calls would take 90 s.
    let fleet = rate_limited_fleet(200).await;
    admit_calls(&fleet, 0, 300).await;
    admit_calls(&fleet, 1, 300).await;
}

#[actix_rt::test]
async fn excess_requests_get_429_with_retry_after() {
    let fleet = rate_limited_fleet(4).await;
    let path = format!("{SERVICE}/rooms");
    let mut limited = None;
    for _ in 0..40 {
        let answer = fleet.caller().call(fleet.entry(0), "GET", &path, "").await;
        if answer.status == 429 {
            limited = answer
                .error
                .map(|it| (it.kind, it.ran.to_string(), answer.retry_after));
        }
    }
    let (kind, ran, retry_after) = limited.expect("a flood is limited");
    assert_eq!((kind.as_str(), ran.as_str()), ("rate_limited", "no"));
    assert_eq!(retry_after.as_deref(), Some("1"));
}

#[actix_rt::test]
async fn invalid_input_adds_no_metric_labels() {
    let fleet = rate_limited_fleet(200).await;
    for idx in 0..20 {
        let stranger = gradeloft_standin::caller::Caller::new(&format!("team-{idx}"), "token");
        stranger
            .generate(fleet.entry(0), &format!("model-{idx}"), "p", 1)
            .await;
        let with_unknown_class = fleet
            .caller()
            .with_header("x-class", &format!("class-{idx}"));
        with_unknown_class
            .generate(fleet.entry(0), &format!("model-{idx}"), "p", 1)
            .await;
    }
    let text = fleet.entries[0]
        .as_ref()
        .expect("alive")
        .node()
        .metrics
        .text();
    let leaked = text
        .lines()
        .filter(|it| it.contains("team-") || it.contains("class-"));
    assert_eq!(leaked.count(), 0, "{text}");
    assert!(text.contains("outcome=\"not_found\""), "{text}");
    assert!(
        text.contains(&format!("team=\"{TEAM}\"")) || text.contains("team=\"-\""),
        "{text}"
    );
}
