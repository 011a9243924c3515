//! Validation, canonical form and signatures of bundles.

use std::collections::HashSet;

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use gradeloft_wire::{
    border::bundle::{Bundle, Team},
    frame::Pin,
    id::Digest,
    record::SignedBundle,
    schema::{self, Fault, Schema},
};

/// Returns the bytes that are signed and digested: JSON with fields in the schema's order.
pub fn canonical(bundle: &Bundle) -> Vec<u8> {
    // Serialization of plain data with string keys can't fail.
    serde_json::to_vec(bundle).unwrap_or_default()
}

/// Parses a YAML bundle, and returns all of its faults if it is invalid.
pub fn parse(yaml: &str) -> Result<Bundle, Vec<Fault>> {
    let bundle = schema::from_yaml(Schema::Bundle, yaml)?;
    let faults = check(&bundle);
    if faults.is_empty() {
        Ok(bundle)
    } else {
        Err(faults)
    }
}

/// Parses the canonical form of a bundle.
pub fn parse_canonical(payload: &[u8]) -> Result<Bundle, Vec<Fault>> {
    let bundle = schema::from_json(Schema::Bundle, payload)?;
    let faults = check(&bundle);
    if faults.is_empty() {
        Ok(bundle)
    } else {
        Err(faults)
    }
}

/// Returns faults that the schema can't express: duplicate and undefined names, and a missing or
/// unexpected parent.
pub fn check(bundle: &Bundle) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_unique(
        "/publishers",
        bundle.publishers.iter().map(|it| &it.name),
        &mut faults,
    );
    check_unique("/classes", bundle.classes.iter(), &mut faults);
    check_unique(
        "/teams",
        bundle.teams.iter().map(|it| &it.name),
        &mut faults,
    );
    check_unique(
        "/models",
        bundle.models.iter().map(|it| &it.name),
        &mut faults,
    );
    check_unique(
        "/services",
        bundle.services.iter().map(|it| &it.name),
        &mut faults,
    );
    for (idx, team) in bundle.teams.iter().enumerate() {
        check_team(bundle, team, &format!("/teams/{idx}"), &mut faults);
    }
    for (idx, model) in bundle.models.iter().enumerate() {
        let names = model.adapters.iter().map(|it| &it.name);
        check_unique(&format!("/models/{idx}/adapters"), names, &mut faults);
    }
    if (bundle.number == 1) != bundle.parent.is_none() {
        faults.push(Fault::new(
            "/parent",
            "must be absent from the first bundle and present in all later ones",
        ));
    }
    faults
}

fn check_team(bundle: &Bundle, team: &Team, path: &str, faults: &mut Vec<Fault>) {
    if !bundle.classes.contains(&team.class) {
        let classes = bundle.classes.join(", ");
        let message = format!(
            "\"{}\" is not a class of this bundle: {classes}",
            team.class
        );
        faults.push(Fault::new(format!("{path}/class"), message));
    }
    for (idx, name) in team.models.iter().enumerate() {
        if !bundle.models.iter().any(|it| it.name == *name) {
            let message = format!("\"{name}\" is not a model of this bundle");
            faults.push(Fault::new(format!("{path}/models/{idx}"), message));
        }
    }
    for (idx, name) in team.services.iter().enumerate() {
        if !bundle.services.iter().any(|it| it.name == *name) {
            let message = format!("\"{name}\" is not a service of this bundle");
            faults.push(Fault::new(format!("{path}/services/{idx}"), message));
        }
    }
}

fn check_unique<'a>(path: &str, names: impl Iterator<Item = &'a String>, faults: &mut Vec<Fault>) {
    let mut seen = HashSet::new();
    for (idx, name) in names.enumerate() {
        if !seen.insert(name) {
            faults.push(Fault::new(
                format!("{path}/{idx}"),
                format!("duplicate name \"{name}\""),
            ));
        }
    }
}

/// Weights named in a bundle: those of a version of a model, or of an adapter of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Weights {
    /// Index of the model in the bundle.
    pub model: usize,
    /// Weights to which requests are pinned. The version of an adapter includes that of its model
    /// (`v1+a1`), because the response depends on both.
    pub pin: Pin,
    /// Digest of the manifest.
    pub manifest: Digest,
}

/// Returns all weights of a bundle, each model before its adapters.
pub fn weights(bundle: &Bundle) -> Vec<Weights> {
    let mut weights = Vec::new();
    for (idx, model) in bundle.models.iter().enumerate() {
        let named = |adapter: Option<&String>, version: String, manifest: &str| {
            let pin = Pin {
                model: model.name.clone(),
                adapter: adapter.cloned(),
                version,
            };
            Some(Weights {
                model: idx,
                pin,
                manifest: manifest.parse().ok()?,
            })
        };
        weights.extend(named(None, model.version.clone(), &model.manifest));
        for adapter in &model.adapters {
            let version = format!("{}+{}", model.version, adapter.version);
            weights.extend(named(Some(&adapter.name), version, &adapter.manifest));
        }
    }
    weights
}

/// A key that signs bundles.
pub struct Key(SigningKey);

impl Key {
    /// Creates a key from its 32 secret bytes.
    pub fn new(secret: [u8; 32]) -> Key {
        Key(SigningKey::from_bytes(&secret))
    }

    /// Returns the public key, in hex.
    pub fn public(&self) -> String {
        hex::encode(self.0.verifying_key().as_bytes())
    }

    /// Signs a bundle on behalf of the publisher `signer`.
    pub fn sign(&self, bundle: &Bundle, signer: &str) -> SignedBundle {
        let payload = canonical(bundle);
        let signature = self.0.sign(&payload).to_bytes();
        SignedBundle {
            payload,
            signer: signer.to_owned(),
            signature,
        }
    }
}

/// A publisher whose bundles are trusted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Publisher {
    /// Name of the publisher.
    pub name: String,
    key: VerifyingKey,
}

impl Publisher {
    /// Creates a publisher from its name and its public key in hex; `None` if the key is invalid.
    pub fn new(name: &str, key: &str) -> Option<Publisher> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(key, &mut bytes).ok()?;
        let key = VerifyingKey::from_bytes(&bytes).ok()?;
        Some(Publisher {
            name: name.to_owned(),
            key,
        })
    }

    /// Returns whether the publisher signed the bundle.
    pub fn verifies(&self, bundle: &SignedBundle) -> bool {
        let signature = Signature::from_bytes(&bundle.signature);
        self.name == bundle.signer && self.key.verify_strict(&bundle.payload, &signature).is_ok()
    }
}

/// Returns the publishers that are trusted to sign the successor of a bundle.
pub fn publishers(bundle: &Bundle) -> Vec<Publisher> {
    bundle
        .publishers
        .iter()
        .filter_map(|it| Publisher::new(&it.name, &it.key))
        .collect()
}

/// Returns the digest of a bundle's parent.
pub fn parent_digest(bundle: &Bundle) -> Option<Digest> {
    bundle.parent.as_ref().and_then(|it| it.parse().ok())
}
