//! Which agents an agent asks what they hold of a version.

use super::fetch::Scheme;
use crate::rendezvous;

/// Partners in the own availability zone.
const NEAR: usize = 8;
/// Members in the own availability zone up to which all of them are followed. Of 25 agents that followed eight each,
/// a piece came to the last three steps after the first, and their links were used to three fifths.
const ALL_NEAR: usize = 32;
/// Partners elsewhere.
const FAR: usize = 6;
/// Children of each agent in a tree.
const FAN_OUT: usize = 2;

/// Another agent that fetches the same version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Hash of its name.
    pub node: u64,
    /// Peer address.
    pub address: String,
    /// Whether it is in the own availability zone.
    pub near: bool,
}

/// The members to follow: few, so that messages stay bounded in a large fleet, and drawn by
/// rendezvous, so that all partners together connect the fleet and a change of members moves few
/// of them.
pub fn choose(scheme: Scheme, own: u64, version: u64, members: &[Member]) -> Vec<Member> {
    match scheme {
        Scheme::Origin => Vec::new(),
        Scheme::Owners | Scheme::Random => drawn(own, version, members),
        Scheme::Tree => parent(own, members).into_iter().collect(),
    }
}

/// Position of an agent in the tree of all agents; 0 is the root.
pub fn tree_position(own: u64, nodes: &[u64]) -> usize {
    nodes.iter().filter(|it| **it < own).count()
}

fn drawn(own: u64, version: u64, members: &[Member]) -> Vec<Member> {
    let key = rendezvous::score(version, own);
    let mut drawn = Vec::with_capacity(NEAR + FAR);
    for (near, count) in [(true, NEAR), (false, FAR)] {
        let group: Vec<&Member> = members.iter().filter(|it| it.near == near).collect();
        let count = if near && group.len() <= ALL_NEAR {
            group.len()
        } else {
            count
        };
        let nodes: Vec<u64> = group.iter().map(|it| it.node).collect();
        let ranked = rendezvous::order(key, &nodes).into_iter().take(count);
        drawn.extend(ranked.map(|idx| group[idx].clone()));
    }
    drawn
}

fn parent(own: u64, members: &[Member]) -> Option<Member> {
    let mut nodes: Vec<u64> = members.iter().map(|it| it.node).chain([own]).collect();
    nodes.sort_unstable();
    let position = tree_position(own, &nodes);
    let parent = nodes[position.checked_sub(1)? / FAN_OUT];
    members.iter().find(|it| it.node == parent).cloned()
}
