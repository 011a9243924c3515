//! Entries that start without knowledge of the requests at replicas.

mod support;

use gradeloft_policy::{
    clock::Time,
    process::{
        document::Speed,
        occupancy::Occupancy,
        remote_loads::Load,
        replicas::{Listing, Replica, ReplicaKey, Replicas, Report},
        slot_split::{self, ReplicaSlots, RequestRate, overflow_probability},
    },
    request::placement::{self, Requirements, Uncertainty, Urgency},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::listing;

const ENTRIES: usize = 8;
const REPLICAS: usize = 10;
const SLOTS: u32 = 16;
/// Requests that a replica queues beyond its slots before it rejects further ones.
const QUEUE: usize = 2;
/// Duration of each request of the new entries, and the longest one of an abandoned request, in
/// milliseconds.
const REQUEST_MS: u64 = 1_200;
const ABANDONED_MS: u64 = 4_000;
const RUN_MS: u64 = 6_000;
const REPORT_MS: u64 = 250;
const GOSSIP_MS: u64 = 125;

const SPEED: Speed = Speed {
    step_ms: 1.0,
    step_ms_per_request: 0.0,
    steps: 1,
    read_per_ms: 1_000.0,
    usual_prompt: 10.0,
    usual_response: 1.0,
};

fn requirements(near: Uncertainty) -> Requirements<'static> {
    Requirements {
        zone: "z",
        min_version: None,
        resumed_version: None,
        tried: &[],
        urgency: Urgency::OnTime(400.0),
        prompt_tokens: 10.0,
        speed: Some(&SPEED),
        near,
        far: Uncertainty::default(),
    }
}

fn report(count: usize, at: Time) -> Report {
    Report {
        born: None,
        version: Some(1),
        loading: false,
        congested: false,
        running: count.min(SLOTS as usize) as u32,
        queued: count.saturating_sub(SLOTS as usize) as u32,
        at,
    }
}

struct Entry {
    replicas: Replicas,
    keys: Vec<ReplicaKey>,
    demand: RequestRate,
    overflow: RequestRate,
    /// Time of the last exchange of loads.
    exchanged: Time,
}

impl Entry {
    /// Creates an entry that has just read the list of replicas.
    fn new(idx: usize, reads_counts: bool) -> Entry {
        let mut replicas = Replicas::default();
        let listings = (0..REPLICAS).map(|it| Listing {
            address: ([10, 0, 1, it as u8], 80).into(),
            slots: SLOTS,
            ..listing(&format!("replica-{it}"), Some(1))
        });
        let keys = listings.map(|it| replicas.apply_listing(it)).collect();
        if reads_counts {
            replicas.await_counts(Time::ZERO);
        }
        let mut entry = Entry {
            replicas,
            keys,
            demand: RequestRate::default(),
            overflow: RequestRate::default(),
            exchanged: Time::ZERO,
        };
        entry.split_slots(idx);
        entry
    }

    fn split_slots(&mut self, idx: usize) {
        let slots = self.keys.iter().map(|it| self.replicas.get(*it).unwrap());
        let slots = (0..).zip(slots).map(|(key, it)| ReplicaSlots {
            key,
            slots: it.splittable_slots(),
        });
        let entries: Vec<u64> = (0..ENTRIES as u64).collect();
        let parts = slot_split::parts(idx, &entries, &slots.collect::<Vec<_>>());
        for (key, part) in self.keys.iter().zip(parts) {
            self.replicas.get_mut(*key).unwrap().own_slots = part;
        }
    }

    /// Selects a replica for a request like the gateway; returns its index.
    fn choose(&mut self, now: Time, rng: &mut ChaCha8Rng) -> Option<usize> {
        self.demand.count(now);
        let age = now.since(self.exchanged);
        let rate = self.demand.rate(now) * (ENTRIES - 1) as f64 / REPLICAS as f64;
        let unseen_requests = slot_split::unseen_requests(rate, age);
        let replicas = self.replicas.iter();
        let spare = replicas.map(|(_, it)| it.spare(unseen_requests)).sum();
        let overflow = self.overflow.rate(now);
        let uncertainty = Uncertainty {
            overflow_probability: overflow_probability(spare, ENTRIES - 1, overflow, age),
            unseen_requests,
        };
        let requirements = requirements(uncertainty);
        let chosen = placement::choose(self.replicas.of("m"), requirements, now, rng);
        let replica = chosen.and_then(|it| self.replicas.get(it));
        if !replica.is_some_and(Replica::has_free_own_slot) {
            self.overflow.count(now);
        }
        self.keys.iter().position(|it| Some(*it) == chosen)
    }

    fn own(&self, replica: usize) -> u32 {
        self.replicas.get(self.keys[replica]).unwrap().own_requests
    }

    fn change_own(&mut self, replica: usize, change: i32) {
        let replica = self.replicas.get_mut(self.keys[replica]).unwrap();
        replica.own_requests = replica.own_requests.saturating_add_signed(change);
    }
}

/// What callers get in each second: requests sent to a replica, requests that a full replica
/// rejected, and the requests that the replicas had room for.
#[derive(Debug, Default)]
struct Run {
    served: [u32; 6],
    rejected: [u32; 6],
    room: [f64; 6],
}

/// Starts all entries while each replica is full of requests of entries that are gone.
fn start(reads_counts: bool, seed: u64) -> Run {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut entries: Vec<Entry> = (0..ENTRIES)
        .map(|it| Entry::new(it, reads_counts))
        .collect();
    // End of each request, and the entry that waits for it.
    let mut replicas: Vec<Vec<(u64, Option<usize>)>> = (0..REPLICAS)
        .map(|_| {
            let ends = (0..SLOTS).map(|_| (rng.random_range(0..ABANDONED_MS), None));
            ends.collect()
        })
        .collect();
    let mut run = Run::default();
    for now_ms in 0..RUN_MS {
        let now = Time::ZERO.after_ms(now_ms);
        let second = now_ms as usize / 1_000;
        for (idx, requests) in replicas.iter_mut().enumerate() {
            for (_, entry) in requests.iter().filter(|it| it.0 <= now_ms) {
                entry.iter().for_each(|it| entries[*it].change_own(idx, -1));
            }
            requests.retain(|it| now_ms < it.0);
            let abandoned = requests.iter().filter(|it| it.1.is_none()).count();
            run.room[second] += (SLOTS as usize - abandoned) as f64 / REQUEST_MS as f64;
        }
        if now_ms % REPORT_MS == 0 && reads_counts {
            for entry in &mut entries {
                for (idx, requests) in replicas.iter().enumerate() {
                    let address = entry.replicas.get(entry.keys[idx]).unwrap().listing.address;
                    let report = report(requests.len(), now);
                    entry.replicas.apply_report(address, report);
                }
            }
        }
        if now_ms % GOSSIP_MS == 0 {
            exchange_loads(&mut entries, now);
        }
        // As many requests as the replicas could run without abandoned ones.
        let rate = (REPLICAS as f64 * f64::from(SLOTS)) / REQUEST_MS as f64;
        if rng.random::<f64>() < rate {
            let idx = rng.random_range(0..ENTRIES);
            let entry = &mut entries[idx];
            let chosen = entry.choose(now, &mut rng);
            match chosen.map(|it| (it, &mut replicas[it])) {
                Some((_, requests)) if SLOTS as usize + QUEUE <= requests.len() => {
                    run.rejected[second] += 1;
                }
                Some((replica, requests)) => {
                    requests.push((now_ms + REQUEST_MS, Some(idx)));
                    entry.change_own(replica, 1);
                    run.served[second] += 1;
                }
                None => {}
            }
        }
    }
    run
}

fn exchange_loads(entries: &mut [Entry], now: Time) {
    let sums: Vec<u32> = (0..REPLICAS)
        .map(|replica| entries.iter().map(|it| it.own(replica)).sum())
        .collect();
    for (idx, entry) in entries.iter_mut().enumerate() {
        let others: Vec<(u32, u32)> = (0..REPLICAS)
            .map(|it| {
                let hash = entry.replicas.get(entry.keys[it]).unwrap().hash();
                (hash, sums[it] - entry.own(it))
            })
            .collect();
        let load = |replica: &Replica| Load {
            running: others.iter().find(|it| it.0 == replica.hash()).unwrap().1,
            ..Load::default()
        };
        entry.replicas.set_others(load, now);
        entry.exchanged = now;
        entry.split_slots(idx);
    }
}

/// All entries start at once while replicas go on with requests of callers who have left. Guards
/// against requests that full replicas reject, and against slots that stay unused out of caution.
#[test]
fn entries_that_start_before_full_replicas_fill_only_the_room_that_there_is() {
    for seed in 0..5 {
        let run = start(true, seed);
        let unaware = start(false, seed);
        let rejected = |it: &Run| it.rejected.iter().sum::<u32>();
        let sent = run.served.iter().sum::<u32>() + rejected(&run);
        assert!(rejected(&run) * 25 <= sent, "{run:?}");
        assert!(rejected(&run) * 8 <= rejected(&unaware), "{unaware:?}");
        let served: u32 = run.served[2..].iter().sum();
        let room: f64 = run.room[2..].iter().sum();
        assert!(0.8 * room <= f64::from(served), "{run:?}");
    }
}

#[test]
fn a_count_that_reports_of_entries_explain_does_not_limit_later_requests() {
    let mut replicas = Replicas::default();
    let key = replicas.apply_listing(listing("a", Some(1)));
    let address = replicas.get(key).unwrap().listing.address;
    let load = |running| {
        move |_: &Replica| Load {
            running,
            ..Load::default()
        }
    };
    replicas.await_counts(Time::ZERO);
    replicas.apply_report(address, report(16, Time::ZERO));
    assert_eq!(replicas.get(key).unwrap().load(), 16);
    replicas.set_others(load(15), Time::ZERO);
    replicas.apply_report(address, report(16, Time::ZERO.after_ms(250)));
    let replica = replicas.get(key).unwrap();
    assert_eq!(
        (replica.occupancy, replica.load()),
        (Occupancy::Explained, 15)
    );
    // In steady state, the reports of entries are the only measure.
    replicas.set_others(load(2), Time::ZERO.after_ms(500));
    replicas.apply_report(address, report(16, Time::ZERO.after_ms(500)));
    assert_eq!(replicas.get(key).unwrap().load(), 2);
}

/// The agent of a replica stops. Guards against a count that keeps the replica full for good.
#[test]
fn an_old_count_and_a_missing_one_stop_limiting_requests() {
    let mut replicas = Replicas::default();
    let key = replicas.apply_listing(listing("a", Some(1)));
    let address = replicas.get(key).unwrap().listing.address;
    replicas.await_counts(Time::ZERO);
    replicas.apply_report(address, report(16, Time::ZERO));
    let nobody = |_: &Replica| Load::default();
    let mut load_at = |ms| {
        replicas.set_others(nobody, Time::ZERO.after_ms(ms));
        let replica = replicas.get(key).unwrap();
        (replica.load(), replica.occupancy.is_unknown())
    };
    assert_eq!(load_at(1_999), (16, true));
    assert_eq!(load_at(2_000), (0, true));
    assert_eq!(load_at(4_999), (0, true));
    assert_eq!(load_at(5_000), (0, false));
}
