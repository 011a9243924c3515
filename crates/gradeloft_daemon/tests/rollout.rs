//! Rollouts of versions and bundles during failures.

mod support;

use gradeloft_daemon::node::BundleSource;
use gradeloft_platform::log::{Http, Log};
use gradeloft_standin::{
    fleet::{Fleet, MODEL, digest},
    weights::Version,
};
use gradeloft_wire::{
    border::{
        bundle::Bundle,
        platform::{InstanceRole, Weights},
    },
    record::{CONFIG, Record},
};
use support::{CHUNKS, describe_generate, fleet, shape, version};

fn expected_response(version: &Version) -> String {
    let name = &version.version;
    format!("200 the version's own text, end of 2 tokens by bulletin/{name}, no error")
}

async fn assert_generates(fleet: &Fleet, version: &Version) {
    let answer = fleet.caller().generate(fleet.entry(0), MODEL, "p", 2).await;
    assert_eq!(
        describe_generate(&answer, version, "p", 2),
        expected_response(version)
    );
}

async fn publish_next(fleet: &Fleet, previous: &Bundle, version: &Version) -> Bundle {
    fleet.upload(version);
    let bundle = fleet.bundle(previous.number + 1, Some(digest(previous)), version);
    fleet
        .publish(&bundle)
        .await
        .expect("the bundle is accepted");
    bundle
}

#[actix_rt::test]
async fn a_chunk_corrupted_at_the_origin_is_fetched_again_and_never_loaded() {
    let fleet = fleet(shape(1, 3, 0)).await;
    fleet.origin.state.corrupt_every.set(4);
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    assert_generates(&fleet, &v1).await;
    let agents = fleet.engines.iter().filter_map(|it| it.agent.as_ref());
    let corrupt: u64 = agents
        .map(|it| it.node().metrics.corrupt_chunks.get())
        .sum();
    assert!(
        (3..=4).contains(&corrupt),
        "{corrupt} corrupt chunks among 12 and their retries"
    );
}

#[actix_rt::test]
async fn unavailable_or_rate_limited_origin_delays_only_the_rollout() {
    let fleet = fleet(shape(1, 2, 0)).await;
    let v1 = version("v1");
    let first = fleet.deploy(&v1).await;
    fleet.origin.state.down.set(true);
    fleet.store.state.rate_limited.set(true);
    let v2 = version("v2");
    publish_next(&fleet, &first, &v2).await;
    let in_force = || {
        fleet
            .entries
            .iter()
            .flatten()
            .all(|it| *it.node().bundle_number.borrow() == 2)
    };
    fleet.wait_until("bundle 2 is in force", in_force).await;
    assert_generates(&fleet, &v1).await;
    fleet.origin.state.down.set(false);
    fleet.origin.state.rate_limited.set(true);
    assert_generates(&fleet, &v1).await;
    fleet.origin.state.rate_limited.set(false);
    fleet.store.state.rate_limited.set(false);
    fleet
        .wait_until("v2 is everywhere", || fleet.is_routable(&v2))
        .await;
    assert_generates(&fleet, &v2).await;
}

#[actix_rt::test]
async fn chunks_in_the_store_are_not_read_from_the_origin() {
    let fleet = fleet(shape(1, 2, 0)).await;
    let v1 = version("v1");
    fleet.store.state.put(&v1);
    fleet.deploy(&v1).await;
    assert_eq!(fleet.origin.state.bytes_read.get(), 0);
    assert_generates(&fleet, &v1).await;
}

#[actix_rt::test]
async fn replaced_version_is_cancelled_and_its_shared_chunks_are_reused() {
    let fleet = fleet(shape(1, 2, 0)).await;
    let v1 = version("v1");
    fleet.upload(&v1);
    fleet.origin.state.bytes_per_s.set(100 << 10);
    let first = fleet.bundle(1, None, &v1);
    fleet.publish(&first).await.unwrap();
    let in_flight = || 3 * 8192 < fleet.origin.state.bytes_read.get();
    fleet.wait_until("v1 is in flight", in_flight).await;

    // Version 2 differs from version 1 only in the last chunk.
    let mut v2 = Version::new(MODEL, "v2", CHUNKS, 8 << 10);
    v2.chunks[..CHUNKS - 1].clone_from_slice(&v1.chunks[..CHUNKS - 1]);
    let mut manifest: gradeloft_wire::border::manifest::Manifest =
        serde_json::from_slice(&v2.manifest).unwrap();
    for (chunk, content) in manifest.chunks.iter_mut().zip(&v2.chunks) {
        chunk.digest = gradeloft_wire::id::Digest::of(content).to_string();
    }
    v2.manifest = serde_json::to_vec(&manifest).unwrap().into();
    publish_next(&fleet, &first, &v2).await;
    fleet
        .wait_until("v2 is everywhere", || fleet.is_routable(&v2))
        .await;
    assert_generates(&fleet, &v2).await;
    assert_eq!(fleet.serving_count(&v1), 0, "v1 was never served");
    let reads = fleet.origin.state.reads.borrow();
    let reads_per_chunk = v2
        .chunks
        .iter()
        .map(|it| reads[&gradeloft_wire::id::Digest::of(it).to_string()]);
    assert!(
        reads_per_chunk.sum::<u64>() <= CHUNKS as u64 + 3,
        "each chunk is read once, except for interrupted reads"
    );
}

#[actix_rt::test]
async fn order_with_a_lost_reply_is_resolved_by_reading_the_state() {
    let fleet = fleet(shape(1, 1, 0)).await;
    fleet.engines[0].endpoint.state.lose_replies.set(1);
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    assert_eq!(fleet.engines[0].endpoint.state.orders.get(), 1);
    assert_generates(&fleet, &v1).await;
}

#[actix_rt::test]
async fn accepted_order_without_effect_is_repeated() {
    let fleet = fleet(shape(1, 1, 0)).await;
    fleet.engines[0].endpoint.state.ignore_orders.set(2);
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    assert_eq!(fleet.engines[0].endpoint.state.orders.get(), 3);
    assert_generates(&fleet, &v1).await;
}

#[actix_rt::test]
async fn failed_version_is_not_retried_and_the_old_one_keeps_serving() {
    let fleet = fleet(shape(1, 2, 0)).await;
    let v1 = version("v1");
    let first = fleet.deploy(&v1).await;
    fleet.engines[0].endpoint.state.ignore_orders.set(1_000);
    let v2 = version("v2");
    publish_next(&fleet, &first, &v2).await;
    let failed = || {
        let versions = fleet.engines[0].agent.as_ref().unwrap().versions();
        versions
            .iter()
            .any(|it| it.version == "v2" && it.phase == "failed" && it.fault.is_some())
    };
    fleet
        .wait_until("the failure shows in the status", failed)
        .await;
    fleet
        .wait_until("the other replica serves v2", || {
            fleet.serving_count(&v2) == 1
        })
        .await;
    assert_eq!(fleet.serving_count(&v1), 2, "both still serve v1");
    let entry_learned = || {
        let node = fleet.entries[0].as_ref().unwrap().node();
        let membership = node.membership.borrow();
        membership.iter().any(|(_, it)| {
            it.notice
                .as_ref()
                .is_some_and(|it| it.serving.iter().any(|it| it.version == "v2"))
        })
    };
    fleet
        .wait_until("the entry learns of v2", entry_learned)
        .await;
    assert_generates(&fleet, &v2).await;
    let orders = fleet.engines[0].endpoint.state.orders.get();
    assert_eq!(orders, 6, "one order for v1 and five attempts for v2");
}

#[actix_rt::test]
async fn engine_with_memory_for_one_version_is_drained_before_the_switch() {
    let fleet = fleet(shape(1, 1, 0)).await;
    let engine = &fleet.engines[0].endpoint.state;
    engine.capacity.set(1);
    let v1 = version("v1");
    let first = fleet.deploy(&v1).await;
    engine.token_ms.set(10);
    let caller = fleet.caller();
    let running = caller.generate(fleet.entry(0), MODEL, "p", 50);
    let switch = async {
        fleet
            .wait_until("a request is running", || engine.running.get() == 1)
            .await;
        publish_next(&fleet, &first, &version("v2")).await;
        fleet
            .wait_until("v2 serves", || fleet.serving_count(&version("v2")) == 1)
            .await;
    };
    let (answer, ()) = futures_util::future::join(running, switch).await;
    let expected = "200 the version's own text, end of 50 tokens by bulletin/v1, no error";
    assert_eq!(describe_generate(&answer, &v1, "p", 50), expected);
    assert_eq!(engine.serves(), ["bulletin/v2"]);
}

#[actix_rt::test]
async fn engine_that_lost_its_weights_gets_no_requests_and_is_reloaded() {
    let fleet = fleet(shape(1, 2, 0)).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    fleet.engines[0].endpoint.state.set_serving(Vec::new());
    assert_generates(&fleet, &v1).await;
    let reloaded = || fleet.engines[0].endpoint.state.serves() == ["bulletin/v1"];
    fleet
        .wait_until("the engine serves v1 again", reloaded)
        .await;
}

#[actix_rt::test]
async fn weights_that_no_bundle_named_get_no_requests() {
    let fleet = fleet(shape(1, 1, 0)).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    // Without this, the agent would repair the engine before the test can check.
    fleet.engines[0].endpoint.state.refuse_loads.set(true);
    let foreign = Weights {
        model: MODEL.to_owned(),
        adapter: None,
        version: "v1".to_owned(),
        manifest: "00".repeat(32),
    };
    fleet.engines[0]
        .endpoint
        .state
        .set_serving(vec![foreign.clone(), foreign]);
    let withdrawn = || fleet.serving_count(&v1) == 0;
    fleet
        .wait_until("the agent no longer reports v1", withdrawn)
        .await;
    assert_eq!(
        fleet
            .caller()
            .generate(fleet.entry(0), MODEL, "p", 2)
            .await
            .status,
        503
    );
}

#[actix_rt::test]
async fn orders_with_an_older_epoch_are_refused_or_undone() {
    let fleet = fleet(shape(1, 1, 0)).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    let url = fleet.engines[0].endpoint.url();
    let engine =
        gradeloft_platform::endpoint::HttpEngine::new(&url, std::time::Duration::from_secs(1));
    let weights = Weights {
        model: MODEL.to_owned(),
        adapter: None,
        version: "v1".to_owned(),
        manifest: v1.digest(),
    };
    let order = gradeloft_wire::border::platform::Order {
        fence: gradeloft_wire::border::platform::Fence {
            bundle: 9,
            epoch: 0,
        },
        action: gradeloft_wire::border::platform::Action::Unload,
        weights,
    };
    use gradeloft_platform::endpoint::Engine;
    let refused = engine.order(&order).await;
    assert!(
        matches!(refused, Err(gradeloft_platform::Fault::Refused(_))),
        "{refused:?}"
    );

    // An engine that ignores fences executes the order; the agent detects and reverts this.
    fleet.engines[0].endpoint.state.ignores_fence.set(true);
    engine.order(&order).await.unwrap();
    assert!(fleet.engines[0].endpoint.state.serves().is_empty());
    let reloaded = || fleet.engines[0].endpoint.state.serves() == ["bulletin/v1"];
    fleet.wait_until("the agent reloads v1", reloaded).await;
    fleet
        .wait_until("the agent reports v1", || fleet.serving_count(&v1) == 1)
        .await;
}

#[actix_rt::test]
async fn an_accepted_bundle_spreads_and_serves_while_the_log_is_down() {
    let mut fleet = fleet(shape(2, 2, 0)).await;
    let v1 = version("v1");
    let first = fleet.deploy(&v1).await;
    fleet.log.state.down.set(true);
    let v2 = version("v2");
    fleet.upload(&v2);
    let second = fleet.bundle(2, Some(digest(&first)), &v2);
    let signed = fleet.key.sign(&second, "ops");
    // One node received the bundle just before the log went down.
    gradeloft_daemon::node::config::adopt(fleet.entries[0].as_ref().unwrap().node(), &signed);
    fleet
        .wait_until("v2 is everywhere", || fleet.is_routable(&v2))
        .await;
    assert_generates(&fleet, &v2).await;

    fleet.start_entry(1).await.unwrap();
    let node = fleet.entries[1].as_ref().unwrap().node();
    let learned =
        || node.bundle_source.get() == BundleSource::Peer && *node.bundle_number.borrow() == 2;
    fleet
        .wait_until(
            "an entry started during the outage gets the bundle from peers",
            learned,
        )
        .await;
}

#[actix_rt::test]
async fn records_that_are_invalid_of_a_newer_format_or_repeated_are_ignored() {
    let fleet = fleet(shape(2, 1, 0)).await;
    let v1 = version("v1");
    let first = fleet.deploy(&v1).await;
    let again = Record::Bundle(fleet.key.sign(&first, "ops")).encode();
    let forged = Record::Bundle(
        gradeloft_policy::version::bundle::Key::new([9; 32])
            .sign(&fleet.bundle(2, Some(digest(&first)), &v1), "ops"),
    );
    let mut newer = again.clone();
    newer[0] = 200;
    let cut = again[..again.len() / 2].to_vec();
    let log = Http::new(&fleet.log.url(), std::time::Duration::from_secs(1));
    log.append(CONFIG, &[again, forged.encode(), newer, cut, Vec::new()])
        .await
        .unwrap();
    let v2 = version("v2");
    publish_next(&fleet, &first, &v2).await;
    fleet
        .wait_until("v2 is everywhere", || fleet.is_routable(&v2))
        .await;
    assert!(
        fleet
            .entries
            .iter()
            .flatten()
            .all(|it| *it.node().bundle_number.borrow() == 2)
    );
}

#[actix_rt::test]
async fn unavailable_or_stale_instance_list_removes_no_reachable_members() {
    let mut fleet = fleet(shape(2, 2, 0)).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    fleet.list.state.down.set(true);
    assert_generates(&fleet, &v1).await;
    fleet.engines[1].agent = None;
    for _ in 0..6 {
        assert_generates(&fleet, &v1).await;
    }
    fleet.list.state.down.set(false);
    fleet.list.state.frozen.set(true);
    fleet.entries[1] = None;
    let disconnected = || {
        let node = fleet.entries[0].as_ref().unwrap().node();
        let membership = node.membership.borrow();
        membership
            .of(InstanceRole::Entry)
            .all(|(_, it)| !it.connected)
    };
    fleet
        .wait_until("entry-0 marks entry-1 disconnected", disconnected)
        .await;
    let addresses = fleet
        .caller()
        .addresses(fleet.entry(0), "zone-0")
        .await
        .unwrap();
    assert_eq!(
        addresses.addresses.len(),
        1,
        "an unreachable entry is not returned"
    );
}

/// Starts a rollout to engines that have memory for one version and a load delay. The bundle's
/// rollout part allows one unavailable replica.
async fn start_rollout(engines: usize, zone_order: &[&str]) -> (Fleet, Bundle) {
    let fleet = fleet(shape(1, engines, 0)).await;
    for engine in &fleet.engines {
        engine.endpoint.state.capacity.set(1);
        engine.endpoint.state.order_ms.set(30);
    }
    let v1 = version("v1");
    let first = fleet.deploy(&v1).await;
    let mut second = fleet.bundle(2, Some(digest(&first)), &version("v2"));
    second.rollout = Some(gradeloft_wire::border::bundle::Rollout {
        max_unavailable: 1,
        zone_order: zone_order.iter().map(|it| (*it).to_owned()).collect(),
        ..Default::default()
    });
    fleet.upload(&version("v2"));
    fleet
        .publish(&second)
        .await
        .expect("the bundle is accepted");
    (fleet, second)
}

#[actix_rt::test]
async fn no_more_replicas_are_down_at_once_than_the_bundle_allows() {
    let (fleet, _) = start_rollout(4, &[]).await;
    let most_down = std::cell::Cell::new(0);
    let v2 = version("v2");
    fleet
        .wait_until("v2 is everywhere", || {
            let down = fleet
                .engines
                .iter()
                .filter(|it| it.endpoint.state.serves().is_empty());
            most_down.set(most_down.get().max(down.count()));
            fleet.is_routable(&v2)
        })
        .await;
    assert_eq!(most_down.get(), 1);
    assert_generates(&fleet, &v2).await;
}

#[actix_rt::test]
async fn a_bad_version_takes_down_no_more_replicas_than_the_bundle_allows() {
    let fleet = fleet(shape(1, 3, 0)).await;
    let v1 = version("v1");
    let first = fleet.deploy(&v1).await;
    for engine in &fleet.engines {
        engine.endpoint.state.capacity.set(1);
        engine.endpoint.state.refuse_loads.set(true);
    }
    publish_next(&fleet, &first, &version("v2")).await;
    let failed = || {
        let agents = fleet.engines.iter().filter_map(|it| it.agent.as_ref());
        agents
            .flat_map(gradeloft_daemon::agent::Handle::versions)
            .filter(|it| it.phase == "failed")
            .count()
    };
    fleet
        .wait_until("v2 failed on one replica", || failed() == 1)
        .await;
    let waiting = || {
        let agents = fleet.engines.iter().filter_map(|it| it.agent.as_ref());
        agents
            .flat_map(gradeloft_daemon::agent::Handle::versions)
            .filter(|it| it.phase == "waiting for its turn")
            .count()
    };
    fleet
        .wait_until("the other replicas wait for their turns", || waiting() == 2)
        .await;
    // The log holds three requests and one failure, and no other replica has switched.
    fleet
        .wait_until("all requests are in the log", || {
            4 <= fleet.log.state.len("turns.bulletin")
        })
        .await;
    assert_eq!((failed(), fleet.serving_count(&v1)), (1, 2));
    assert_generates(&fleet, &v1).await;
}

#[actix_rt::test]
async fn zones_get_a_version_in_the_bundles_order() {
    let (fleet, _) = start_rollout(4, &["zone-1", "zone-0"]).await;
    let v2 = version("v2");
    let out_of_order = std::cell::Cell::new(false);
    let serves = |zone: usize| {
        let engines = fleet.engines.iter().skip(zone).step_by(2);
        engines
            .filter(|it| it.endpoint.state.serves() == ["bulletin/v2"])
            .count()
    };
    fleet
        .wait_until("v2 is everywhere", || {
            out_of_order.set(out_of_order.get() || (0 < serves(0) && serves(1) < 2));
            fleet.is_routable(&v2)
        })
        .await;
    assert!(
        !out_of_order.get(),
        "zone-0 switched before zone-1 completed"
    );
}

#[actix_rt::test]
async fn without_the_log_no_replica_is_taken_down() {
    let fleet = fleet(shape(1, 2, 0)).await;
    let v1 = version("v1");
    let first = fleet.deploy(&v1).await;
    for engine in &fleet.engines {
        engine.endpoint.state.capacity.set(1);
    }
    fleet.log.state.down.set(true);
    let v2 = version("v2");
    fleet.upload(&v2);
    let signed = fleet
        .key
        .sign(&fleet.bundle(2, Some(digest(&first)), &v2), "ops");
    gradeloft_daemon::node::config::adopt(fleet.entries[0].as_ref().unwrap().node(), &signed);
    let waiting = || {
        let agents = fleet.engines.iter().filter_map(|it| it.agent.as_ref());
        agents
            .flat_map(gradeloft_daemon::agent::Handle::versions)
            .filter(|it| it.phase == "waiting for its turn")
            .count()
    };
    fleet
        .wait_until("both replicas wait for their turns", || waiting() == 2)
        .await;
    assert_eq!(fleet.serving_count(&v1), 2);
    fleet.log.state.down.set(false);
    fleet
        .wait_until("v2 is everywhere", || fleet.is_routable(&v2))
        .await;
}

#[actix_rt::test]
async fn bundle_survives_log_retention_and_is_not_replaced_by_a_conflicting_record() {
    // The `entry` settings are invalid for agents, so the fleet has none.
    let mut shape = shape(2, 0, 0);
    shape.settings = "entry: {checkpoint_s: 1}".to_owned();
    let mut fleet = fleet(shape).await;
    let v1 = version("v1");
    let first = fleet.bundle(1, None, &v1);
    fleet.publish(&first).await.expect("the bundle is accepted");
    // A conflicting bundle that lost, but remains in the log after the accepted one is dropped.
    let conflicting = fleet.bundle(1, None, &version("v9"));
    let log = Http::new(&fleet.log.url(), std::time::Duration::from_secs(1));
    let conflicting = Record::Bundle(fleet.key.sign(&conflicting, "ops")).encode();
    log.append(CONFIG, &[conflicting]).await.unwrap();
    fleet
        .wait_until("the log holds a checkpoint", || {
            3 <= fleet.log.state.len(CONFIG)
        })
        .await;
    fleet.log.state.truncate_before(CONFIG, 1);
    fleet.entries[1] = None;
    fleet.entries[0] = None;
    fleet.start_entry(0).await.unwrap();
    let node = fleet.entries[0].as_ref().unwrap().node();
    fleet
        .wait_until("a restarted entry has the bundle", || {
            *node.bundle_number.borrow() == 1
        })
        .await;
    assert_eq!(node.chain.borrow().head().unwrap().digest, digest(&first));
    assert_eq!(node.bundle_source.get(), BundleSource::Log);
}

#[actix_rt::test]
async fn address_that_belongs_to_another_instance_is_rejected() {
    let fleet = fleet(shape(1, 2, 0)).await;
    let v1 = version("v1");
    fleet.deploy(&v1).await;
    let other = fleet.engines[1].agent.as_ref().unwrap().peer().to_string();
    fleet
        .list
        .state
        .change("engine-0", |it| it.peer = other.clone());
    let node = fleet.entries[0].as_ref().unwrap().node();
    let moved = |refused: bool| {
        let membership = node.membership.borrow();
        let now = node.clock.now();
        let peer = membership
            .iter()
            .find(|(_, it)| it.instance.id == "engine-0");
        peer.is_some_and(|(_, it)| {
            it.instance.peer == other
                && !it.accepts_work(now)
                && (!refused || it.health.is_suspect(now))
        })
    };
    fleet
        .wait_until("the entry rejects the instance at the address", || {
            moved(true)
        })
        .await;
    assert_generates(&fleet, &v1).await;
    assert!(moved(false));
}
