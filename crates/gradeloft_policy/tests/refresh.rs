//! Tests of when agents request the operator's records from entries.

use std::collections::BTreeMap;

use gradeloft_policy::{clock::Time, process::refresh::Refresh};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const AGENTS: u64 = 100;
const ENTRIES: u64 = 6;
/// Interval between an entry's datagrams to an agent, in milliseconds.
const INTERVAL_MS: u64 = 500;

/// Returns how many agents send a request to each entry. The first entry announces a new record at `from_ms`, the
/// others within the next interval.
fn requests_by_entry(
    refreshes: &mut [(Refresh, ChaCha8Rng)],
    from_ms: u64,
) -> BTreeMap<u64, usize> {
    let mut requests: BTreeMap<u64, usize> = BTreeMap::new();
    for (refresh, rng) in refreshes {
        let mut announcements = (0..).map(|turn| {
            let delay_ms = turn * INTERVAL_MS / ENTRIES;
            (turn % ENTRIES, Time::ZERO.after_ms(from_ms + delay_ms))
        });
        let (entry, at) = announcements.find(|(_, at)| refresh.due(*at, rng)).unwrap();
        refresh.record_read(at);
        *requests.entry(entry).or_default() += 1;
    }
    requests
}

#[test]
fn agents_spread_their_requests_over_the_entries_of_a_zone() {
    let agent = |seed| (Refresh::default(), ChaCha8Rng::seed_from_u64(seed));
    let mut refreshes: Vec<_> = (0..AGENTS).map(agent).collect();
    for from_ms in [60_000, 120_000] {
        let requests = requests_by_entry(&mut refreshes, from_ms);
        assert_eq!(requests.len() as u64, ENTRIES);
        let most = *requests.values().max().unwrap();
        assert!(most <= AGENTS as usize / 3, "{requests:?}");
    }
}

#[test]
fn an_agent_sends_a_request_within_half_a_second_and_then_pauses() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut refresh = Refresh::default();
    let announced_at = Time::ZERO.after_ms(60_000);
    refresh.due(announced_at, &mut rng);
    let at = announced_at.after_ms(500);
    assert!(refresh.due(at, &mut rng));
    refresh.record_read(at);
    assert!(!refresh.due(at.after_ms(1_999), &mut rng));
    assert!(refresh.due(at.after_ms(2_500), &mut rng));
}
