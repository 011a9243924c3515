//! Which published bundle is in force: a pure fold over the log.
//!
//! A bundle is accepted when a trusted publisher signed it, its parent is the head and it passes
//! its checks. The first such record by offset wins, so every node that reads the log decides
//! alike, and racers learn who won. Nodes also learn bundles from peers, which accepted them from
//! the log. The number of the head only grows.

use gradeloft_wire::{border::bundle::Bundle, id::Digest, record::SignedBundle};

use super::bundle::{self, Publisher};

/// The bundle in force.
#[derive(Clone, Debug)]
pub struct Head {
    /// Content.
    pub bundle: Bundle,
    /// Its digest.
    pub digest: Digest,
    /// The signed form, to pass on.
    pub signed: SignedBundle,
}

/// What became of a bundle.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is in force now.
    Accepted,
    /// It was accepted before.
    Known,
    /// It never will be in force.
    Refused(Refusal),
}

/// Why a bundle was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It does not pass its checks, or is not in canonical form.
    Faulty,
    /// Another bundle with this number won, or a later one is in force.
    Outrun {
        /// Number in force.
        number: u64,
        /// Who signed what is in force.
        signer: String,
    },
    /// Its parent is not known to be the head.
    ParentUnknown,
    /// No trusted publisher signed it.
    Untrusted,
}

/// Part of the time between checkpoints over which nodes spread theirs, so that seldom two append.
const CHECKPOINT_SPREAD: f64 = 0.1;

/// Whether this node appends the head to the log again, so that the log never drops it: the last
/// record that holds it was taken at `last_ms`, and `draw` is a number of this node from 0 to 1.
/// Times are in milliseconds since 1970.
pub fn checkpoint_due(last_ms: u64, now_ms: u64, every_ms: u64, draw: f64) -> bool {
    let spread = every_ms as f64 * CHECKPOINT_SPREAD * (1.0 - draw);
    last_ms.saturating_add(every_ms - spread as u64) <= now_ms
}

/// The fold's state on one node.
pub struct Chain {
    roots: Vec<Publisher>,
    head: Option<Head>,
}

impl Chain {
    /// A chain without a head, which trusts `roots` until a bundle names its publishers.
    pub fn new(roots: Vec<Publisher>) -> Chain {
        Chain { roots, head: None }
    }

    /// The bundle in force.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref()
    }

    /// Number of the bundle in force; 0 for none.
    pub fn number(&self) -> u64 {
        self.head.as_ref().map_or(0, |it| it.bundle.number)
    }

    /// Folds the next published record of the log.
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

    /// Takes over a bundle that a peer, or a checkpoint on the log, says is in force. Numbers in
    /// between may be missing, so the parent can't be checked here; whoever accepted it did.
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
