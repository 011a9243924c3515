//! Selection of the published bundle that is in force: a pure fold over the log.
//!
//! A bundle is accepted if a trusted publisher signed it, its parent is the head and it is valid.
//! Of several such records, the one with the lowest offset wins, so every node that reads the log
//! selects the same bundle, and concurrent publishers learn whose bundle won. Nodes also adopt
//! bundles from peers that accepted them from the log. The number of the head never decreases.

use gradeloft_wire::{border::bundle::Bundle, id::Digest, record::SignedBundle};

use super::bundle::{self, Publisher};

/// The bundle in force.
#[derive(Clone, Debug)]
pub struct Head {
    /// Content of the bundle.
    pub bundle: Bundle,
    /// Digest of the bundle.
    pub digest: Digest,
    /// Signed form, for forwarding to peers.
    pub signed: SignedBundle,
}

/// Outcome of offering a bundle to the chain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The bundle is in force now.
    Accepted,
    /// The bundle is already in force.
    Known,
    /// The bundle is rejected.
    Refused(Refusal),
}

/// Reason why a bundle was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The bundle is invalid or not in canonical form.
    Faulty,
    /// Another bundle with this number was accepted first, or a later one is in force.
    Outrun {
        /// Number of the bundle in force.
        number: u64,
        /// Publisher that signed the bundle in force.
        signer: String,
    },
    /// The parent of the bundle is not the head of this chain.
    ParentUnknown,
    /// No trusted publisher signed the bundle.
    Untrusted,
}

/// Fraction of the checkpoint interval over which nodes spread their checkpoints, so that two nodes
/// rarely append the same checkpoint.
const CHECKPOINT_SPREAD: f64 = 0.1;

/// Returns whether this node is due to append the head to the log again, which keeps the head
/// within the log's retention. `last_ms` is the time at which the log accepted the latest record of
/// the head, and `draw` is a random number of this node from 0 to 1. Times are in milliseconds
/// since 1970.
pub fn checkpoint_due(last_ms: u64, now_ms: u64, every_ms: u64, draw: f64) -> bool {
    let spread = every_ms as f64 * CHECKPOINT_SPREAD * (1.0 - draw);
    last_ms.saturating_add(every_ms - spread as u64) <= now_ms
}

/// State of the fold on one node.
pub struct Chain {
    roots: Vec<Publisher>,
    head: Option<Head>,
}

impl Chain {
    /// Creates a chain without a head, which trusts `roots` until a bundle names its publishers.
    pub fn new(roots: Vec<Publisher>) -> Chain {
        Chain { roots, head: None }
    }

    /// Returns the bundle in force.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Returns the number of the bundle in force; 0 if there is none.
    pub fn number(&self) -> u64 {
        self.head.as_ref().map_or(0, |it| it.bundle.number)
    }

    /// Applies the next published record of the log.
    pub fn fold(&mut self, signed: &SignedBundle) -> Verdict {
        let (bundle, digest) = match self.verify(signed) {
            Ok(it) => it,
            Err(verdict) => return verdict,
        };
        let parent = bundle::parent_digest(&bundle);
        let head = self.head.as_ref().map(|it| it.digest);
        if parent != head || bundle.number != self.number() + 1 {
            return Verdict::Refused(self.refusal(&bundle));
        }
        self.accept(bundle, digest, signed)
    }

    /// Adopts a bundle that a peer or a checkpoint on the log reports as in force. Bundles between
    /// the current head and this one may be missing, so the parent can't be checked here; the node
    /// that accepted the bundle checked it.
    pub fn adopt(&mut self, signed: &SignedBundle) -> Verdict {
        let (bundle, digest) = match self.verify(signed) {
            Ok(it) => it,
            Err(verdict) => return verdict,
        };
        if bundle.number <= self.number() {
            return Verdict::Refused(self.refusal(&bundle));
        }
        self.accept(bundle, digest, signed)
    }

    fn verify(&self, signed: &SignedBundle) -> Result<(Bundle, Digest), Verdict> {
        let digest = signed.digest();
        if self.head.as_ref().is_some_and(|it| it.digest == digest) {
            return Err(Verdict::Known);
        }
        if !self.trusts(signed) {
            return Err(Verdict::Refused(Refusal::Untrusted));
        }
        let faulty = Verdict::Refused(Refusal::Faulty);
        let bundle = bundle::parse_canonical(&signed.payload).map_err(|_| faulty.clone())?;
        if bundle::canonical(&bundle) != signed.payload {
            return Err(faulty);
        }
        Ok((bundle, digest))
    }

    fn trusts(&self, signed: &SignedBundle) -> bool {
        match &self.head {
            Some(head) => bundle::publishers(&head.bundle)
                .iter()
                .any(|it| it.verifies(signed)),
            None => self.roots.iter().any(|it| it.verifies(signed)),
        }
    }

    fn refusal(&self, bundle: &Bundle) -> Refusal {
        match &self.head {
            Some(head) if bundle.number <= head.bundle.number => Refusal::Outrun {
                number: head.bundle.number,
                signer: head.signed.signer.clone(),
            },
            _ => Refusal::ParentUnknown,
        }
    }

    fn accept(&mut self, bundle: Bundle, digest: Digest, signed: &SignedBundle) -> Verdict {
        self.head = Some(Head {
            bundle,
            digest,
            signed: signed.clone(),
        });
        Verdict::Accepted
    }
}
