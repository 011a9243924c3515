//! Which replica holds which model: a deterministic function of the bundle and the replicas.
//!
//! Rendezvous with quotas: each model takes the free replicas that score highest for it, up to its
//! quota. The model with the least slack between the replicas that it may use and those that it
//! needs goes first, so that a model that may go anywhere leaves the few allowed replicas of
//! another one free. A replica that comes or goes moves few others. Two nodes that see different
//! replicas may place differently for a while; that is safe, because requests go only to replicas
//! that report what they serve.

use std::cmp::Reverse;

use gradeloft_wire::border::bundle::{Bundle, Model};

use crate::rendezvous;

/// A replica that models can be placed on.
#[derive(Clone, Copy, Debug)]
pub struct Replica<'a> {
    /// Instance.
    pub node: &'a str,
    /// Availability zone.
    pub zone: &'a str,
}

/// Index of the model in the bundle for each replica, in the replicas' order; `None` for those
/// that stay free.
pub fn place(bundle: &Bundle, replicas: &[Replica<'_>]) -> Vec<Option<usize>> {
    let nodes: Vec<u64> = replicas
        .iter()
        .map(|it| rendezvous::hash(it.node.as_bytes()))
        .collect();
    let mut order: Vec<usize> = (0..bundle.models.len()).collect();
    order.sort_by_cached_key(|&it| (slack(&bundle.models[it], replicas), it));
    let mut placed = vec![None; replicas.len()];
    for model_idx in order {
        let model = &bundle.models[model_idx];
        let key = rendezvous::hash(model.name.as_bytes());
        let free = (0..replicas.len())
            .filter(|&it| placed[it].is_none() && allows(model, replicas[it].zone));
        let mut ranked: Vec<usize> = free.collect();
        ranked.sort_by_cached_key(|&it| Reverse((rendezvous::score(key, nodes[it]), nodes[it])));
        for replica in ranked.into_iter().take(model.replicas as usize) {
            placed[replica] = Some(model_idx);
        }
    }
    placed
}

fn slack(model: &Model, replicas: &[Replica<'_>]) -> i64 {
    let usable = replicas.iter().filter(|it| allows(model, it.zone)).count();
    usable as i64 - i64::from(model.replicas)
}

fn allows(model: &Model, zone: &str) -> bool {
    model.zones.is_empty() || model.zones.iter().any(|it| it == zone)
}
