//! Answers that an entry gives by itself.

use std::time::Duration;

use bytes::{BufMut, BytesMut};
use gradeloft_policy::{process::freshness::Freshness, request::attempt::Ran};
use serde_json::json;

/// Why a request gets no replica's answer. A closed list; [`Refusal::row`] is its table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Other entries know more than this one, and what it can't answer rightly they may.
    Behind,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// This process ends before an answer is sure to be whole; other entries take it.
    Leaving,
    /// It was sent to a replica, and no answer came that can be passed on.
    Lost,
    /// It is not valid HTTP.
    Malformed,
    /// This process does not know the configuration yet.
    NoConfig,
    /// No replica takes it now; one may after this time.
    NoReplica(Duration),
    /// No route for its host and path.
    NoRoute,
    /// Replicas ended while they had it; it may be sent to one again after this time.
    Quarantined(Duration),
    /// Time ran out after it was sent to a replica.
    TimedOut,
    /// Time ran out before it was sent to a replica.
    Unsent,
    /// The key is absent or nobody's.
    UnknownKey,
}

/// What a refusal tells its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Row {
    /// HTTP status.
    pub status: u16,
    /// Reason phrase.
    pub reason: &'static str,
    /// Name in bodies, logs and metrics.
    pub name: &'static str,
    /// Whether the request may have run.
    pub ran: Ran,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// When to come back after a refusal for another reason than want of a replica, in milliseconds: about
/// the time in which an entry learns the configuration.
const RETRY_AFTER_MS: u64 = 250;

impl Refusal {
    /// What it tells the caller.
    pub fn row(self) -> Row {
        let row = |status, reason, name| Row {
            status,
            reason,
            name,
            ran: Ran::No,
            retry_after_ms: None,
        };
        let later = |name| Row {
            retry_after_ms: Some(RETRY_AFTER_MS),
            ..row(503, "Service Unavailable", name)
        };
        let unknown = |status, reason, name| Row {
            ran: Ran::Unknown,
            ..row(status, reason, name)
        };
        match self {
            Refusal::Behind => later("behind"),
            Refusal::BodyTooLarge => row(413, "Content Too Large", "body_too_large"),
            Refusal::HeadTooLarge => row(431, "Request Header Fields Too Large", "head_too_large"),
            Refusal::Leaving => Row {
                retry_after_ms: Some(0),
                ..row(503, "Service Unavailable", "leaving")
            },
            Refusal::Lost => unknown(502, "Bad Gateway", "lost"),
            Refusal::Malformed => row(400, "Bad Request", "malformed"),
            Refusal::NoConfig => later("no_config"),
            Refusal::NoReplica(back) => Row {
                retry_after_ms: Some(back.as_millis() as u64),
                ..row(503, "Service Unavailable", "no_replica")
            },
            Refusal::NoRoute => row(404, "Not Found", "no_route"),
            Refusal::Quarantined(back) => Row {
                retry_after_ms: Some(back.as_millis() as u64),
                ..row(503, "Service Unavailable", "quarantined")
            },
            Refusal::TimedOut => unknown(504, "Gateway Timeout", "timed_out"),
            Refusal::Unsent => later("unsent"),
            Refusal::UnknownKey => row(401, "Unauthorized", "unknown_key"),
        }
    }

    /// What it becomes at a process that may know less than others: newer records may allow what its
    /// configuration denies.
    pub fn by(self, standing: Freshness) -> Refusal {
        match self {
            _ if standing == Freshness::Current => self,
            Refusal::BodyTooLarge
            | Refusal::HeadTooLarge
            | Refusal::NoRoute
            | Refusal::UnknownKey => Refusal::Behind,
            _ => self,
        }
    }

    /// Whether its caller is to connect anew, to another entry.
    pub fn sends_away(self) -> bool {
        matches!(self, Refusal::Behind | Refusal::Leaving)
    }

    /// The whole answer, as bytes.
    pub fn encode(self, request: Option<(&str, &str)>, close: bool) -> BytesMut {
        let row = self.row();
        let ran = match row.ran {
            Ran::No => "no",
            Ran::Unknown => "unknown",
        };
        let body = json!({"error": row.name, "ran": ran}).to_string();
        let mut out = BytesMut::with_capacity(256);
        let status_line = format!("HTTP/1.1 {} {}\r\n", row.status, row.reason);
        out.put_slice(status_line.as_bytes());
        let headers = format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        );
        out.put_slice(headers.as_bytes());
        if let Some((name, id)) = request {
            out.put_slice(format!("{name}: {id}\r\n").as_bytes());
        }
        if let Some(ms) = row.retry_after_ms {
            let seconds = ms as f64 / 1000.0;
            out.put_slice(format!("Retry-After: {seconds}\r\n").as_bytes());
        }
        if close {
            out.put_slice(b"Connection: close\r\n");
        }
        out.put_slice(b"\r\n");
        out.put_slice(body.as_bytes());
        out
    }
}
