//! Manifests that lack digests, and listings of staged chunks that fail.

use std::{cell::Cell, rc::Rc};

use gradeloft_daemon::{
    scope::Scope,
    transport::server::{Handler, Limits, Outgoing, SMALL_BUFFERS, Server},
};
use gradeloft_http::intake::Refusal;
use gradeloft_standin::tables::Tables;
use gradeloft_wire::frame::{Call, Reply, Table};

use crate::support::{
    CHUNKS, FakeEngine, FakeOrigin, Harness, address, chunk_content, digests, run, start_agent,
};

/// Guards against a load without the chunks whose digests are missing.
#[test]
fn a_manifest_of_the_origin_that_lacks_a_digest_is_not_loaded_as_whole() {
    run(async {
        let prepare = |origin: &FakeOrigin, _: &[Rc<FakeEngine>]| origin.short_manifests.set(3);
        let harness = Harness::start(1, prepare).await;
        harness.wait_for_version(1).await;
        assert_eq!(harness.origin.short_manifests.get(), 0);
    });
}

/// Peer whose manifests lack their last digest.
struct ShortPeer {
    scope: Rc<Scope>,
    sent: Rc<Cell<u32>>,
}

impl Handler for ShortPeer {
    fn call(&self, call: Call, outgoing: Outgoing) {
        if let Call::Pieces { version, .. } = call {
            let sent = Rc::clone(&self.sent);
            self.scope.spawn(async move {
                let reply = Reply::Pieces(digests(version, CHUNKS - 1));
                outgoing.finish(&reply).await;
                sent.set(sent.get() + 1);
            });
        }
    }

    fn malformed(&self) {}

    fn refused(&self, _: Refusal) {}
}

#[test]
fn a_manifest_of_a_peer_that_lacks_a_digest_is_not_loaded_as_whole() {
    run(async {
        let scope = Rc::new(Scope::default());
        let sent = Rc::new(Cell::new(0));
        let peer = ShortPeer {
            scope: Rc::clone(&scope),
            sent: Rc::clone(&sent),
        };
        let limits = Limits {
            frame_bytes: 1 << 20,
            streams: 8,
            connections: 8,
            shared_bytes: 1 << 20,
            buffers: SMALL_BUFFERS,
        };
        let peer_address = format!("{}:7700", address(2));
        let started = Server::start(&peer_address, limits, scope, Rc::new(peer)).await;
        started.expect("the peer starts");
        let tables = Rc::new(Tables::default());
        let origin = Rc::new(FakeOrigin::default());
        origin.withheld_manifest.set(Some(1));
        let engine = Rc::new(FakeEngine::default());
        tables.write(Table::Replicas, "1", Some("-"));
        tables.write(Table::Replicas, "2", Some("-"));
        tables.write(Table::Operator, "config", Some("-"));
        let agent = start_agent(1, &tables, &origin, &engine).await;
        let harness = Harness {
            tables,
            origin,
            engines: vec![engine],
            agents: vec![agent],
        };
        harness.wait_for_all(|_| 0 < sent.get()).await;
        harness.origin.withheld_manifest.set(None);
        harness.wait_for_version(1).await;
    });
}

/// Starts an agent whose replica serves version 1 with all chunks staged, and waits until the agent
/// knows of the chunks.
async fn recover(prepare: impl Fn(&FakeEngine)) -> Harness {
    let harness = Harness::start(1, |_, engines| {
        for idx in 0..CHUNKS {
            engines[0].put(idx, chunk_content(1, idx));
        }
        engines[0].version.set(Some(1));
        prepare(&engines[0]);
    })
    .await;
    harness
        .wait_for_all(|_| {
            let chunks = harness.agents[0].agent().staged_chunks.borrow();
            chunks.staged.len() == CHUNKS as usize && chunks.staged.iter().all(|it| *it)
        })
        .await;
    assert_eq!(harness.origin.chunk_requests.get(), 0);
    harness
}

/// Guards against an agent that uploads nothing until the next version, as one listing failed.
#[test]
fn a_failed_listing_is_not_taken_for_an_empty_one() {
    run(async {
        let harness = recover(|engine| engine.failing_listings.set(1)).await;
        assert_eq!(harness.engines[0].failing_listings.get(), 0);
    });
}

/// Guards against an agent that does not upload a chunk until the next version, as the engine did not
/// respond while the chunk was read back.
#[test]
fn a_chunk_that_was_not_read_back_is_not_taken_for_missing() {
    run(async {
        let harness = recover(|engine| engine.failing_reads.set(3)).await;
        assert_eq!(harness.engines[0].failing_reads.get(), 0);
    });
}

/// Guards against a version that is fetched again as a whole because one listing failed.
#[test]
fn staged_chunks_are_not_fetched_again_after_a_failed_listing() {
    run(async {
        let prepare = |_: &FakeOrigin, engines: &[Rc<FakeEngine>]| {
            for idx in 0..CHUNKS {
                engines[0].put(idx, chunk_content(1, idx));
            }
            engines[0].failing_listings.set(1);
        };
        let harness = Harness::start(1, prepare).await;
        harness.wait_for_version(1).await;
        assert_eq!(harness.engines[0].failing_listings.get(), 0);
        assert_eq!(harness.origin.chunk_requests.get(), 0);
    });
}
