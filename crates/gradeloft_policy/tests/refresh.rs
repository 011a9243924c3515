//! When agents ask entries for what the operator wrote.

use std::collections::BTreeMap;

use gradeloft_policy::{clock::Time, process::refresh::Refresh};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const AGENTS: u64 = 100;
const ENTRIES: u64 = 6;
/// Pause between an entry's datagrams to an agent, in milliseconds.
const PAUSE_MS: u64 = 500;

/// How many agents ask each entry, of which the first says at `from_ms` that there is something new and
/// the others within the next pause.
fn asked(refreshes: &mut [(Refresh, ChaCha8Rng)], from_ms: u64) -> BTreeMap<u64, usize> {
    let mut asked: BTreeMap<u64, usize> = BTreeMap::new();
    for (refresh, rng) in refreshes {
        let mut spoken = (0..).map(|turn| {
            let pause_ms = turn * PAUSE_MS / ENTRIES;
            (turn % ENTRIES, Time::ZERO.after_ms(from_ms + pause_ms))
        });
        let (entry, at) = spoken.find(|(_, at)| refresh.due(*at, rng)).unwrap();
        refresh.asked(at);
        *asked.entry(entry).or_default() += 1;
    }
    asked
}

#[test]
fn the_agents_of_a_zone_do_not_all_ask_the_entry_that_speaks_first() {
    let agent = |seed| (Refresh::default(), ChaCha8Rng::seed_from_u64(seed));
    let mut refreshes: Vec<_> = (0..AGENTS).map(agent).collect();
    for from_ms in [60_000, 120_000] {
        let asked = asked(&mut refreshes, from_ms);
        assert_eq!(asked.len() as u64, ENTRIES);
        let most = *asked.values().max().unwrap();
        assert!(most <= AGENTS as usize / 3, "{asked:?}");
    }
}

#[test]
fn an_agent_asks_within_half_a_second_and_then_pauses() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut refresh = Refresh::default();
    let heard = Time::ZERO.after_ms(60_000);
    refresh.due(heard, &mut rng);
    let at = heard.after_ms(500);
    assert!(refresh.due(at, &mut rng));
    refresh.asked(at);
    assert!(!refresh.due(at.after_ms(1_999), &mut rng));
    assert!(refresh.due(at.after_ms(2_500), &mut rng));
}
