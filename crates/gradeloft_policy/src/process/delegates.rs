//! Selects the entries that send messages to other regions on behalf of their own region.
//!
//! The entries of a region exchange their state directly; a few delegates send the part that other
//! regions need, on behalf of all entries. Delegates are selected by rendezvous hashing from the
//! live entries, without coordination. While the entries' views of the fleet differ, a region has
//! more or fewer delegates, which costs additional bytes or interrupts the messages.

use std::net::Ipv4Addr;

use super::roster;
use crate::rendezvous;

/// Number of delegates of a region, which take turns. With two, the loss of one halves the rate of
/// their messages.
pub const DELEGATES: usize = 2;
/// Entries over all regions that send to each agent in a region without a live entry.
const FALLBACK_SENDERS: usize = 2;
/// Entries of a region that send changes to each agent at once; the others include them in their
/// next regular datagram.
const IMMEDIATE_SENDERS: usize = 4;
/// Rendezvous key of the selection.
const KEY: u64 = 0x5350_4541_4b53;

/// Returns whether `own` is a delegate of its region, where `others` are the other live entries.
pub fn is_delegate(own: Ipv4Addr, others: impl Iterator<Item = Ipv4Addr>) -> bool {
    let others = others.map(|it| roster::hash(&it));
    rendezvous::rank(KEY, roster::hash(&own), others) < DELEGATES
}

/// Returns whether `own` sends to an agent in a region without a live entry, where `others` are the
/// live entries of other regions. An agent has only a few senders in a fleet of any size,
/// since it reports to each entry that sends to it.
pub fn is_fallback_sender(agent: u64, own: u64, others: impl Iterator<Item = u64>) -> bool {
    rendezvous::rank(agent, own, others) < FALLBACK_SENDERS
}

/// Returns whether the entry `own` sends changes to an agent at once. `others` are the other live
/// entries of the agent's region.
pub fn sends_changes_at_once(agent: u64, own: u64, others: impl Iterator<Item = u64>) -> bool {
    rendezvous::rank(agent, own, others) < IMMEDIATE_SENDERS
}

/// Returns the entry that relays messages to a region with the live entries `members`. The
/// delegates of the region alternate by `turn`.
pub fn relay_for_turn(members: &[Ipv4Addr], turn: usize) -> Option<Ipv4Addr> {
    let hashes: Vec<u64> = members.iter().map(roster::hash).collect();
    let order = rendezvous::order(KEY, &hashes);
    let delegates = &order[..DELEGATES.min(order.len())];
    let drawn = delegates.get(turn % delegates.len().max(1))?;
    Some(members[*drawn])
}
