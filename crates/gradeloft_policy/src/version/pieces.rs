//! Whom to ask for a piece of weights, in which order.
//!
//! For each piece all agents are ranked by rendezvous hashing, once over the fleet and once within
//! each region. The first of the fleet reads the origin; the first of each region takes the piece
//! from it, and everyone else from the first of their own region. So a piece leaves the origin
//! once, enters each region once, and the work is spread over all agents. Whoever does not answer
//! in time is passed over by rank; the origin is the last resort of everybody.

use std::net::SocketAddr;

use crate::rendezvous;

/// Sources of the own region that are tried before those of the fleet.
const REGIONAL: usize = 2;
/// Sources of the fleet that are tried before the origin.
const GLOBAL: usize = 2;

/// An agent that can hold pieces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Hash of its instance's name.
    pub node: u64,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
    /// Whether it holds the whole version already.
    pub holds: bool,
}

/// Where to ask for a piece.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The origin of weights.
    Origin,
    /// Another agent.
    Peer(SocketAddr),
}

/// Whom the agent `own` of `region` asks for the piece that hashes to `piece`, best first. The last
/// one is always the origin.
pub fn sources(piece: u64, own: u64, region: &str, members: &[Member]) -> Vec<Source> {
    let mut ranked: Vec<&Member> = members.iter().collect();
    ranked.sort_by_cached_key(|it| {
        let score = rendezvous::score(piece, it.node);
        (!it.holds, std::cmp::Reverse((score, it.node)))
    });
    let regional = ranked.iter().filter(|it| it.region == region);
    let mut sources = before(own, regional.copied(), REGIONAL);
    sources.extend(before(own, ranked.iter().copied(), GLOBAL));
    sources.dedup();
    sources.push(Source::Origin);
    sources
}

/// The first `most` members that come before `own`.
fn before<'a>(own: u64, ranked: impl Iterator<Item = &'a Member>, most: usize) -> Vec<Source> {
    ranked
        .take_while(|it| it.node != own)
        .take(most)
        .map(|it| Source::Peer(it.address))
        .collect()
}
