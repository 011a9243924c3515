//! Which agents read a version from the origin.

use gradeloft_policy::version::readers;
use rstest::rstest;

#[rstest]
#[case::few_agents_all_read(12, 48, 12)]
#[case::many_agents_share_the_connections(76, 48, 13)]
#[case::as_many_at_any_size(2_300, 48, 13)]
#[case::somebody_reads(76, 1, 1)]
fn readers_fit_the_origins_connections(
    #[case] nodes: u64,
    #[case] connections: u32,
    #[case] readers: usize,
) {
    let nodes: Vec<u64> = (1..=nodes).collect();
    let chosen = readers::choose(7, &nodes, connections, 3);
    assert_eq!(chosen.len(), readers);
    assert!(chosen.iter().all(|it| nodes.contains(it)));
}

#[test]
fn agents_that_see_others_in_another_order_choose_the_same_and_versions_differ() {
    let nodes: Vec<u64> = (1..=76).collect();
    let reversed: Vec<u64> = nodes.iter().rev().copied().collect();
    assert_eq!(
        readers::choose(7, &nodes, 48, 3),
        readers::choose(7, &reversed, 48, 3)
    );
    assert_ne!(
        readers::choose(7, &nodes, 48, 3),
        readers::choose(8, &nodes, 48, 3)
    );
}
