//! Tests of the selection of the next chunk to fetch and of its upstream.

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

fn requests(fetch: &mut Fetch, now: Time) -> Vec<ChunkRequest> {
    let mut rng = rng();
    std::iter::from_fn(|| fetch.next_request(now, &mut rng)).collect()
}

/// Returns the position of a chunk for which `OWN` ranks right after the owner.
fn chunk_of_rank_one(manifest: &Manifest, members: &[u64]) -> usize {
    let others = || members.iter().copied().filter(|it| *it != OWN);
    let rank = |it: &Chunk| rendezvous::rank(it.digest.prefix_u64(), OWN, others());
    manifest
        .chunks
        .iter()
        .position(|it| rank(it) == 1)
        .expect("a chunk of rank 1")
}

#[test]
fn a_lone_agent_reads_all_chunks_from_store_and_origin_within_its_slots() {
    let manifest = manifest(5);
    let mut fetch = fetch(&manifest, &[OWN]);
    let first = requests(&mut fetch, Time::ZERO);
    assert_eq!(first.len(), TUNING.origin_slots);
    assert!(first.iter().all(|it| it.from == Upstream::Store));
    for request in first {
        fetch.failed(request.idx, request.from, Failure::NotHeld, Time::ZERO);
    }
    while !fetch.is_complete() {
        let requests = requests(&mut fetch, Time::ZERO);
        assert!(!requests.is_empty());
        for request in requests {
            assert_eq!(request.from, Upstream::Origin);
            assert!(fetch.arrived(request.idx, request.from, Time::ZERO));
        }
    }
    assert_eq!(fetch.counts().origin, 5);
}

#[test]
fn each_chunk_has_one_owner_in_any_order_of_members() {
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

/// Guards against an uneven load: by rendezvous hashing alone one of 13 agents owns seven of 48 chunks. The
/// origin has nothing to send to the others while that agent reads its last ones, and the last ten chunks
/// arrive in 0.8 s instead of 0.45 s.
#[test]
fn no_agent_owns_many_more_chunks_than_the_mean() {
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
    assert_eq!(most, Some(5), "the mean is 3.7");
}

/// Guards against readers that request nothing from peers while they wait for the origin: they complete a
/// version 1.7 s after the others.
#[test]
fn an_agent_that_waits_for_the_origin_requests_chunks_from_peers() {
    let manifest = manifest(32);
    let mut fetch = fetch(&manifest, &[OWN, 2]);
    let peer = fetch.add_source(true);
    let other = fetch.add_source(true);
    for key in [peer, other] {
        fetch.add_held(key, (0..32).filter(|it| 16 <= *it));
    }
    let requests = requests(&mut fetch, Time::ZERO);
    let outside = requests
        .iter()
        .filter(|it| it.from == Upstream::Store)
        .count();
    assert_eq!(outside, TUNING.origin_slots);
    assert_eq!(requests.len() - outside, TUNING.peer_slots);
}

#[test]
fn the_next_agent_in_rank_reads_the_remaining_chunks_of_a_nearly_complete_version() {
    let manifest = manifest(16);
    let members = [OWN, 2, 3];
    let late = chunk_of_rank_one(&manifest, &members);
    let mut fetch = fetch(&manifest, &members);
    let peer = fetch.add_source(true);
    let now = Time::ZERO.after_ms(100);
    let outside = |requests: Vec<ChunkRequest>| -> Vec<usize> {
        let outside = requests
            .iter()
            .filter(|it| matches!(it.from, Upstream::Store | Upstream::Origin));
        outside.map(|it| it.idx).collect()
    };
    fetch.add_held(peer, (0..16).filter(|it| *it != late).take(11));
    assert!(
        !outside(requests(&mut fetch, now)).contains(&late),
        "five chunks are missing from the fleet"
    );
    fetch.add_held(peer, (0..16).filter(|it| *it != late));
    // The owner answers that the chunk is pending, and the wait starts from there.
    requests(&mut fetch, now);
    let waited = now.after_ms(149);
    assert!(!outside(requests(&mut fetch, waited)).contains(&late));
    let mut rest = fetch;
    (0..16).filter(|it| *it != late).for_each(|it| {
        rest.arrived(it, Upstream::Source(peer), waited);
    });
    assert_eq!(outside(requests(&mut rest, now.after_ms(150))), [late]);
}

/// Guards against hedging too early. An origin sends a chunk every 45 ms, so three quarters of a version of
/// 48 chunks are in the fleet after 1.6 s, and the rest needs 0.5 s more. With a fixed wait of 0.15 s for
/// each rank, hedged reads make the origin send half of the version twice.
#[test]
fn chunks_that_arrive_at_the_expected_pace_are_left_to_their_owners() {
    let manifest = manifest(48);
    let members = [OWN, 2, 3, 4];
    let mut fetch = fetch(&manifest, &members);
    let peer = fetch.add_source(true);
    let owned: Vec<usize> = (0..48)
        .filter(|it| fetch.owns(manifest.chunks[*it].digest))
        .collect();
    let mut sent = Vec::new();
    let mut read_twice = Vec::new();
    for number in 0..48_usize {
        let now = Time::ZERO.after_ms(45 * (number as u64 + 1));
        if !owned.contains(&number) {
            fetch.add_held(peer, std::iter::once(number));
        } else if let Some(ChunkRequest { idx, from, .. }) = sent.pop() {
            fetch.arrived(idx, from, now);
        }
        for next in requests(&mut fetch, now) {
            match next.from {
                Upstream::Owner(_) => fetch.failed(next.idx, next.from, Failure::Pending, now),
                Upstream::Store | Upstream::Origin if owned.contains(&next.idx) => sent.push(next),
                Upstream::Store | Upstream::Origin => read_twice.push(next.idx),
                Upstream::Source(_) => {
                    fetch.arrived(next.idx, next.from, now);
                }
            }
        }
    }
    assert_eq!(read_twice, Vec::<usize>::new());
}

#[test]
fn a_version_is_half_available_once_peers_hold_half_of_it() {
    let manifest = manifest(16);
    let mut fetch = fetch(&manifest, &[OWN, 2, 3]);
    fetch.mark_seen(0..7);
    assert!(!fetch.half_available());
    let peer = fetch.add_source(true);
    fetch.add_held(peer, 7..8);
    assert!(fetch.half_available());
}

#[test]
fn a_chunk_that_a_far_peer_holds_is_not_read_again() {
    let manifest = manifest(16);
    let members = [OWN, 2, 3];
    let late = chunk_of_rank_one(&manifest, &members);
    let mut fetch = fetch(&manifest, &members);
    fetch.mark_seen(0..16);
    requests(&mut fetch, Time::ZERO);
    let later = requests(&mut fetch, Time::ZERO.after_ms(400));
    assert!(later.iter().all(|it| it.idx != late));
}

#[test]
fn the_rarest_chunk_is_requested_first_and_near_peers_are_preferred() {
    let manifest = manifest(3);
    let mut fetch = fetch(&manifest, &[OWN, 2, 3]);
    let far = fetch.add_source(false);
    let near = fetch.add_source(true);
    fetch.add_held(far, 0..3);
    fetch.add_held(near, 1..3);
    let requests = requests(&mut fetch, Time::ZERO);
    assert_eq!(
        (requests[0].idx, requests[0].from),
        (0, Upstream::Source(far))
    );
    assert_eq!(requests[1].from, Upstream::Source(near));
}

#[test]
fn a_corrupt_chunk_is_not_requested_from_its_source_again() {
    let manifest = manifest(1);
    let mut fetch = fetch(&manifest, &[OWN, 2, 3]);
    let (bad, good) = (fetch.add_source(true), fetch.add_source(false));
    fetch.add_held(bad, 0..1);
    fetch.add_held(good, 0..1);
    let first = requests(&mut fetch, Time::ZERO);
    assert_eq!(first[0].from, Upstream::Source(bad));
    fetch.failed(0, first[0].from, Failure::Corrupt, Time::ZERO);
    let second = requests(&mut fetch, Time::ZERO);
    assert_eq!(second[0].from, Upstream::Source(good));
    assert_eq!(fetch.counts().corrupt, 1);
}

#[test]
fn a_stalled_request_goes_to_another_peer_and_a_late_reply_changes_nothing() {
    let manifest = manifest(1);
    let mut fetch = fetch(&manifest, &[OWN, 2, 3]);
    let (slow, other) = (fetch.add_source(true), fetch.add_source(false));
    fetch.add_held(slow, 0..1);
    fetch.add_held(other, 0..1);
    let first = requests(&mut fetch, Time::ZERO)[0];
    assert!(
        fetch
            .stalled(Time::ZERO.after_ms(TUNING.stall_ms - 1))
            .is_empty()
    );
    let late = Time::ZERO.after_ms(TUNING.stall_ms);
    assert_eq!(fetch.stalled(late), vec![(0, first.from)]);
    fetch.failed(0, first.from, Failure::Stalled, late);
    let second = requests(&mut fetch, late)[0];
    assert_eq!(second.from, Upstream::Source(other));
    fetch.failed(0, first.from, Failure::Gone, late);
    assert!(fetch.arrived(0, second.from, late));
    assert!(!fetch.arrived(0, first.from, late));
    assert!(fetch.is_complete());
}

#[test]
fn chunks_of_a_removed_peer_are_requested_elsewhere() {
    let manifest = manifest(2);
    let members = [OWN, 2];
    let mut fetch = fetch(&manifest, &members);
    let peer = fetch.add_source(true);
    fetch.add_held(peer, 0..2);
    assert_eq!(requests(&mut fetch, Time::ZERO).len(), 2);
    fetch.remove_source(peer, Time::ZERO);
    let again = requests(&mut fetch, Time::ZERO);
    assert!(again.iter().all(|it| it.from == Upstream::Store));
}

/// Sends all requests that are due at `now`, answers those for other chunks and returns the upstream of the
/// one for `idx`.
fn request_for(fetch: &mut Fetch, idx: usize, now: Time) -> Option<Upstream> {
    let mut seen = None;
    loop {
        let requests = requests(fetch, now);
        if requests.is_empty() {
            return seen;
        }
        for request in requests {
            match request.from {
                from if request.idx == idx => seen = Some(from),
                // Other owners keep their chunks, so that the version is not nearly complete.
                from @ Upstream::Owner(_) => fetch.failed(request.idx, from, Failure::Busy, now),
                from => {
                    fetch.arrived(request.idx, from, now);
                }
            }
        }
    }
}

#[test]
fn an_overdue_owner_is_queried_directly_and_replaced_only_if_it_is_gone() {
    let members = [OWN, 2, 3, 4];
    let manifest = manifest(32);
    let idx = chunk_of_rank_one(&manifest, &members);
    let mut fetch = fetch(&manifest, &members);
    let mut now = Time::ZERO;
    assert_eq!(
        request_for(&mut fetch, idx, now),
        None,
        "the owner gets time to read its chunk"
    );

    now = now.after_ms(TUNING.takeover_ms);
    let Some(from @ Upstream::Owner(_)) = request_for(&mut fetch, idx, now) else {
        panic!("the owner was not queried");
    };
    fetch.failed(idx, from, Failure::Pending, now);
    assert_eq!(
        request_for(&mut fetch, idx, now),
        None,
        "an owner that is reading the chunk gets more time"
    );

    now = now.after_ms(TUNING.takeover_ms);
    assert_eq!(request_for(&mut fetch, idx, now), Some(from));
    fetch.failed(idx, from, Failure::Gone, now);
    assert!(fetch.owns(manifest.chunks[idx].digest));
    assert_eq!(request_for(&mut fetch, idx, now), Some(Upstream::Store));
}

#[test]
fn the_timeout_of_a_request_to_the_origin_covers_the_requests_of_all_members() {
    let manifest = manifest(1);
    let mut fetch = fetch(&manifest, &[OWN]);
    let request = requests(&mut fetch, Time::ZERO)[0];
    fetch.set_members((0..10).collect());
    let patience = TUNING.stall_ms + 10 * TUNING.origin_slots as u64 * TUNING.chunk_ms;
    assert!(fetch.stalled(Time::ZERO.after_ms(patience - 1)).is_empty());
    assert_eq!(
        fetch.stalled(Time::ZERO.after_ms(patience)),
        vec![(request.idx, request.from)]
    );
}

#[test]
fn an_owner_whose_chunk_remains_pending_is_replaced() {
    let members = [OWN, 2, 3, 4];
    let manifest = manifest(32);
    let idx = chunk_of_rank_one(&manifest, &members);
    let mut fetch = fetch(&manifest, &members);
    let mut now = Time::ZERO;
    let mut pending_answers = 0;
    loop {
        now = now.after_ms(TUNING.takeover_ms);
        match request_for(&mut fetch, idx, now) {
            Some(from @ Upstream::Owner(_)) => fetch.failed(idx, from, Failure::Pending, now),
            Some(Upstream::Store) => break,
            other => panic!("{other:?}"),
        }
        pending_answers += 1;
        assert!(pending_answers < 40);
    }
    // `max_announcements`, plus the version's transfer time in takeover waits, plus one.
    assert_eq!(
        pending_answers,
        9 + 32 * TUNING.chunk_ms / TUNING.takeover_ms
    );
}

#[test]
fn a_store_and_an_origin_that_fail_are_retried_after_a_backoff() {
    let manifest = manifest(1);
    let mut fetch = fetch(&manifest, &[OWN]);
    let first = requests(&mut fetch, Time::ZERO)[0];
    fetch.failed(0, first.from, Failure::Limited(2_000), Time::ZERO);
    let second = requests(&mut fetch, Time::ZERO)[0];
    assert_eq!(second.from, Upstream::Origin);
    fetch.failed(0, second.from, Failure::Gone, Time::ZERO);
    assert!(requests(&mut fetch, Time::ZERO.after_ms(199)).is_empty());
    let third = requests(&mut fetch, Time::ZERO.after_ms(200))[0];
    assert_eq!(third.from, Upstream::Origin);
    fetch.failed(0, third.from, Failure::Gone, Time::ZERO.after_ms(200));
    assert!(
        requests(&mut fetch, Time::ZERO.after_ms(599)).is_empty(),
        "the backoff doubles"
    );
}

#[test]
fn chunks_that_peers_hold_are_fetched_while_the_origin_is_down() {
    let manifest = manifest(2);
    let mut fetch = fetch(&manifest, &[OWN]);
    for request in requests(&mut fetch, Time::ZERO) {
        fetch.failed(request.idx, request.from, Failure::Gone, Time::ZERO);
    }
    for request in requests(&mut fetch, Time::ZERO) {
        fetch.failed(request.idx, request.from, Failure::Gone, Time::ZERO);
    }
    let peer = fetch.add_source(true);
    fetch.add_held(peer, 0..2);
    let requests = requests(&mut fetch, Time::ZERO);
    assert_eq!(requests.len(), 2);
    assert!(requests.iter().all(|it| it.from == Upstream::Source(peer)));
}

#[test]
fn chunks_that_are_already_held_are_not_fetched_again() {
    let manifest = manifest(4);
    let held = manifest.chunks[1].digest;
    let fetch = Fetch::new(OWN, &manifest, |it| it == held, TUNING, Time::ZERO);
    assert_eq!(fetch.missing(), 3);
}

#[test]
fn a_peer_with_too_many_failures_is_not_used() {
    let manifest = manifest(1);
    let mut fetch = fetch(&manifest, &[OWN, 2]);
    let bad = fetch.add_source(true);
    let mut now = Time::ZERO;
    for _ in 0..4 {
        fetch.add_held(bad, 0..1);
        let request = requests(&mut fetch, now)[0];
        assert_eq!(request.from, Upstream::Source(bad));
        fetch.failed(0, request.from, Failure::Stalled, now);
        now = now.after_ms(TUNING.stall_ms);
    }
    fetch.add_held(bad, 0..1);
    assert!(
        requests(&mut fetch, now)
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

/// Guards against slow distribution in a small region: if 25 agents follow eight each, a chunk reaches the
/// last one three hops after the first.
#[test]
fn an_agent_follows_all_members_of_a_small_region() {
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

/// Returns the times of a lone agent's first `count` requests to the origin, if each fails with `failure` and
/// the store is unavailable.
fn origin_requests(failure: Failure, count: usize) -> Vec<Time> {
    let manifest = manifest(1);
    let tuning = Tuning {
        origin_copies: 1.0,
        ..TUNING
    };
    let mut fetch = Fetch::new(OWN, &manifest, |_| false, tuning, Time::ZERO);
    fetch.set_members(vec![OWN]);
    let mut now = Time::ZERO;
    let mut requested_at = Vec::new();
    while requested_at.len() < count {
        for request in requests(&mut fetch, now) {
            if request.from == Upstream::Origin {
                requested_at.push(now);
                fetch.failed(request.idx, request.from, failure, now);
            } else {
                fetch.failed(request.idx, request.from, Failure::Limited(1_000_000), now);
            }
        }
        now = now.after_ms(100);
    }
    requested_at
}

fn gaps_ms(times: &[Time]) -> Vec<u128> {
    let pairs = times.windows(2);
    pairs.map(|it| it[1].since(it[0]).as_millis()).collect()
}

#[test]
fn an_agent_spaces_its_requests_to_the_origin_beyond_its_share_of_the_copies() {
    let gaps = gaps_ms(&origin_requests(Failure::Corrupt, 4));
    assert!(
        gaps[0] < 1_000 && 5_000 <= gaps[1] && 5_000 <= gaps[2],
        "{gaps:?}"
    );
}

#[test]
fn unanswered_requests_to_the_origin_do_not_count_towards_the_share() {
    let gaps = gaps_ms(&origin_requests(Failure::Gone, 12));
    assert!(gaps.iter().all(|it| *it <= 1_000), "{gaps:?}");
}
