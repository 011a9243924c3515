//! What the log says was published, and what became of it.

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

/// One published record and its verdict.
#[derive(Clone, Debug, Serialize)]
pub struct Published {
    /// Offset on the log.
    pub offset: u64,
    /// When the log took it, in milliseconds since 1970.
    pub time_ms: u64,
    /// Number that it claims; 0 when it can't be read.
    pub number: u64,
    /// Digest in hex.
    pub digest: String,
    /// Who says to have signed it.
    pub signer: String,
    /// `accepted`, `known`, or why it was refused.
    pub verdict: String,
    /// Its note.
    pub note: Option<String>,
}

/// Everything that the log still keeps.
pub struct History {
    /// Records in order.
    pub published: Vec<Published>,
    /// The fold over them.
    pub chain: Chain,
    verdicts: Vec<(Digest, Verdict)>,
}

impl History {
    /// Reads and folds the log.
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
            if page.next <= from || page.records.is_empty() {
                return Ok(history);
            }
        }
    }

    /// What became of a bundle, if it was published.
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
            .push(published(offset, time_ms, &signed, &verdict));
        self.verdicts.push((signed.digest(), verdict));
    }
}

fn published(offset: u64, time_ms: u64, signed: &SignedBundle, verdict: &Verdict) -> Published {
    let bundle = bundle::parse_canonical(&signed.payload).ok();
    Published {
        offset,
        time_ms,
        number: bundle.as_ref().map_or(0, |it| it.number),
        digest: signed.digest().to_string(),
        signer: signed.signer.clone(),
        verdict: describe(verdict),
        note: bundle.and_then(|it| it.note),
    }
}

/// A verdict in words.
pub fn describe(verdict: &Verdict) -> String {
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
