//! Tests of forwarding: routes, table copies, retries and the roster of entries.

use std::{collections::HashMap, net::Ipv4Addr, rc::Rc};

use bytes::Bytes;
use gradeloft_policy::{
    clock::Time,
    process::{
        allowed_regions::AllowedRegions,
        api_keys::ApiKeys,
        document::{CallerLimits, Config, Denied, Document, Route, RouteKind, Target},
        mirror::{Mirror, Record, Update},
        readers,
        retry_budget::{Bounds, Budget},
        roster::{Discovery, Roster, State, Status},
    },
    request::{
        attempt::{Attempts, Failure, Ran},
        placement::Urgency,
    },
};
use gradeloft_wire::position::Position;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn route(name: &str, prefix: &str, public: bool) -> Route {
    Route {
        name: name.into(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Once,
        targets: vec![Target {
            service: "s".into(),
            weight: 1.0,
        }],
        timeout_ms: 1000,
        goal_ms: 100,
        max_attempts: 1,
        priority: 0,
        public,
        allowed_regions: AllowedRegions::default(),
    }
}

fn config(routes: Vec<Route>) -> Config {
    Config::new(Document {
        version: 1,
        routes,
        services: Vec::new(),
        keys: ApiKeys::of([("k1".to_owned(), Rc::from("night-watch"))]),
        allowed_regions: HashMap::new(),
        team_priorities: HashMap::new(),
        limits: CallerLimits {
            head_bytes: 1000,
            body_bytes: 1000,
            head_ms: 1000,
            idle_ms: 1000,
        },
    })
}

#[rstest]
#[case("a.example", "/x/y/z", Ok("long"))]
#[case("A.Example:80", "/x/z", Ok("short"))]
#[case("a.example", "/xx/", Err(Denied::NoRoute))]
#[case("b.example", "/x/", Err(Denied::NoRoute))]
fn the_longest_matching_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Result<&str, Denied>,
) {
    let config = config(vec![
        route("short", "/x/", false),
        route("long", "/x/y/", false),
    ]);
    assert_eq!(config.route(host, path).map(|it| &*it.name), expected);
}

#[test]
fn a_key_identifies_its_team_and_public_routes_need_none() {
    let config = config(vec![route("r", "/r/", false), route("p", "/p/", true)]);
    let (closed, open) = (&config.document.routes[0], &config.document.routes[1]);
    assert_eq!(
        config.team(closed, Some("k1")),
        Ok(Some("night-watch".into()))
    );
    assert_eq!(config.team(closed, Some("k2")), Err(Denied::UnknownKey));
    assert_eq!(config.team(closed, None), Err(Denied::UnknownKey));
    assert_eq!(config.team(open, None), Ok(None));
}

#[test]
fn traffic_splits_follow_the_weights() {
    let mut split = route("r", "/r/", false);
    split.targets = [("a", 90.0), ("b", 10.0)]
        .map(|(service, weight)| Target {
            service: service.into(),
            weight,
        })
        .to_vec();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let is_second = |it: Option<Rc<str>>| it.as_deref() == Some("b");
    let drawn = (0..2000).filter(|_| is_second(split.draw(&mut rng)));
    let drawn = drawn.count();
    assert!((140..260).contains(&drawn), "{drawn}");
}

/// Guards against requests to a service without a share, and against a panic without services.
#[rstest]
#[case::none(&[], None)]
#[case::without_shares(&[("a", 0.0), ("b", 0.0)], None)]
#[case::last_without_share(&[("a", 1.0), ("b", 0.0)], Some("a"))]
#[case::first_without_share(&[("a", 0.0), ("b", 1.0)], Some("b"))]
fn only_services_with_a_share_are_drawn(
    #[case] targets: &[(&str, f64)],
    #[case] expected: Option<&str>,
) {
    let targets = targets.iter().map(|(service, weight)| Target {
        service: (*service).into(),
        weight: *weight,
    });
    let split = Route {
        targets: targets.collect(),
        ..route("r", "/r/", false)
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..100 {
        assert_eq!(split.draw(&mut rng).as_deref(), expected);
    }
}

/// Returns the position at an offset in the first era.
fn at(offset: u64) -> Position {
    Position::new(0, offset)
}

fn record(key: &str, value: Option<&str>, offset: u64) -> Record {
    Record {
        key: key.to_owned(),
        value: value.map(|it| Bytes::from(it.to_owned())),
        position: at(offset),
    }
}

fn follow(records: Vec<Record>) -> Update {
    let end = records
        .last()
        .map_or(Position::START, |it| it.position.next());
    Update {
        snapshot: false,
        records,
        end,
    }
}

#[test]
fn an_old_record_read_late_has_no_effect() {
    let mut mirror = Mirror::default();
    mirror.apply(
        follow(vec![record("a", Some("1"), 0), record("a", Some("2"), 1)]),
        true,
    );
    assert!(
        mirror
            .apply(follow(vec![record("a", Some("1"), 0)]), true)
            .is_empty()
    );
    assert_eq!(mirror.value("a"), Some(&Bytes::from("2")));
}

#[test]
fn only_the_newest_version_of_a_large_record_is_sent() {
    let mut mirror = Mirror::default();
    let large = "x".repeat(1_000);
    let versions = (0..5).map(|it| record("config", Some(&format!("{it}{large}")), it));
    mirror.apply(follow(versions.collect()), true);
    let missed = mirror.since(at(1));
    assert!(missed.snapshot);
    assert_eq!((missed.records.len(), missed.end), (1, at(5)));
    let last = mirror.since(at(4));
    assert!(!last.snapshot);
    assert_eq!(last.records.len(), 1);
    let mut other = Mirror::default();
    other.apply(missed, true);
    assert_eq!(other.value("config"), mirror.value("config"));
    assert_eq!(other.end(), at(5));
}

#[test]
fn a_snapshot_removes_missing_keys_and_an_old_one_removes_none() {
    let mut mirror = Mirror::default();
    mirror.apply(
        follow(vec![record("a", Some("1"), 0), record("b", Some("1"), 1)]),
        true,
    );
    let old = Update {
        snapshot: true,
        records: Vec::new(),
        end: at(1),
    };
    assert!(mirror.apply(old, true).is_empty());
    let new = Update {
        snapshot: true,
        records: vec![record("b", Some("1"), 1)],
        end: at(9),
    };
    let changed = mirror.apply(new, true);
    assert_eq!(changed.len(), 1);
    assert_eq!((mirror.value("a"), mirror.end()), (None, at(9)));
}

/// Returns the position of the newest record of a copy.
fn newest(copy: &Mirror) -> Option<Position> {
    copy.records().map(|it| it.position).max()
}

proptest! {
    /// Guards against copies that differ: whatever a copy held before, an update from a peer brings
    /// it to the peer's state.
    #[test]
    fn copies_agree_after_one_exchange(
        writes in prop::collection::vec((0..5u8, prop::option::of(0..9u8)), 1..700),
        seen in 0..700usize,
    ) {
        let records = writes.iter().enumerate().map(|(offset, (key, value))| {
            let value = value.map(|it| it.to_string());
            record(&key.to_string(), value.as_deref(), offset as u64)
        });
        let records: Vec<Record> = records.collect();
        let mut full = Mirror::default();
        full.apply(follow(records.clone()), true);
        let mut late = Mirror::default();
        let seen = seen.min(records.len());
        late.apply(follow(records[..seen].to_vec()), true);
        late.apply(full.since(late.end()), true);
        prop_assert_eq!(late.end(), full.end());
        for key in 0..5u8 {
            let key = key.to_string();
            prop_assert_eq!(late.value(&key), full.value(&key));
        }
    }

    /// Guards against values that revert, in whatever order a process reads the store, an old page
    /// of it and its peers, and whenever processes restart and the store drops old records. After
    /// one more read the value is the store's. The test fails if an old snapshot is applied without
    /// comparing the offsets of its records.
    #[test]
    fn a_value_never_reverts(
        steps in prop::collection::vec((0..6u8, 0..3usize, 0..60usize), 1..200),
    ) {
        let mut log: Vec<Record> = vec![record("config", Some("0"), 0)];
        let mut copies: Vec<Mirror> = (0..3).map(|_| Mirror::default()).collect();
        let snapshot = |log: &[Record]| Update {
            snapshot: true,
            records: log.last().cloned().into_iter().collect(),
            end: at(log.len() as u64),
        };
        for (step, copy, back) in steps {
            let before = newest(&copies[copy]);
            match step {
                // Write by the operator.
                0 => log.push(record("config", Some(&log.len().to_string()), log.len() as u64)),
                // Records since the copy's end, or from some time before it.
                1 => {
                    let from = (copies[copy].end().offset as usize).saturating_sub(back);
                    let update = follow(log[from.min(log.len())..].to_vec());
                    copies[copy].apply(update, true);
                }
                // A current or an old snapshot.
                2 => {
                    let upto = log.len().saturating_sub(back).max(1);
                    copies[copy].apply(snapshot(&log[..upto]), true);
                }
                // Update from a peer.
                3 | 4 => {
                    let update = copies[(copy + 1) % 3].since(copies[copy].end());
                    copies[copy].apply(update, true);
                }
                // Restart.
                _ => copies[copy] = Mirror::default(),
            }
            prop_assert!(step == 5 || before <= newest(&copies[copy]));
        }
        for copy in &mut copies {
            copy.apply(snapshot(&log), true);
            prop_assert_eq!(newest(copy), log.last().map(|it| it.position));
        }
    }

    /// Guards against repeating a request that must run once: it may go to another replica only if
    /// it certainly has not run. No request goes to more replicas than allowed, and "not run" is
    /// reported only if no attempt may have run. The test fails if any kind of failure is
    /// underrated.
    #[test]
    fn failed_attempts_in_any_order_respect_the_limits(
        kind in prop::sample::select(vec![RouteKind::Idempotent, RouteKind::Once, RouteKind::ResumableStream, RouteKind::Stream]),
        failures in prop::collection::vec(prop::sample::select(vec![
            Failure::Broken, Failure::Failed, Failure::Lost, Failure::Misdirected,
            Failure::Outdated, Failure::Refused, Failure::Silent, Failure::Unsent,
            Failure::Withdrawn,
        ]), 0..12),
        max_attempts in 0..5u32,
    ) {
        let mut progress = Attempts::new(kind, max_attempts);
        let mut arrivals = 0;
        let mut may_have_run = false;
        for failure in failures {
            if !progress.may_retry() {
                break;
            }
            progress.record_failure(failure);
            arrivals += u32::from(failure != Failure::Unsent);
            may_have_run |= !matches!(failure, Failure::Misdirected | Failure::Refused | Failure::Unsent);
            let repeatable = matches!(kind, RouteKind::Idempotent | RouteKind::ResumableStream);
            prop_assert!(arrivals <= max_attempts.max(1));
            prop_assert_eq!(progress.ran == Ran::Unknown, may_have_run);
            prop_assert!(!progress.may_retry() || !may_have_run || repeatable);
        }
    }

    /// Guards against retry storms: in every time span of the window's length, the retries of all
    /// entries stay within the ratio of the requests counted for it, plus the slack.
    #[test]
    fn retries_of_all_entries_stay_within_the_budget(
        events in prop::collection::vec((0..7usize, 0..40u64, any::<bool>()), 1..1500),
    ) {
        let bounds = Bounds { ratio: 0.2, slack: 100.0, window_ms: 10_000 };
        let mut budgets = vec![Budget::default(); 7];
        let mut now = Time::ZERO;
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for (entry, pause_ms, repeat) in events {
            now = now.after_ms(pause_ms);
            if repeat {
                if budgets[entry].repeat(bounds, Some(7), now) {
                    repeats.push(now);
                }
            } else {
                budgets[entry].request(bounds, now);
                requests.push(now);
            }
        }
        for end in &repeats {
            let within = |times: &[Time], ms: u64| {
                times.iter().filter(|it| **it <= *end && *end < it.after_ms(ms)).count() as f64
            };
            let allowed = bounds.ratio * within(&requests, 11_000) + bounds.slack;
            prop_assert!(within(&repeats, bounds.window_ms) <= allowed);
        }
    }
}

/// Guards against entries that exceed the retry budget after a restart. Replicas refuse nearly half
/// of their requests for ten seconds, and six of seven entries are killed meanwhile and are back
/// half a second later. A budget that lost the spent retries with its process would spend them
/// again within the same window: 673 to 684 retries where 650 are allowed.
#[rstest]
#[case(7)]
#[case(6)]
#[case(1)]
fn restarted_entries_stay_within_the_retry_budget(#[case] killed: usize) {
    let bounds = Bounds {
        ratio: 0.2,
        slack: 102.0,
        window_ms: 10_000,
    };
    let (overload_ms, kill_ms, back_ms, end_ms) = (20_000, 24_600, 25_100, 30_000);
    let mut budgets = vec![Budget::default(); 7];
    let (mut requests, mut repeats) = (0, 0);
    // Each entry receives a request every 25 ms and would retry every second one.
    for now_ms in (0..end_ms).step_by(25) {
        for (entry, budget) in budgets.iter_mut().enumerate() {
            let restarted = entry < killed && kill_ms <= now_ms;
            if restarted && now_ms < back_ms {
                *budget = Budget::default();
                continue;
            }
            // A process's clock starts with the process.
            let now = Time::ZERO.after_ms(if restarted { now_ms - back_ms } else { now_ms });
            budget.request(bounds, now);
            let overloaded = overload_ms <= now_ms;
            requests += u32::from(overloaded);
            if overloaded && now_ms % 50 == 0 && budget.repeat(bounds, Some(7), now) {
                repeats += 1;
            }
        }
    }
    let allowed = bounds.ratio * f64::from(requests) + bounds.slack;
    assert!(f64::from(repeats) <= allowed, "{repeats} of {allowed}");
}

/// Guards against entries that exceed the retry budget by restarting together: six of seven are
/// killed while replicas refuse half of their requests, and accept callers again after 250 ms. If
/// an entry that has no contact yet took the whole budget of a fleet of one, there would be 601
/// retries in ten seconds where 585 are allowed.
#[test]
fn entries_restarting_together_stay_within_the_retry_budget() {
    let bounds = Bounds {
        ratio: 0.2,
        slack: 100.0,
        window_ms: 10_000,
    };
    let address = |last| Ipv4Addr::new(10, 0, 0, last);
    let mut repeats = 0;
    for own in 1..=7 {
        let mut before = Budget::default();
        while before.repeat(bounds, Some(7), Time::ZERO) {
            repeats += 1;
        }
        // The killed entry restarts with the addresses of two others in its settings.
        let mut roster = Roster::default();
        let mut budget = Budget::default();
        (1..=3)
            .filter(|it| *it != own)
            .for_each(|it| roster.learn(address(it), None));
        let mut spend = |roster: &Roster, acquaintance| {
            while budget.repeat(
                bounds,
                roster.budget_sharers(acquaintance),
                Time::ZERO.after_ms(300),
            ) {
                repeats += 1;
            }
        };
        spend(&roster, Discovery::None);
        (1..=7)
            .filter(|it| *it != own)
            .for_each(|it| roster.learn(address(it), Some("z")));
        spend(&roster, Discovery::Listed);
    }
    assert!(f64::from(repeats) <= bounds.slack, "{repeats}");
    // An entry with complete discovery that is alone may use the whole budget.
    assert_eq!(
        Roster::default().budget_sharers(Discovery::Complete),
        Some(1)
    );
}

#[rstest]
// A request that must not be repeated goes to another replica only if it certainly has not run.
#[case(RouteKind::Once, Failure::Unsent, true, Ran::No)]
#[case(RouteKind::Once, Failure::Refused, true, Ran::No)]
#[case(RouteKind::Once, Failure::Misdirected, true, Ran::No)]
#[case(RouteKind::Once, Failure::Lost, false, Ran::Unknown)]
#[case(RouteKind::Once, Failure::Broken, false, Ran::Unknown)]
#[case(RouteKind::Once, Failure::Failed, false, Ran::Unknown)]
#[case(RouteKind::Once, Failure::Silent, false, Ran::Unknown)]
#[case(RouteKind::Stream, Failure::Broken, false, Ran::Unknown)]
#[case(RouteKind::ResumableStream, Failure::Broken, true, Ran::Unknown)]
#[case(RouteKind::Idempotent, Failure::Lost, true, Ran::Unknown)]
fn a_failed_attempt_is_repeated_only_if_safe(
    #[case] kind: RouteKind,
    #[case] failure: Failure,
    #[case] repeat: bool,
    #[case] ran: Ran,
) {
    let mut progress = Attempts::new(kind, 2);
    progress.record_failure(failure);
    assert_eq!((progress.may_retry(), progress.ran), (repeat, ran));
    progress.record_failure(failure);
    assert!(failure == Failure::Unsent || !progress.may_retry());
}

fn status(incarnation: u64, zone: &str, state: State) -> Status<'_> {
    Status {
        incarnation,
        zone,
        state,
        served: true,
        end: Position::START,
    }
}

#[test]
fn leaving_and_silent_entries_are_not_listed_to_callers() {
    let [near, far, gone] = [1, 2, 3].map(|it| Ipv4Addr::new(10, 0, 0, it));
    let mut roster = Roster::default();
    let now = Time::ZERO;
    roster.receive(far, status(1, "y", State::Ready), now);
    roster.receive(near, status(1, "z", State::Ready), now);
    roster.receive(gone, status(1, "z", State::Leaving), now);
    let own = Ipv4Addr::new(10, 0, 0, 9);
    assert_eq!(roster.offered(own, "z", |_| true, now), vec![near, far]);
    let later = now.after_ms(2_000);
    roster.receive(far, status(1, "y", State::Ready), later);
    assert_eq!(roster.offered(own, "z", |_| true, later), vec![far]);
    // Messages from before a restart are ignored once the new process sends its own.
    roster.receive(gone, status(5, "z", State::Ready), later);
    roster.receive(gone, status(1, "z", State::Leaving), later);
    assert_eq!(roster.offered(own, "z", |_| true, later), vec![gone, far]);
    assert_eq!(roster.peak_size(), 4);
}

#[test]
fn a_few_entries_per_region_read_the_store_and_others_replace_unserved_ones() {
    let now = Time::ZERO;
    let region: Vec<Ipv4Addr> = (1..=9).map(|it| Ipv4Addr::new(10, 0, 0, it)).collect();
    let own = |it: &Ipv4Addr| u64::from(it.to_bits());
    let readers_of = |unserved: &[Ipv4Addr]| {
        let reads = |entry: &Ipv4Addr| {
            let mut roster = Roster::default();
            for other in region.iter().filter(|it| *it != entry) {
                let served = !unserved.contains(other);
                let status = Status {
                    served,
                    ..status(1, "z", State::Ready)
                };
                roster.receive(*other, status, now);
            }
            let others = roster.served(|zone| zone == "z", now);
            readers::reads(0, own(entry), others.map(|it| own(&it)), 3)
        };
        let readers = region.iter().copied().filter(|it| reads(it));
        readers.collect::<Vec<Ipv4Addr>>()
    };
    let readers = readers_of(&[]);
    assert_eq!(readers.len(), 2);
    let after = readers_of(&readers);
    // Entries that the store doesn't serve keep trying, while two others read.
    assert_eq!(after.len(), 4);
    assert!(readers.iter().all(|it| after.contains(it)));
}

fn ranked_config(team_priorities: &[u32], route_priorities: &[u32]) -> Config {
    let routes = route_priorities.iter().map(|it| Route {
        priority: *it,
        ..route(&format!("r{it}"), &format!("/{it}/"), false)
    });
    let config = config(routes.collect());
    let teams = || team_priorities.iter().map(|it| (it, team_name(*it)));
    Config::new(Document {
        keys: ApiKeys::of(teams().map(|(it, name)| (it.to_string(), name))),
        team_priorities: teams().map(|(it, name)| (name, *it)).collect(),
        ..config.document
    })
}

fn team_name(priority: u32) -> Rc<str> {
    format!("t{priority}").into()
}

fn queue_ranks(team_priorities: &[u32], route_priorities: &[u32]) -> Vec<u32> {
    let config = ranked_config(team_priorities, route_priorities);
    let mut ranks = Vec::new();
    for priority in team_priorities {
        for route in &config.document.routes {
            let precedence = config.precedence(route, Some(&team_name(*priority)));
            ranks.push(Urgency::OnTime(1.0).rank(config.queue_priority("s", precedence)));
        }
    }
    ranks
}

#[rstest]
// Teams are alike: routes rank as they did without teams.
#[case(&[0], &[0, 1, 2, 9], &[1, 2, 3, 4])]
#[case(&[3], &[0, 2], &[1, 3])]
#[case(&[0, 1], &[0, 2], &[1, 2, 3, 4])]
#[case(&[0, 5], &[1], &[1, 2])]
// Six precedences share four ranks.
#[case(&[0, 1, 2], &[0, 2], &[1, 1, 2, 3, 3, 4])]
fn requests_wait_at_a_replica_by_team_and_then_by_route(
    #[case] team_priorities: &[u32],
    #[case] route_priorities: &[u32],
    #[case] expected: &[u32],
) {
    assert_eq!(queue_ranks(team_priorities, route_priorities), expected);
}

#[rstest]
#[case(&[0, 1], &[1], false)]
#[case(&[1], &[0, 2], true)]
#[case(&[0, 1], &[0, 2], true)]
fn services_whose_routes_have_one_priority_are_not_ranked(
    #[case] team_priorities: &[u32],
    #[case] route_priorities: &[u32],
    #[case] expected: bool,
) {
    let config = ranked_config(team_priorities, route_priorities);
    assert_eq!(config.ranks_requests_for("s"), expected);
    assert!(!config.ranks_requests_for("other"));
}
