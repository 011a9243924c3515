//! Which version requests are pinned to while a rollout runs.

/// Replicas that serve one version of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServedVersion {
    /// Version.
    pub version: String,
    /// Replicas that serve it, take work and are in the team's availability zones.
    pub replicas: u32,
}

/// Which version of one model an entry pins new requests to.
///
/// A new version counts as in service once enough replicas serve it, and stays so: the pin never
/// goes back to an older version while the bundle stands.
#[derive(Clone, Debug, Default)]
pub struct VersionPinner {
    target: String,
    /// The version that served before; empty for none.
    previous: String,
    in_service: bool,
}

impl VersionPinner {
    /// Takes over the version that the bundle names.
    pub fn retarget(&mut self, version: &str) {
        if self.target == version {
            return;
        }
        if self.in_service {
            self.previous = std::mem::take(&mut self.target);
        }
        self.target = version.to_owned();
        self.in_service = false;
    }

    /// The version to pin a request to, given what serves now; `None` when none can.
    pub fn pin(&mut self, serving: &[ServedVersion], required: u32) -> Option<String> {
        let ready = |version: &str| {
            serving
                .iter()
                .find(|it| it.version == version)
                .map_or(0, |it| it.replicas)
        };
        if self.in_service || required <= ready(&self.target) {
            self.in_service = true;
            return Some(self.target.clone());
        }
        if !self.previous.is_empty() && 0 < ready(&self.previous) {
            return Some(self.previous.clone());
        }
        // This entry is younger than the rollout: the version that most replicas still serve.
        let older = serving
            .iter()
            .filter(|it| it.version != self.target && 0 < it.replicas);
        let most = older.max_by_key(|it| (it.replicas, it.version.clone()));
        most.map(|it| it.version.clone())
    }
}
