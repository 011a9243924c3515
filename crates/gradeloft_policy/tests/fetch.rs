//! Which chunk to fetch next, and from where.

use gradeloft_policy::{
    clock::Time,
    rendezvous,
    version::{
        fetch::{ChunkRequest, Failure, Fetch, Scheme, Tuning, Upstream},
        manifest::{Chunk, Manifest},
        partners::{self, Member},
    },
};
use gradeloft_wire::{border::bundle::Objective, id::Digest};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const OWN: u64 = 1;
const TUNING: Tuning = Tuning {
    scheme: Scheme::Owners,
    peer_slots: 4,
    origin_slots: 2,
    per_source: 2,
    stall_ms: 1_000,
    chunk_ms: 100,
    takeover_ms: 500,
    max_announcements: 8,
    objective: Objective::Time,
    origin_copies: 4.0,
};

fn manifest(count: usize) -> Manifest {
    let chunk = |idx: usize| Chunk {
        digest: Digest::of(&idx.to_le_bytes()),
        size_bytes: 10,
    };
    let chunks = (0..count).map(chunk).collect();
    Manifest {
        digest: Digest::of(b"manifest"),
        chunks,
    }
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(1)
}

fn fetch(manifest: &Manifest, members: &[u64]) -> Fetch {
    let mut fetch = Fetch::new(OWN, manifest, |_| false, TUNING, Time::ZERO);
    fetch.set_members(members.to_vec());
    fetch
}

fn asks(fetch: &mut Fetch, now: Time) -> Vec<ChunkRequest> {
    let mut rng = rng();
    std::iter::from_fn(|| fetch.next_request(now, &mut rng)).collect()
}

/// A chunk of the manifest that `OWN` does not own among the members.
fn foreign(manifest: &Manifest, members: &[u64]) -> usize {
    let others = || members.iter().copied().filter(|it| *it != OWN);
    let rank = |it: &Chunk| rendezvous::rank(it.digest.short(), OWN, others());
    manifest
        .chunks
        .iter()
        .position(|it| rank(it) == 1)
        .expect("a chunk of rank 1")
}

#[test]
fn a_lone_agent_reads_all_from_outside_within_its_slots() {
    let manifest = manifest(5);
    let mut fetch = fetch(&manifest, &[OWN]);
    let first = asks(&mut fetch, Time::ZERO);
    assert_eq!(first.len(), TUNING.origin_slots);
    assert!(first.iter().all(|it| it.from == Upstream::Store));
    for ask in first {
        fetch.failed(ask.idx, ask.from, Failure::NotHeld, Time::ZERO);
    }
    while !fetch.is_complete() {
        let asks = asks(&mut fetch, Time::ZERO);
        assert!(!asks.is_empty());
        for ask in asks {
            assert_eq!(ask.from, Upstream::Origin);
            assert!(fetch.arrived(ask.idx, ask.from, Time::ZERO));
        }
    }
    assert_eq!(fetch.counts().origin, 5);
}

#[test]
fn each_chunk_has_one_owner_whatever_order_the_members_come_in() {
    let manifest = manifest(64);
    let mut owners = vec![0; 64];
    for own in 1..=8 {
        let mut fetch = Fetch::new(own, &manifest, |_| false, TUNING, Time::ZERO);
        let mut members: Vec<u64> = (1..=8).collect();
        members.rotate_left(own as usize);
        fetch.set_members(members);
        for (idx, chunk) in manifest.chunks.iter().enumerate() {
            owners[idx] += usize::from(fetch.owns(chunk.digest));
        }
    }
    assert!(owners.iter().all(|it| *it == 1));
}

/// By the draw alone one agent of 13 owned seven of 48 chunks, and the origin had nothing to send to the others while
/// it read its last ones: the last ten chunks came in 0.8 s in place of 0.45.
#[test]
fn none_owns_many_more_chunks_than_others() {
    let manifest = manifest(48);
    let owned = |own: u64| {
        let mut fetch = Fetch::new(own, &manifest, |_| false, TUNING, Time::ZERO);
        fetch.set_members((1..=13).collect());
        manifest
            .chunks
            .iter()
            .filter(|it| fetch.owns(it.digest))
            .count()
    };
    let most = (1..=13).map(owned).max();
    assert_eq!(most, Some(5), "of 3.7 in the mean");
}

/// Readers that asked peers for nothing while they waited for the origin had a version 1.7 s after the others.
#[test]
fn while_an_agent_waits_for_the_origin_it_asks_peers() {
    let manifest = manifest(32);
    let mut fetch = fetch(&manifest, &[OWN, 2]);
    let peer = fetch.add_source(true);
    let other = fetch.add_source(true);
    for key in [peer, other] {
        fetch.add_held(key, (0..32).filter(|it| 16 <= *it));
    }
    let asks = asks(&mut fetch, Time::ZERO);
    let outside = asks.iter().filter(|it| it.from == Upstream::Store).count();
    assert_eq!(outside, TUNING.origin_slots);
    assert_eq!(asks.len() - outside, TUNING.peer_slots);
}

#[test]
fn what_is_left_of_a_version_that_is_nearly_there_is_read_by_the_next_in_rank() {
    let manifest = manifest(16);
    let members = [OWN, 2, 3];
    let late = foreign(&manifest, &members);
    let mut fetch = fetch(&manifest, &members);
    let peer = fetch.add_source(true);
    let now = Time::ZERO.after_ms(100);
    let outside = |asks: Vec<ChunkRequest>| -> Vec<usize> {
        let outside = asks
            .iter()
            .filter(|it| matches!(it.from, Upstream::Store | Upstream::Origin));
        outside.map(|it| it.idx).collect()
    };
    fetch.add_held(peer, (0..16).filter(|it| *it != late).take(11));
    assert!(
        !outside(asks(&mut fetch, now)).contains(&late),
        "five are left"
    );
    fetch.add_held(peer, (0..16).filter(|it| *it != late));
    // Its owner has said that it reads it, and has its time from there.
    asks(&mut fetch, now);
    let waited = now.after_ms(149);
    assert!(!outside(asks(&mut fetch, waited)).contains(&late));
    let mut rest = fetch;
    (0..16).filter(|it| *it != late).for_each(|it| {
        rest.arrived(it, Upstream::Source(peer), waited);
    });
    assert_eq!(outside(asks(&mut rest, now.after_ms(150))), [late]);
}

/// An origin that sends a chunk each 45 ms to owners that read as fast as they get them. A version of 48 is nearly there
/// after 1.6 s, and the rest needs 0.5 s more. Agents that read it as well after a fixed wait of 0.15 s for each rank made
/// the origin send half a version twice.
#[test]
fn what_comes_at_the_pace_of_the_rest_is_left_to_its_owners() {
    let manifest = manifest(48);
    let members = [OWN, 2, 3, 4];
    let mut fetch = fetch(&manifest, &members);
    let peer = fetch.add_source(true);
    let mine: Vec<usize> = (0..48)
        .filter(|it| fetch.owns(manifest.chunks[*it].digest))
        .collect();
    let mut reading = Vec::new();
    let mut read_twice = Vec::new();
    for number in 0..48_usize {
        let now = Time::ZERO.after_ms(45 * (number as u64 + 1));
        if !mine.contains(&number) {
            fetch.add_held(peer, std::iter::once(number));
        } else if let Some(ChunkRequest { idx, from, .. }) = reading.pop() {
            fetch.arrived(idx, from, now);
        }
        for ask in asks(&mut fetch, now) {
            match ask.from {
                Upstream::Owner(_) => fetch.failed(ask.idx, ask.from, Failure::Pending, now),
                Upstream::Store | Upstream::Origin if mine.contains(&ask.idx) => reading.push(ask),
                Upstream::Store | Upstream::Origin => read_twice.push(ask.idx),
                Upstream::Source(_) => {
                    fetch.arrived(ask.idx, ask.from, now);
                }
            }
        }
    }
    assert_eq!(read_twice, Vec::<usize>::new());
}

#[test]
fn a_version_of_which_peers_have_half_is_half_there_though_little_of_it_is_here() {
    let manifest = manifest(16);
    let mut fetch = fetch(&manifest, &[OWN, 2, 3]);
    fetch.mark_seen(0..7);
    assert!(!fetch.half_available());
    let peer = fetch.add_source(true);
    fetch.add_held(peer, 7..8);
    assert!(fetch.half_available());
}

#[test]
fn what_a_far_peer_holds_is_not_read_again() {
    let manifest = manifest(16);
    let members = [OWN, 2, 3];
    let late = foreign(&manifest, &members);
    let mut fetch = fetch(&manifest, &members);
    fetch.mark_seen(0..16);
    asks(&mut fetch, Time::ZERO);
    let later = asks(&mut fetch, Time::ZERO.after_ms(400));
    assert!(later.iter().all(|it| it.idx != late));
}

#[test]
fn the_rarest_chunk_is_asked_for_first_and_of_the_nearer_peer() {
    let manifest = manifest(3);
    let mut fetch = fetch(&manifest, &[OWN, 2, 3]);
    let far = fetch.add_source(false);
    let near = fetch.add_source(true);
    fetch.add_held(far, 0..3);
    fetch.add_held(near, 1..3);
    let asks = asks(&mut fetch, Time::ZERO);
    assert_eq!((asks[0].idx, asks[0].from), (0, Upstream::Source(far)));
    assert_eq!(asks[1].from, Upstream::Source(near));
}

#[test]
fn a_corrupt_chunk_is_not_asked_of_its_source_again() {
    let manifest = manifest(1);
    let mut fetch = fetch(&manifest, &[OWN, 2, 3]);
    let (bad, good) = (fetch.add_source(true), fetch.add_source(false));
    fetch.add_held(bad, 0..1);
    fetch.add_held(good, 0..1);
    let first = asks(&mut fetch, Time::ZERO);
    assert_eq!(first[0].from, Upstream::Source(bad));
    fetch.failed(0, first[0].from, Failure::Corrupt, Time::ZERO);
    let second = asks(&mut fetch, Time::ZERO);
    assert_eq!(second[0].from, Upstream::Source(good));
    assert_eq!(fetch.counts().corrupt, 1);
}

#[test]
fn a_stalled_ask_goes_to_another_peer_and_a_late_reply_changes_nothing() {
    let manifest = manifest(1);
    let mut fetch = fetch(&manifest, &[OWN, 2, 3]);
    let (slow, other) = (fetch.add_source(true), fetch.add_source(false));
    fetch.add_held(slow, 0..1);
    fetch.add_held(other, 0..1);
    let first = asks(&mut fetch, Time::ZERO)[0];
    assert!(
        fetch
            .stalled(Time::ZERO.after_ms(TUNING.stall_ms - 1))
            .is_empty()
    );
    let late = Time::ZERO.after_ms(TUNING.stall_ms);
    assert_eq!(fetch.stalled(late), vec![(0, first.from)]);
    fetch.failed(0, first.from, Failure::Stalled, late);
    let second = asks(&mut fetch, late)[0];
    assert_eq!(second.from, Upstream::Source(other));
    fetch.failed(0, first.from, Failure::Gone, late);
    assert!(fetch.arrived(0, second.from, late));
    assert!(!fetch.arrived(0, first.from, late));
    assert!(fetch.is_complete());
}

#[test]
fn a_peer_that_goes_takes_its_asks_and_its_chunks_with_it() {
    let manifest = manifest(2);
    let members = [OWN, 2];
    let mut fetch = fetch(&manifest, &members);
    let peer = fetch.add_source(true);
    fetch.add_held(peer, 0..2);
    assert_eq!(asks(&mut fetch, Time::ZERO).len(), 2);
    fetch.remove_source(peer, Time::ZERO);
    let again = asks(&mut fetch, Time::ZERO);
    assert!(again.iter().all(|it| it.from == Upstream::Store));
}

/// Makes all asks of a moment, answers those for other chunks and gives the one for `idx`.
fn ask_for(fetch: &mut Fetch, idx: usize, now: Time) -> Option<Upstream> {
    let mut seen = None;
    loop {
        let asks = asks(fetch, now);
        if asks.is_empty() {
            return seen;
        }
        for ask in asks {
            match ask.from {
                from if ask.idx == idx => seen = Some(from),
                // What others own stays with them, so that the version is not nearly there.
                from @ Upstream::Owner(_) => fetch.failed(ask.idx, from, Failure::Busy, now),
                from => {
                    fetch.arrived(ask.idx, from, now);
                }
            }
        }
    }
}

#[test]
fn a_silent_owner_is_asked_directly_and_replaced_only_when_it_is_gone() {
    let members = [OWN, 2, 3, 4];
    let manifest = manifest(32);
    let idx = foreign(&manifest, &members);
    let mut fetch = fetch(&manifest, &members);
    let mut now = Time::ZERO;
    assert_eq!(
        ask_for(&mut fetch, idx, now),
        None,
        "the owner gets its time"
    );

    now = now.after_ms(TUNING.takeover_ms);
    let Some(from @ Upstream::Owner(_)) = ask_for(&mut fetch, idx, now) else {
        panic!("the owner was not asked");
    };
    fetch.failed(idx, from, Failure::Pending, now);
    assert_eq!(
        ask_for(&mut fetch, idx, now),
        None,
        "an owner at work is waited for"
    );

    now = now.after_ms(TUNING.takeover_ms);
    assert_eq!(ask_for(&mut fetch, idx, now), Some(from));
    fetch.failed(idx, from, Failure::Gone, now);
    assert!(fetch.owns(manifest.chunks[idx].digest));
    assert_eq!(ask_for(&mut fetch, idx, now), Some(Upstream::Store));
}

#[test]
fn an_ask_at_the_origin_gets_time_for_those_of_all_members() {
    let manifest = manifest(1);
    let mut fetch = fetch(&manifest, &[OWN]);
    let ask = asks(&mut fetch, Time::ZERO)[0];
    fetch.set_members((0..10).collect());
    let patience = TUNING.stall_ms + 10 * TUNING.origin_slots as u64 * TUNING.chunk_ms;
    assert!(fetch.stalled(Time::ZERO.after_ms(patience - 1)).is_empty());
    assert_eq!(
        fetch.stalled(Time::ZERO.after_ms(patience)),
        vec![(ask.idx, ask.from)]
    );
}

#[test]
fn an_owner_that_is_about_to_read_for_ever_is_replaced() {
    let members = [OWN, 2, 3, 4];
    let manifest = manifest(32);
    let idx = foreign(&manifest, &members);
    let mut fetch = fetch(&manifest, &members);
    let mut now = Time::ZERO;
    let mut pendings = 0;
    loop {
        now = now.after_ms(TUNING.takeover_ms);
        match ask_for(&mut fetch, idx, now) {
            Some(from @ Upstream::Owner(_)) => fetch.failed(idx, from, Failure::Pending, now),
            Some(Upstream::Store) => break,
            other => panic!("{other:?}"),
        }
        pendings += 1;
        assert!(pendings < 40);
    }
    // Eight times, as often as the version takes takeover times, and once more.
    assert_eq!(pendings, 9 + 32 * TUNING.chunk_ms / TUNING.takeover_ms);
}

#[test]
fn a_store_and_an_origin_that_refuse_are_left_alone_for_as_long_as_they_ask() {
    let manifest = manifest(1);
    let mut fetch = fetch(&manifest, &[OWN]);
    let first = asks(&mut fetch, Time::ZERO)[0];
    fetch.failed(0, first.from, Failure::Limited(2_000), Time::ZERO);
    let second = asks(&mut fetch, Time::ZERO)[0];
    assert_eq!(second.from, Upstream::Origin);
    fetch.failed(0, second.from, Failure::Gone, Time::ZERO);
    assert!(asks(&mut fetch, Time::ZERO.after_ms(199)).is_empty());
    let third = asks(&mut fetch, Time::ZERO.after_ms(200))[0];
    assert_eq!(third.from, Upstream::Origin);
    fetch.failed(0, third.from, Failure::Gone, Time::ZERO.after_ms(200));
    assert!(
        asks(&mut fetch, Time::ZERO.after_ms(599)).is_empty(),
        "the wait doubles"
    );
}

#[test]
fn while_the_origin_is_down_what_peers_hold_keeps_spreading() {
    let manifest = manifest(2);
    let mut fetch = fetch(&manifest, &[OWN]);
    for ask in asks(&mut fetch, Time::ZERO) {
        fetch.failed(ask.idx, ask.from, Failure::Gone, Time::ZERO);
    }
    for ask in asks(&mut fetch, Time::ZERO) {
        fetch.failed(ask.idx, ask.from, Failure::Gone, Time::ZERO);
    }
    let peer = fetch.add_source(true);
    fetch.add_held(peer, 0..2);
    let asks = asks(&mut fetch, Time::ZERO);
    assert_eq!(asks.len(), 2);
    assert!(asks.iter().all(|it| it.from == Upstream::Source(peer)));
}

#[test]
fn chunks_that_a_newer_version_shares_are_not_fetched_again() {
    let manifest = manifest(4);
    let held = manifest.chunks[1].digest;
    let fetch = Fetch::new(OWN, &manifest, |it| it == held, TUNING, Time::ZERO);
    assert_eq!(fetch.missing(), 3);
}

#[test]
fn a_peer_with_too_many_strikes_is_left_alone() {
    let manifest = manifest(1);
    let mut fetch = fetch(&manifest, &[OWN, 2]);
    let bad = fetch.add_source(true);
    let mut now = Time::ZERO;
    for _ in 0..4 {
        fetch.add_held(bad, 0..1);
        let ask = asks(&mut fetch, now)[0];
        assert_eq!(ask.from, Upstream::Source(bad));
        fetch.failed(0, ask.from, Failure::Stalled, now);
        now = now.after_ms(TUNING.stall_ms);
    }
    fetch.add_held(bad, 0..1);
    assert!(
        asks(&mut fetch, now)
            .iter()
            .all(|it| it.from != Upstream::Source(bad))
    );
}

#[test]
fn partners_are_few_and_mostly_near_and_connect_the_fleet() {
    let zone = |node: u64| node % 4;
    let mut reached = vec![0];
    let mut seen = std::collections::BTreeSet::from([0]);
    while let Some(own) = reached.pop() {
        let member = |node: u64| {
            let near = zone(node) == zone(own);
            Member {
                node,
                address: String::new(),
                near,
            }
        };
        let others: Vec<Member> = (0..400).filter(|it| *it != own).map(member).collect();
        let chosen = partners::choose(Scheme::Owners, own, 9, &others);
        assert_eq!(chosen.len(), 14);
        assert_eq!(chosen.iter().filter(|it| it.near).count(), 8);
        reached.extend(
            chosen
                .iter()
                .map(|it| it.node)
                .filter(|it| seen.insert(*it)),
        );
    }
    assert_eq!(seen.len(), 400);
}

/// Of 25 agents of a region that followed eight each, a piece came to the last three steps after the first.
#[test]
fn a_small_region_is_followed_whole() {
    let member = |node: u64| Member {
        node,
        address: String::new(),
        near: node < 25,
    };
    let others: Vec<Member> = (1..76).map(member).collect();
    let chosen = partners::choose(Scheme::Owners, 0, 9, &others);
    assert_eq!(chosen.iter().filter(|it| it.near).count(), 24);
    assert_eq!(chosen.len(), 30);
}

/// When a lone agent asks the origin, `count` times, while each ask fails so and the store is shut.
fn origin_asks(failure: Failure, count: usize) -> Vec<Time> {
    let manifest = manifest(1);
    let tuning = Tuning {
        origin_copies: 1.0,
        ..TUNING
    };
    let mut fetch = Fetch::new(OWN, &manifest, |_| false, tuning, Time::ZERO);
    fetch.set_members(vec![OWN]);
    let mut now = Time::ZERO;
    let mut asked_at = Vec::new();
    while asked_at.len() < count {
        for ask in asks(&mut fetch, now) {
            if ask.from == Upstream::Origin {
                asked_at.push(now);
                fetch.failed(ask.idx, ask.from, failure, now);
            } else {
                fetch.failed(ask.idx, ask.from, Failure::Limited(1_000_000), now);
            }
        }
        now = now.after_ms(100);
    }
    asked_at
}

fn gaps_ms(times: &[Time]) -> Vec<u128> {
    let pairs = times.windows(2);
    pairs.map(|it| it[1].since(it[0]).as_millis()).collect()
}

#[test]
fn beyond_its_part_of_the_copies_an_agent_reads_the_origin_slowly() {
    let gaps = gaps_ms(&origin_asks(Failure::Corrupt, 4));
    assert!(
        gaps[0] < 1_000 && 5_000 <= gaps[1] && 5_000 <= gaps[2],
        "{gaps:?}"
    );
}

#[test]
fn asks_that_an_origin_out_of_reach_did_not_answer_do_not_use_up_the_part() {
    let gaps = gaps_ms(&origin_asks(Failure::Gone, 12));
    assert!(gaps.iter().all(|it| *it <= 1_000), "{gaps:?}");
}
