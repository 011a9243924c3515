//! Version to which requests are pinned during a rollout.

/// Number of replicas that serve one version of a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServedVersion {
    /// Version of the model.
    pub version: String,
    /// Replicas that serve the version, accept work and are in the team's availability zones.
    pub replicas: u32,
}

/// Selects the version of one model to which an entry pins new requests.
///
/// A new version is in service once enough replicas serve it, and remains so: requests are never
/// pinned to an older version again while the bundle is in force.
#[derive(Clone, Debug, Default)]
pub struct VersionPinner {
    target: String,
    /// Version that was in service before; empty if there was none.
    previous: String,
    in_service: bool,
}

impl VersionPinner {
    /// Sets the version that the bundle in force names.
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

    /// Returns the version to pin a request to, given the versions that are served now; `None` if
    /// no version is suitable. The target is in service once `required` replicas serve it.
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
        // This entry started during the rollout: use the older version that most replicas serve.
        let older = serving
            .iter()
            .filter(|it| it.version != self.target && 0 < it.replicas);
        let most = older.max_by_key(|it| (it.replicas, it.version.clone()));
        most.map(|it| it.version.clone())
    }
}
