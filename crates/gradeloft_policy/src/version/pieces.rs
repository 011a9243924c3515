//! Whom to ask for a piece of weights, and when to turn to the origin.
//!
//! For each piece all agents are ranked by rendezvous hashing, once over the fleet and once within
//! each region. The first of the fleet reads the origin; the first of each region takes the piece
//! from it, and everyone else from the first ones of their own region. So a piece leaves the origin
//! once, enters each region once, and the work is spread over all agents. Those of a lower rank turn
//! to the origin themselves only after a time that grows with the rank, so the loss of some agents
//! costs little time, and an origin that comes back is not stormed.

use std::net::SocketAddr;

use crate::{clock::Time, rendezvous};

/// Peers of the own region that are asked.
const REGIONAL: usize = 2;
/// Peers of the fleet that are asked.
const GLOBAL: usize = 2;
/// Time that each better-ranked agent is given to read the origin, in milliseconds: most of the time
/// in which the origin sends one copy to the whole fleet.
const TAKEOVER_MS: u64 = 900;
/// Time that the first ones of the own region are given, in milliseconds: most of the time in which
/// a version reaches the whole fleet when nothing fails.
const REGION_MS: u64 = 2_500;
/// Ranks that are told apart; all lower ones wait as long.
const MAX_RANK: u64 = 8;
/// Pause after a failure of the origin, for the first in rank, in milliseconds.
const ORIGIN_PAUSE_MS: u64 = 250;
/// Time for which a peer that did not answer is left out, in milliseconds.
const PEER_PAUSE_MS: u64 = 3_000;

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

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Peer {
    address: SocketAddr,
    not_before: Time,
}

/// The search for one piece by one agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Search {
    /// Best first.
    peers: Vec<Peer>,
    /// Peer that is asked next.
    turn: usize,
    /// Agents that come before this one, at most [`MAX_RANK`].
    rank: u64,
    origin_at: Time,
}

impl Search {
    /// A search by the agent `own` of `region` for the piece that hashes to `piece`.
    pub fn new(piece: u64, own: u64, region: &str, members: &[Member], now: Time) -> Search {
        let mut ranked: Vec<&Member> = members.iter().collect();
        ranked.sort_by_cached_key(|it| {
            let score = rendezvous::score(piece, it.node);
            (!it.holds, std::cmp::Reverse((score, it.node)))
        });
        let regional = ranked.iter().filter(|it| it.region == region);
        let mut peers = before(own, regional.copied(), REGIONAL);
        // Bytes between regions are dear: peers elsewhere are asked at once only by the first of a
        // region, by the others only once theirs had time.
        let elsewhere_at = match peers.is_empty() {
            true => now,
            false => now.after_ms(REGION_MS),
        };
        for peer in before(own, ranked.iter().copied(), GLOBAL) {
            if peers.iter().all(|it| it.address != peer.address) {
                peers.push(Peer {
                    not_before: elsewhere_at,
                    ..peer
                });
            }
        }
        let better = ranked.iter().take_while(|it| it.node != own).count();
        let rank = (better as u64).min(MAX_RANK);
        Search {
            peers,
            turn: 0,
            rank,
            origin_at: now.after_ms(rank * TAKEOVER_MS),
        }
    }

    /// Agents that come before this one.
    pub fn rank(&self) -> u64 {
        self.rank
    }

    /// Whom to ask now; `None` to wait a little.
    pub fn next(&mut self, now: Time) -> Option<Source> {
        if self.origin_at <= now {
            return Some(Source::Origin);
        }
        for _ in 0..self.peers.len() {
            let peer = self.peers[self.turn % self.peers.len()];
            self.turn += 1;
            if peer.not_before <= now {
                return Some(Source::Peer(peer.address));
            }
        }
        None
    }

    /// A source did not answer, or gave something else.
    pub fn failed(&mut self, source: Source, now: Time) {
        match source {
            Source::Origin => {
                let pause_ms = ORIGIN_PAUSE_MS * (1 + self.rank);
                self.origin_at = now.after_ms(pause_ms);
            }
            Source::Peer(address) => {
                let peers = self.peers.iter_mut();
                for peer in peers.filter(|it| it.address == address) {
                    peer.not_before = now.after_ms(PEER_PAUSE_MS);
                }
            }
        }
    }
}

/// The first `most` members that come before `own`.
fn before<'a>(own: u64, ranked: impl Iterator<Item = &'a Member>, most: usize) -> Vec<Peer> {
    ranked
        .take_while(|it| it.node != own)
        .take(most)
        .map(|it| Peer {
            address: it.address,
            not_before: Time::ZERO,
        })
        .collect()
}
