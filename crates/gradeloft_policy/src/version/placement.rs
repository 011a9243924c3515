//! Which replica holds which model: a deterministic function of the bundle and the replicas.
//!
//! Rendezvous with quotas: all pairs of model and replica are ranked by their score, and a pair is
//! taken while the replica is free and the model's quota is open. A replica that comes or goes
//! moves few others. Two nodes that see different replicas may place differently for a while;
//! that is safe, because requests go only to replicas that report what they serve.

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
    let mut pairs = pairs(&bundle.models, replicas);
    pairs.sort_unstable_by_key(|it| Reverse(it.0));
    let mut open: Vec<u32> = bundle.models.iter().map(|it| it.replicas).collect();
    let mut placed = vec![None; replicas.len()];
    for (_, model, replica) in pairs {
        if placed[replica].is_none() && 0 < open[model] {
            placed[replica] = Some(model);
            open[model] -= 1;
        }
    }
    placed
}

fn pairs(models: &[Model], replicas: &[Replica<'_>]) -> Vec<(u64, usize, usize)> {
    let nodes: Vec<u64> = replicas
        .iter()
        .map(|it| rendezvous::hash(it.node.as_bytes()))
        .collect();
    let mut pairs = Vec::with_capacity(models.len() * replicas.len());
    for (model_idx, model) in models.iter().enumerate() {
        let key = rendezvous::hash(model.name.as_bytes());
        for (replica_idx, replica) in replicas.iter().enumerate() {
            if model.zones.is_empty() || model.zones.iter().any(|it| it == replica.zone) {
                let score = rendezvous::score(key, nodes[replica_idx]);
                pairs.push((score, model_idx, replica_idx));
            }
        }
    }
    pairs
}
