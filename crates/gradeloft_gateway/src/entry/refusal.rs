//! Error responses that an entry sends by itself.

use std::time::Duration;

use bytes::{BufMut, BytesMut};
use gradeloft_policy::{process::freshness::Freshness, request::attempt::Ran};
use serde_json::json;

/// Reason why a request gets no response from a replica. [`Refusal::error_response`] maps each
/// reason to its response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// This entry's configuration is behind that of other entries, which may be able to serve the
    /// request.
    Behind,
    /// The body did not arrive in time.
    BodyTimedOut,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// This process is shutting down and may end before the response is complete; other entries
    /// accept the request.
    Leaving,
    /// The request was sent to a replica, and no response that can be relayed arrived.
    Lost,
    /// The request is not valid HTTP.
    Malformed,
    /// This process has not loaded the configuration yet.
    NoConfig,
    /// No replica has capacity now; one may have capacity after this time.
    NoReplica(Duration),
    /// No route matches the host and path.
    NoRoute,
    /// The configuration names no service for the route.
    NoService,
    /// This process has no memory for the request at present.
    Overloaded,
    /// The request is suspected of crashing replicas; it may be retried after this time.
    Quarantined(Duration),
    /// The deadline passed after the request was sent to a replica.
    TimedOut,
    /// The deadline passed before the request was sent to a replica.
    Unsent,
    /// The API key is missing or belongs to no team.
    UnknownKey,
}

/// Contents of the error response for a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: u16,
    /// Reason phrase.
    pub reason: &'static str,
    /// Error name in bodies, logs and metrics.
    pub name: &'static str,
    /// Whether a replica may have executed the request.
    pub ran: Ran,
    /// Delay after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Retry delay after refusals that are not caused by missing capacity, in milliseconds: about the
/// time in which an entry loads the configuration.
const RETRY_AFTER_MS: u64 = 250;

/// Retry delay after refusals for lack of memory, in milliseconds: about the time in which bodies that are
/// being received arrive.
const OVERLOAD_RETRY_AFTER_MS: u64 = 500;

impl Refusal {
    /// Returns the contents of the error response.
    pub fn error_response(self) -> ErrorResponse {
        let response = |status, reason, name| ErrorResponse {
            status,
            reason,
            name,
            ran: Ran::No,
            retry_after_ms: None,
        };
        let retry_later = |name| ErrorResponse {
            retry_after_ms: Some(RETRY_AFTER_MS),
            ..response(503, "Service Unavailable", name)
        };
        let unknown = |status, reason, name| ErrorResponse {
            ran: Ran::Unknown,
            ..response(status, reason, name)
        };
        match self {
            Refusal::Behind => retry_later("behind"),
            Refusal::BodyTimedOut => response(408, "Request Timeout", "body_timed_out"),
            Refusal::BodyTooLarge => response(413, "Content Too Large", "body_too_large"),
            Refusal::HeadTooLarge => {
                response(431, "Request Header Fields Too Large", "head_too_large")
            }
            Refusal::Leaving => ErrorResponse {
                retry_after_ms: Some(0),
                ..response(503, "Service Unavailable", "leaving")
            },
            Refusal::Lost => unknown(502, "Bad Gateway", "lost"),
            Refusal::Malformed => response(400, "Bad Request", "malformed"),
            Refusal::NoConfig => retry_later("no_config"),
            Refusal::NoReplica(back) => ErrorResponse {
                retry_after_ms: Some(back.as_millis() as u64),
                ..response(503, "Service Unavailable", "no_replica")
            },
            Refusal::NoRoute => response(404, "Not Found", "no_route"),
            Refusal::NoService => retry_later("no_service"),
            Refusal::Overloaded => ErrorResponse {
                retry_after_ms: Some(OVERLOAD_RETRY_AFTER_MS),
                ..response(503, "Service Unavailable", "overloaded")
            },
            Refusal::Quarantined(back) => ErrorResponse {
                retry_after_ms: Some(back.as_millis() as u64),
                ..response(503, "Service Unavailable", "quarantined")
            },
            Refusal::TimedOut => unknown(504, "Gateway Timeout", "timed_out"),
            Refusal::Unsent => retry_later("unsent"),
            Refusal::UnknownKey => response(401, "Unauthorized", "unknown_key"),
        }
    }

    /// Adjusts the refusal at an entry whose configuration may be behind: newer records may allow
    /// what its own configuration denies.
    pub fn adjusted_for(self, freshness: Freshness) -> Refusal {
        match self {
            _ if freshness == Freshness::Current => self,
            Refusal::BodyTooLarge
            | Refusal::HeadTooLarge
            | Refusal::NoRoute
            | Refusal::NoService
            | Refusal::UnknownKey => Refusal::Behind,
            _ => self,
        }
    }

    /// Returns whether the caller should reconnect to another entry.
    pub fn requires_reconnect(self) -> bool {
        matches!(self, Refusal::Behind | Refusal::Leaving)
    }

    /// Encodes the HTTP response, which ends with its head if `has_body` is false.
    pub fn encode(self, request: Option<(&str, &str)>, close: bool, has_body: bool) -> BytesMut {
        let response = self.error_response();
        let ran = match response.ran {
            Ran::No => "no",
            Ran::Unknown => "unknown",
        };
        let body = json!({"error": response.name, "ran": ran}).to_string();
        let mut out = BytesMut::with_capacity(256);
        let status_line = format!("HTTP/1.1 {} {}\r\n", response.status, response.reason);
        out.put_slice(status_line.as_bytes());
        let headers = format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        );
        out.put_slice(headers.as_bytes());
        if let Some((name, id)) = request {
            out.put_slice(format!("{name}: {id}\r\n").as_bytes());
        }
        if let Some(ms) = response.retry_after_ms {
            let seconds = ms as f64 / 1000.0;
            out.put_slice(format!("Retry-After: {seconds}\r\n").as_bytes());
        }
        if close {
            out.put_slice(b"Connection: close\r\n");
        }
        out.put_slice(b"\r\n");
        if has_body {
            out.put_slice(body.as_bytes());
        }
        out
    }
}
