//! Selection of the peers whose holdings of a version an agent follows.

use super::fetch::Scheme;
use crate::rendezvous;

/// Number of partners in the agent's own availability zone, if it has more than [`FOLLOW_ALL_NEAR`]
/// members.
const MAX_NEAR: usize = 8;
/// Number of members in the own availability zone up to which all of them are followed. If 25
/// agents follow eight others each, a chunk reaches the last agent three hops after the first, and
/// the links of the agents are used to 60 %.
const FOLLOW_ALL_NEAR: usize = 32;
/// Number of partners in other availability zones.
const MAX_FAR: usize = 6;
/// Number of children of each agent in a tree.
const FAN_OUT: usize = 2;

/// Another agent that fetches the same version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Hash of the agent's name.
    pub node: u64,
    /// Address for peers.
    pub address: String,
    /// Whether the agent is in the own availability zone.
    pub near: bool,
}

/// Returns the members whose holdings to follow.
///
/// The number of selected members is bounded, so that messages remain bounded in a large fleet. The
/// members are selected by rendezvous hashing, so that the partners of all agents connect the
/// fleet, and a change of membership replaces few of them.
pub fn choose(scheme: Scheme, own: u64, version: u64, members: &[Member]) -> Vec<Member> {
    match scheme {
        Scheme::Origin => Vec::new(),
        Scheme::Owners | Scheme::Random => ranked_partners(own, version, members),
        Scheme::Tree => parent(own, members).into_iter().collect(),
    }
}

/// Returns the position of an agent in the tree of all agents; 0 is the root.
pub fn tree_position(own: u64, nodes: &[u64]) -> usize {
    nodes.iter().filter(|it| **it < own).count()
}

fn ranked_partners(own: u64, version: u64, members: &[Member]) -> Vec<Member> {
    let key = rendezvous::score(version, own);
    let mut partners = Vec::with_capacity(MAX_NEAR + MAX_FAR);
    for (near, count) in [(true, MAX_NEAR), (false, MAX_FAR)] {
        let group: Vec<&Member> = members.iter().filter(|it| it.near == near).collect();
        let count = if near && group.len() <= FOLLOW_ALL_NEAR {
            group.len()
        } else {
            count
        };
        let nodes: Vec<u64> = group.iter().map(|it| it.node).collect();
        let ranked = rendezvous::order(key, &nodes).into_iter().take(count);
        partners.extend(ranked.map(|idx| group[idx].clone()));
    }
    partners
}

fn parent(own: u64, members: &[Member]) -> Option<Member> {
    let mut nodes: Vec<u64> = members.iter().map(|it| it.node).chain([own]).collect();
    nodes.sort_unstable();
    let position = tree_position(own, &nodes);
    let parent = nodes[position.checked_sub(1)? / FAN_OUT];
    members.iter().find(|it| it.node == parent).cloned()
}
