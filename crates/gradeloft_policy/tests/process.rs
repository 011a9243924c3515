//! Tests of decisions about versions and processes: placement, pins, membership, addresses, pacing.

use gradeloft_policy::{
    clock::Time,
    connection::{health::Health, pace::Pacer},
    process::{
        address::{self, Entry},
        gossip,
        membership::{Membership, list_interval_ms},
    },
    version::{
        bundle,
        placement::{self, Replica},
        rollout::{ServedVersion, VersionPinner},
    },
};
use gradeloft_wire::{
    border::platform::{Instance, InstanceRole, InstanceState},
    frame::Notice,
};

fn instance(id: &str, state: InstanceState) -> Instance {
    Instance {
        id: id.to_owned(),
        zone: "z".to_owned(),
        region: "r".to_owned(),
        role: InstanceRole::Agent,
        state,
        peer: format!("10.0.0.1:{}", id.len()),
        public: None,
        admin: None,
        service: None,
    }
}

fn notice(leaving: bool) -> Notice {
    Notice {
        leaving,
        capacity: 4,
        ..Notice::default()
    }
}

fn accepts_work(membership: &Membership, now: Time) -> Vec<String> {
    let mut ids: Vec<String> = membership
        .iter()
        .filter(|(_, it)| it.accepts_work(now))
        .map(|(_, it)| it.instance.id.clone())
        .collect();
    ids.sort();
    ids
}

#[test]
fn a_peer_accepts_work_while_it_is_connected_and_not_leaving() {
    let mut membership = Membership::new("own");
    let live = InstanceState::Live;
    let keys = membership.apply_list(vec![instance("own", live), instance("a", live)]);
    assert_eq!(keys.len(), 1, "the own instance is no peer");
    let now = Time::ZERO;
    assert!(accepts_work(&membership, now).is_empty());
    membership.receive_notice(keys[0], notice(false), now);
    assert_eq!(accepts_work(&membership, now), ["a"]);
    membership.receive_notice(keys[0], notice(true), now);
    assert!(accepts_work(&membership, now).is_empty());
}

#[test]
fn the_list_can_report_a_leaving_peer_before_the_peer_does() {
    let mut membership = Membership::new("own");
    let keys = membership.apply_list(vec![instance("a", InstanceState::Live)]);
    membership.receive_notice(keys[0], notice(false), Time::ZERO);
    assert!(
        membership
            .apply_list(vec![instance("a", InstanceState::Leaving)])
            .is_empty()
    );
    assert!(accepts_work(&membership, Time::ZERO).is_empty());
}

#[test]
fn a_peer_missing_from_the_list_stays_while_its_connection_is_up() {
    let mut membership = Membership::new("own");
    let live = InstanceState::Live;
    let keys = membership.apply_list(vec![instance("a", live), instance("bb", live)]);
    for key in &keys {
        membership.receive_notice(*key, notice(false), Time::ZERO);
    }
    membership.apply_list(Vec::new());
    assert_eq!(accepts_work(&membership, Time::ZERO), ["a", "bb"]);
    membership.connection_lost(keys[0], Time::ZERO);
    assert!(membership.get(keys[0]).is_none());
    assert_eq!(accepts_work(&membership, Time::ZERO), ["bb"]);
}

#[test]
fn a_peer_at_a_new_address_accepts_no_work_before_its_next_notice() {
    let mut membership = Membership::new("own");
    let live = InstanceState::Live;
    let keys = membership.apply_list(vec![instance("a", live)]);
    membership.receive_notice(keys[0], notice(false), Time::ZERO);
    let moved = Instance {
        peer: "10.0.0.9:1".to_owned(),
        ..instance("a", live)
    };
    assert_eq!(membership.apply_list(vec![moved]), keys);
    assert!(accepts_work(&membership, Time::ZERO).is_empty());
}

#[test]
fn the_interval_of_list_reads_grows_with_the_fleet() {
    assert_eq!(list_interval_ms(0), 500);
    assert_eq!(list_interval_ms(20), 500);
    assert_eq!(list_interval_ms(2_710), 67_750);
}

#[test]
fn suspicion_grows_with_failures_and_expires() {
    let mut health = Health::default();
    health.record_failure(Time::ZERO);
    assert!(health.is_suspect(Time::ZERO.after_ms(249)));
    assert!(!health.is_suspect(Time::ZERO.after_ms(250)));
    for _ in 0..20 {
        health.record_failure(Time::ZERO);
    }
    assert!(health.is_suspect(Time::ZERO.after_ms(7_999)));
    assert!(!health.is_suspect(Time::ZERO.after_ms(8_000)));
    health.record_success();
    assert!(!health.is_suspect(Time::ZERO));
}

fn serving(version: &str, replicas: u32) -> ServedVersion {
    ServedVersion {
        version: version.to_owned(),
        replicas,
    }
}

#[test]
fn requests_are_pinned_to_the_old_version_until_enough_replicas_serve_the_new_one() {
    let mut pinner = VersionPinner::default();
    pinner.retarget("v1");
    assert_eq!(pinner.pin(&[serving("v1", 4)], 2).as_deref(), Some("v1"));
    pinner.retarget("v2");
    let few = [serving("v1", 4), serving("v2", 1)];
    assert_eq!(pinner.pin(&few, 2).as_deref(), Some("v1"));
    let enough = [serving("v1", 4), serving("v2", 2)];
    assert_eq!(pinner.pin(&enough, 2).as_deref(), Some("v2"));
    assert_eq!(
        pinner.pin(&few, 2).as_deref(),
        Some("v2"),
        "the pin never reverts"
    );
}

#[test]
fn a_new_entry_pins_to_the_most_served_version_until_the_target_is_ready() {
    let mut pinner = VersionPinner::default();
    pinner.retarget("v3");
    let older = [serving("v1", 1), serving("v2", 3)];
    assert_eq!(pinner.pin(&older, 1).as_deref(), Some("v2"));
    assert_eq!(pinner.pin(&[], 1), None);
}

const TWO_MODELS: &str = "
format: 1
number: 1
publishers: [{name: ops, key: 3b6a27bcceb6a42d62a3a8d02a6f0d73653215771de243a63ac048a18b59da29}]
teams: []
services: []
models:
  - {name: a, version: v1, replicas: 8, zones: [], adapters: [], manifest: DIGEST}
  - {name: b, version: v1, replicas: 4, zones: [z0], adapters: [], manifest: DIGEST}
";

fn placed(count: usize) -> Vec<Option<usize>> {
    let yaml = TWO_MODELS.replace("DIGEST", &"ab".repeat(32));
    let bundle = bundle::parse(&yaml).unwrap();
    let names: Vec<String> = (0..count).map(|it| format!("i{it}")).collect();
    let zones = ["z0", "z1"];
    let replicas: Vec<Replica<'_>> = names
        .iter()
        .enumerate()
        .map(|(idx, node)| Replica {
            node,
            zone: zones[idx % 2],
        })
        .collect();
    placement::place(&bundle, &replicas)
}

#[test]
fn placement_fills_the_quotas_in_the_allowed_zones() {
    let placed = placed(14);
    let count = |model| placed.iter().filter(|it| **it == Some(model)).count();
    assert_eq!((count(0), count(1)), (8, 4));
    let elsewhere = placed.iter().skip(1).step_by(2);
    assert!(
        elsewhere.clone().all(|it| *it != Some(1)),
        "b is allowed in z0 only"
    );
}

#[test]
fn an_additional_replica_moves_few_others() {
    let (before, after) = (placed(14), placed(15));
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!(moved <= 2, "{moved}");
}

#[test]
fn near_entries_come_first_and_teams_spread_over_them() {
    let entry = |idx: usize| Entry {
        node: format!("e{idx}"),
        zone: format!("z{}", idx % 2),
        address: format!("10.0.0.{idx}:80"),
    };
    let entries: Vec<Entry> = (0..6).map(entry).collect();
    let mut firsts = std::collections::BTreeSet::new();
    for team in 0..40 {
        let ordered = address::order(&entries, &format!("team-{team}"), "z1");
        let zones: Vec<&str> = ordered.iter().map(|(it, _)| it.zone.as_str()).collect();
        assert_eq!(zones, ["z1", "z1", "z1", "z0", "z0", "z0"]);
        assert!(ordered[3].1 < ordered[2].1);
        firsts.insert(ordered[0].0.node.clone());
    }
    assert_eq!(firsts.len(), 3);
}

#[test]
fn weights_yield_to_live_traffic_and_regain_the_link() {
    let mut pacer = Pacer::new(1_000_000);
    assert_eq!(pacer.rate(Time::ZERO), 1_000_000.0);
    for step in 0..50 {
        pacer.record_live(8_000, Time::ZERO.after_ms(step * 10));
    }
    let busy = Time::ZERO.after_ms(500);
    let rate = pacer.rate(busy);
    assert!(
        (100_000.0..400_000.0).contains(&rate),
        "{rate} with 800,000 bytes/s of live traffic"
    );
    let quiet = busy.after_ms(5_000);
    assert_eq!(
        (pacer.rate(quiet), pacer.max_concurrent(8, quiet)),
        (1_000_000.0, 8)
    );
}

#[test]
fn weights_keep_a_small_share_under_any_live_traffic() {
    let mut pacer = Pacer::new(1_000_000);
    pacer.record_live(10_000_000, Time::ZERO);
    assert_eq!(pacer.rate(Time::ZERO), 50_000.0);
}

#[test]
fn gossip_goes_to_few_peers_and_connects_the_fleet() {
    let listed = |idx: usize| Instance {
        role: if idx < 7 {
            InstanceRole::Entry
        } else {
            InstanceRole::Agent
        },
        ..instance(&format!("node-{idx}"), InstanceState::Live)
    };
    let mut membership = Membership::new("outside");
    membership.apply_list((0..500).map(listed).collect());
    let peers: Vec<_> = membership.iter().map(|(_, it)| it).collect();
    let select = |own: u64| -> Vec<u64> {
        let others: Vec<_> = peers.iter().copied().filter(|it| it.node != own).collect();
        gossip::select_peers(own, &others)
            .iter()
            .map(|it| it.node)
            .collect()
    };
    let selections: Vec<(u64, Vec<u64>)> =
        peers.iter().map(|it| (it.node, select(it.node))).collect();
    assert!(selections.iter().all(|(_, it)| it.len() <= 6));
    // Bundles are pulled, so they spread from a peer to those that selected it.
    let mut reached = vec![peers[0].node];
    let mut seen = std::collections::BTreeSet::from([peers[0].node]);
    while let Some(node) = reached.pop() {
        let pullers = selections
            .iter()
            .filter(|(_, selected)| selected.contains(&node));
        reached.extend(pullers.map(|it| it.0).filter(|it| seen.insert(*it)));
    }
    assert_eq!(seen.len(), 500);
}
