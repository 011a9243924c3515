//! Tests of the selection of the bundle in force.

use gradeloft_policy::version::{
    bundle::{self, Key, Publisher},
    chain::{Chain, Refusal, Verdict, checkpoint_due},
};
use gradeloft_wire::{
    border::bundle::{self as border, Bundle},
    id::Digest,
    record::SignedBundle,
};
use proptest::prelude::*;

fn key(seed: u8) -> Key {
    Key::new([seed; 32])
}

fn publisher(name: &str, seed: u8) -> Publisher {
    Publisher::new(name, &key(seed).public()).unwrap()
}

fn content(number: u64, parent: Option<Digest>, note: &str) -> Bundle {
    let entry = |name: &str, seed| border::Publisher {
        name: name.to_owned(),
        key: key(seed).public(),
    };
    Bundle {
        format: 1,
        number,
        parent: parent.map(|it| it.to_string()),
        note: Some(note.to_owned()),
        publishers: vec![entry("ana", 1), entry("ben", 2)],
        classes: vec!["normal".to_owned()],
        teams: Vec::new(),
        models: Vec::new(),
        services: Vec::new(),
        rollout: None,
    }
}

fn signed(number: u64, parent: Option<&SignedBundle>, note: &str) -> SignedBundle {
    key(1).sign(
        &content(number, parent.map(SignedBundle::digest), note),
        "ana",
    )
}

fn chain() -> Chain {
    Chain::new(vec![publisher("ana", 1), publisher("ben", 2)])
}

#[test]
fn the_first_of_two_concurrent_bundles_wins_and_the_refusal_names_its_signer() {
    let first = signed(1, None, "first");
    let winner = signed(2, Some(&first), "winner");
    let loser = key(2).sign(&content(2, Some(first.digest()), "loser"), "ben");
    let mut chain = chain();
    assert_eq!(chain.fold(&first), Verdict::Accepted);
    assert_eq!(chain.fold(&winner), Verdict::Accepted);
    let superseded = Refusal::Outrun {
        number: 2,
        signer: "ana".to_owned(),
    };
    assert_eq!(chain.fold(&loser), Verdict::Refused(superseded));
    assert_eq!(chain.head().unwrap().digest, winner.digest());
}

#[test]
fn duplicate_and_older_records_change_nothing() {
    let first = signed(1, None, "first");
    let second = signed(2, Some(&first), "second");
    let mut chain = chain();
    chain.fold(&first);
    chain.fold(&second);
    assert_eq!(chain.fold(&second), Verdict::Known);
    assert!(matches!(
        chain.fold(&first),
        Verdict::Refused(Refusal::Outrun { .. })
    ));
    assert_eq!(chain.number(), 2);
}

#[test]
fn forged_and_tampered_bundles_are_refused() {
    let mut tampered = signed(1, None, "first");
    let last = tampered.payload.len() - 2;
    tampered.payload[last] ^= 1;
    let stranger = key(9).sign(&content(1, None, "stranger"), "ana");
    let borrowed_name = key(1).sign(&content(1, None, "other name"), "ben");
    let mut chain = chain();
    for forged in [tampered, stranger, borrowed_name] {
        assert_eq!(chain.fold(&forged), Verdict::Refused(Refusal::Untrusted));
        assert_eq!(chain.adopt(&forged), Verdict::Refused(Refusal::Untrusted));
    }
    assert_eq!(chain.number(), 0);
}

#[test]
fn an_invalid_or_non_canonical_signed_bundle_is_refused() {
    let mut faulty = content(1, None, "faulty");
    faulty.publishers.push(faulty.publishers[0].clone());
    let mut chain = chain();
    assert_eq!(
        chain.fold(&key(1).sign(&faulty, "ana")),
        Verdict::Refused(Refusal::Faulty)
    );

    let canonical = bundle::canonical(&content(1, None, "spaced"));
    let spaced = [b" ".as_slice(), &canonical].concat();
    let key = ed25519_dalek::SigningKey::from_bytes(&[1; 32]);
    let signature = ed25519_dalek::Signer::sign(&key, &spaced).to_bytes();
    let spaced = SignedBundle {
        payload: spaced,
        signer: "ana".to_owned(),
        signature,
    };
    assert_eq!(chain.fold(&spaced), Verdict::Refused(Refusal::Faulty));
}

#[test]
fn each_bundle_sets_the_trusted_publishers_of_its_successor() {
    let mut rotated = content(1, None, "only ben from now on");
    rotated.publishers.remove(0);
    let first = key(1).sign(&rotated, "ana");
    let by_ana = signed(2, Some(&first), "too late");
    let by_ben = key(2).sign(&content(2, Some(first.digest()), "ben"), "ben");
    let mut chain = chain();
    assert_eq!(chain.fold(&first), Verdict::Accepted);
    assert_eq!(chain.fold(&by_ana), Verdict::Refused(Refusal::Untrusted));
    assert_eq!(chain.fold(&by_ben), Verdict::Accepted);
}

#[test]
fn a_bundle_without_its_parent_is_refused_from_the_log_and_adopted_from_a_peer() {
    let first = signed(1, None, "first");
    let second = signed(2, Some(&first), "second");
    let mut chain = chain();
    assert_eq!(
        chain.fold(&second),
        Verdict::Refused(Refusal::ParentUnknown)
    );
    assert_eq!(chain.adopt(&second), Verdict::Accepted);
    assert!(matches!(
        chain.adopt(&first),
        Verdict::Refused(Refusal::Outrun { .. })
    ));
}

#[test]
fn checkpoints_are_spread_over_the_last_tenth_of_the_interval() {
    assert!(!checkpoint_due(0, 899, 1_000, 0.0));
    assert!(checkpoint_due(0, 900, 1_000, 0.0));
    assert!(!checkpoint_due(0, 999, 1_000, 1.0));
    assert!(checkpoint_due(0, 1_000, 1_000, 1.0));
}

proptest! {
    /// The number of a node's head never decreases, whatever bundles it adopts from peers, and after the whole
    /// log it has the same head as a node that adopted none.
    #[test]
    fn nodes_converge_and_their_number_never_decreases(
        order in prop::collection::vec((0usize..12, any::<bool>()), 0..60),
    ) {
        let mut log: Vec<SignedBundle> = Vec::new();
        let mut accepted: Vec<SignedBundle> = Vec::new();
        for number in 1..=6 {
            let winner = signed(number, accepted.last(), "winner");
            let loser = signed(number, accepted.last(), "loser");
            log.extend([winner.clone(), loser]);
            accepted.push(winner);
        }
        let mut isolated = chain();
        for record in &log {
            isolated.fold(record);
        }
        let mut node = chain();
        let mut next = 0;
        for (pick, from_peer) in order {
            let before = node.number();
            if from_peer {
                node.adopt(&accepted[pick % accepted.len()]);
            } else if next < log.len() {
                node.fold(&log[next]);
                next += 1;
            }
            prop_assert!(before <= node.number());
        }
        for record in &log[next..] {
            node.fold(record);
        }
        prop_assert_eq!(node.head().unwrap().digest, isolated.head().unwrap().digest);
    }
}
