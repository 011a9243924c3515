//! Tests of agents that are paused between the verification of the staged chunks and the load.

use rstest::rstest;

use crate::support::{CHUNKS, Harness, Pause, PausePoint, run};

/// Guards against a load that is ordered long after the chunks were read back: a chunk that became
/// corrupt in the meantime would be loaded.
#[rstest]
#[case::after_the_first_chunk(0)]
#[case::between_two_chunks(CHUNKS / 2)]
#[case::after_the_last_chunk(CHUNKS - 1)]
fn chunk_that_becomes_corrupt_during_a_pause_before_the_order_is_not_loaded(#[case] position: u32) {
    run(async {
        let harness = Harness::start(1, |_, _| {}).await;
        harness.wait_for_version(1).await;
        let engine = &harness.engines[0];
        engine.pause.set(Some(Pause {
            after: PausePoint::ChunkRead(position),
            corrupt: position,
            ms: 4_000,
        }));
        harness.name_version(2);
        harness.wait_for_version(2).await;
        assert!(engine.pause.get().is_none(), "the agent was not paused");
    });
}
