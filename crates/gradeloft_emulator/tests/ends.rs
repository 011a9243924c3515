//! Responses that end with their connections, beside ends of replicas at any moment, in fleets of several
//! sizes.

use gradeloft_emulator::ends::{self, Evidence, Naming, Outcome, Run};
use rstest::rstest;

/// Number of seeds for each size.
const SEEDS: u64 = 50;

fn simulate(entries: usize, naming: Naming, evidence: Evidence, seed: u64) -> Outcome {
    ends::simulate(Run {
        entries,
        replicas: entries.div_ceil(2),
        naming,
        evidence,
        seed,
    })
}

/// Guards against cut responses that entries pass on as whole, and whole ones that they take for cut.
#[rstest]
fn each_end_is_taken_for_what_it_is(
    #[values(2, 7, 110, 410)] entries: usize,
    #[values(Naming::Ids, Naming::Times)] naming: Naming,
) {
    for seed in 0..SEEDS {
        let outcome = simulate(entries, naming, Evidence::Answer, seed);
        assert_eq!(outcome.cut_as_whole, 0, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.whole_as_cut, 0, "seed {seed}: {outcome:?}");
    }
}

/// Guards against an id that confirms a later start, while the time of the known one is not known yet.
#[test]
fn no_cut_response_is_taken_for_whole_before_start_times_are_reported() {
    for (entries, seed) in [2, 7, 110, 410]
        .into_iter()
        .flat_map(|it| (0..SEEDS).map(move |seed| (it, seed)))
    {
        let outcome = simulate(entries, Naming::LateTimes, Evidence::Answer, seed);
        let context = format!("{entries} entries, seed {seed}: {outcome:?}");
        assert_eq!(outcome.cut_as_whole, 0, "{context}");
    }
}

/// Shows that the ends of [`each_end_is_taken_for_what_it_is`] include those that look like whole
/// responses, and whole responses whose replicas can't answer.
#[rstest]
fn a_close_alone_does_not_tell(#[values(2, 7, 110, 410)] entries: usize) {
    let run = |seed| simulate(entries, Naming::Times, Evidence::Close, seed);
    let wrong: usize = (0..SEEDS).map(|it| run(it).cut_as_whole).sum();
    assert!(0 < wrong);
    let run = |seed| simulate(entries, Naming::Times, Evidence::Answer, seed);
    let outcomes: Vec<Outcome> = (0..SEEDS).map(run).collect();
    for count in [
        outcomes.iter().map(|it| it.cut).sum::<usize>(),
        outcomes.iter().map(|it| it.whole).sum(),
        outcomes.iter().map(|it| it.unanswered).sum(),
    ] {
        assert!(0 < count, "{outcomes:?}");
    }
}
