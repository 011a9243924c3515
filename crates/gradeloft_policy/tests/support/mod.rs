//! Replicas for tests of request routing.

use gradeloft_policy::process::replicas::Listing;

/// Returns the listing of a model's replica with sixteen slots, whose address is derived from the length of its id.
pub(crate) fn listing(id: &str, version: Option<u64>) -> Listing {
    Listing {
        id: id.into(),
        born: None,
        service: "m".into(),
        address: format!("10.0.0.{}:80", id.len()).parse().unwrap(),
        zone: "z".to_owned(),
        slots: 16,
        draining: false,
        has_model: true,
        version,
        warmup_left_ms: 0,
    }
}
