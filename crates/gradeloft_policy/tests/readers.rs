//! Tests of the selection of the agents that read a version from the origin.

use gradeloft_policy::version::readers;
use rstest::rstest;

#[rstest]
#[case::few_agents_all_read(12, 48, 12)]
#[case::many_agents_share_the_connections(76, 48, 13)]
#[case::the_same_number_in_a_large_fleet(2_300, 48, 13)]
#[case::at_least_one_reads(76, 1, 1)]
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
fn the_readers_depend_on_the_version_but_not_on_the_order_of_the_agents() {
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
