//! Which entries speak for their region.
//!
//! Entries of one region tell each other of themselves; what those of other regions need of it is told once, by
//! a few of them. The speakers are drawn by rendezvous hashing from the entries that are alive, so nobody agrees
//! on them: while views differ there are more of them or fewer, which costs bytes or a pause.

use std::net::Ipv4Addr;

use super::roster;
use crate::rendezvous;

/// Speakers of a region: with two, that take turns, the loss of one halves how often others hear of it.
pub const DELEGATES: usize = 2;
/// Entries of all regions that send to each agent in a region without an entry that is alive.
const STAND_INS: usize = 2;
/// Entries of a region that send to each agent at once what changed; the others do so with their next regular datagram.
const INFORMERS: usize = 4;
/// Key of the draw.
const KEY: u64 = 0x5350_4541_4b53;

/// Whether `own` is_delegate for its region, of which `others` are alive.
pub fn is_delegate(own: Ipv4Addr, others: impl Iterator<Item = Ipv4Addr>) -> bool {
    let others = others.map(|it| roster::hash(&it));
    rendezvous::rank(KEY, roster::hash(&own), others) < DELEGATES
}

/// Whether `own` sends to an agent in a region without an entry that is alive; `others` are alive elsewhere. Each agent
/// has a few, whatever the size of the fleet: every entry that sends to an agent gets its reports.
pub fn is_fallback_sender(agent: u64, own: u64, others: impl Iterator<Item = u64>) -> bool {
    rendezvous::rank(agent, own, others) < STAND_INS
}

/// Whether `own` is one of those entries of an agent's region that send it at once what changed; `others` are alive there.
pub fn sends_changes_at_once(agent: u64, own: u64, others: impl Iterator<Item = u64>) -> bool {
    rendezvous::rank(agent, own, others) < INFORMERS
}

/// Who passes words on to a region, of which `members` are alive, at a turn: its speakers by turns.
pub fn relay_for_turn(members: &[Ipv4Addr], turn: usize) -> Option<Ipv4Addr> {
    let hashes: Vec<u64> = members.iter().map(roster::hash).collect();
    let order = rendezvous::order(KEY, &hashes);
    let delegates = &order[..DELEGATES.min(order.len())];
    let drawn = delegates.get(turn % delegates.len().max(1))?;
    Some(members[*drawn])
}
