//! PublishedBundle bundles in the log, with the verdict on each.

use gradeloft_platform::{Fault, log::Log};
use gradeloft_policy::version::{
    bundle::{self, Publisher},
    chain::{Chain, Refusal, Verdict},
};
use gradeloft_wire::{
    id::Digest,
    record::{CONFIG, Record, SignedBundle},
};
use serde::Serialize;

/// A published bundle and the verdict on it.
#[derive(Clone, Debug, Serialize)]
pub struct PublishedBundle {
    /// Offset in the log.
    pub offset: u64,
    /// Time of the append, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Number stated in the bundle; 0 if the bundle can't be parsed.
    pub number: u64,
    /// Digest in hex.
    pub digest: String,
    /// Name of the signer as stated; not verified.
    pub signer: String,
    /// `accepted`, `known`, or the reason for the refusal.
    pub verdict: String,
    /// Note in the bundle.
    pub note: Option<String>,
}

/// All bundles that the log retains.
pub struct History {
    /// Published bundles in log order.
    pub published: Vec<PublishedBundle>,
    /// Chain of accepted bundles, folded from the log.
    pub chain: Chain,
    verdicts: Vec<(Digest, Verdict)>,
}

impl History {
    /// Reads the whole log and folds its records into the chain.
    pub async fn read(log: &dyn Log, trusted: &[Publisher]) -> Result<History, Fault> {
        let mut history = History {
            published: Vec::new(),
            chain: Chain::new(trusted.to_vec()),
            verdicts: Vec::new(),
        };
        let mut from = 0;
        loop {
            let page = log.read(CONFIG, from, 0).await?;
            for record in &page.records {
                from = record.offset + 1;
                history.fold(record.offset, record.time_ms, &record.data);
            }
            if page.next <= from.max(page.oldest) {
                return Ok(history);
            }
            if page.records.is_empty() {
                return Err(Fault::Malformed);
            }
        }
    }

    /// Returns the verdict on a bundle, if it was published.
    pub fn verdict(&self, digest: Digest) -> Option<&Verdict> {
        self.verdicts
            .iter()
            .find(|(it, _)| *it == digest)
            .map(|(_, verdict)| verdict)
    }

    fn fold(&mut self, offset: u64, time_ms: u64, data: &[u8]) {
        let (signed, verdict) = match Record::decode(data) {
            Ok(Record::Bundle(signed)) => {
                let verdict = self.chain.fold(&signed);
                (signed, verdict)
            }
            Ok(Record::Checkpoint(signed)) => {
                let verdict = self.chain.adopt(&signed);
                (signed, verdict)
            }
            _ => return,
        };
        self.published
            .push(describe_bundle(offset, time_ms, &signed, &verdict));
        self.verdicts.push((signed.digest(), verdict));
    }
}

fn describe_bundle(
    offset: u64,
    time_ms: u64,
    signed: &SignedBundle,
    verdict: &Verdict,
) -> PublishedBundle {
    let bundle = bundle::parse_canonical(&signed.payload).ok();
    PublishedBundle {
        offset,
        time_ms,
        number: bundle.as_ref().map_or(0, |it| it.number),
        digest: signed.digest().to_string(),
        signer: signed.signer.clone(),
        verdict: describe_verdict(verdict),
        note: bundle.and_then(|it| it.note),
    }
}

/// Returns the text that is printed for a verdict.
pub fn describe_verdict(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted => "accepted".to_owned(),
        Verdict::Known => "known".to_owned(),
        Verdict::Refused(Refusal::Faulty) => "refused: it does not pass its checks".to_owned(),
        Verdict::Refused(Refusal::Outrun { number, signer }) => {
            format!("refused: number {number}, signed by {signer}, is in force")
        }
        Verdict::Refused(Refusal::ParentUnknown) => {
            "refused: its parent is not the bundle in force".to_owned()
        }
        Verdict::Refused(Refusal::Untrusted) => {
            "refused: no trusted publisher signed it".to_owned()
        }
    }
}
