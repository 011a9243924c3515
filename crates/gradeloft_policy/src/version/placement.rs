//! Assignment of models to replicas: a deterministic function of the bundle and the replicas.
//!
//! Placement is rendezvous hashing with quotas: each model gets the free replicas that score
//! highest for it, up to its quota. Models are placed in ascending order of slack: the number of
//! replicas that a model may use, less those that it needs. So an unconstrained model doesn't
//! occupy the few replicas of a constrained one. A replica that joins or leaves changes the models
//! of few other replicas. Instances with different views of the replicas may place models
//! differently for a while; that is safe, because requests go only to replicas that report the
//! version they serve.

use std::cmp::Reverse;

use gradeloft_wire::border::bundle::{Bundle, Model};

use crate::rendezvous;

/// A replica on which models can be placed.
#[derive(Clone, Copy, Debug)]
pub struct Replica<'a> {
    /// Name of the instance.
    pub node: &'a str,
    /// Availability zone of the instance.
    pub zone: &'a str,
}

/// Returns, for each of `replicas` in order, the index of its model in the bundle; `None` for
/// replicas that remain free.
pub fn place(bundle: &Bundle, replicas: &[Replica<'_>]) -> Vec<Option<usize>> {
    let nodes: Vec<u64> = replicas
        .iter()
        .map(|it| rendezvous::hash(it.node.as_bytes()))
        .collect();
    let mut model_order: Vec<usize> = (0..bundle.models.len()).collect();
    model_order.sort_by_cached_key(|&it| (slack(&bundle.models[it], replicas), it));
    let mut placed = vec![None; replicas.len()];
    for model_idx in model_order {
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
