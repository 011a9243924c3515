//! Parsing of callers' requests, and error responses.

use gradeloft_http::message::{BodyError, HttpResponse, Request, json, with_header};
use gradeloft_policy::clock::Time;
use gradeloft_wire::{
    border::{
        bundle::{Bundle, Team},
        caller::{Error, Ran},
    },
    error::{self, Kind},
};
use slog::info;

use super::Entry;
use crate::{metrics::RequestOutcome, node::Node};

/// Header with the request's id, set by the caller or generated here. Every response has it.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the time that the caller waits for the response, in milliseconds.
const DEADLINE: &str = "x-deadline-ms";
/// Header with the requested class.
const CLASS: &str = "x-class";
const MAX_ID_BYTES: usize = 64;
const UNAUTHENTICATED: &str = "-";

/// Reason why a request fails.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Error kind, which determines the response.
    pub kind: Kind,
    /// Detail for the message.
    pub detail: Option<String>,
    /// Team and class, once authenticated.
    pub caller: Option<(String, String)>,
}

impl Failure {
    /// Creates a failure with a detail for its message.
    pub fn with_detail(kind: Kind, detail: impl Into<String>) -> Failure {
        Failure {
            kind,
            detail: Some(detail.into()),
            caller: None,
        }
    }

    /// Sets the authenticated team and class.
    pub fn for_caller(mut self, context: &Context) -> Failure {
        self.caller = Some((context.team.name.clone(), context.class_name.clone()));
        self
    }
}

impl From<Kind> for Failure {
    fn from(kind: Kind) -> Failure {
        Failure {
            kind,
            detail: None,
            caller: None,
        }
    }
}

/// Properties of an authenticated request.
#[derive(Clone, Debug)]
pub struct Context {
    /// Id of the request, as the caller sees it.
    pub id: String,
    /// Definition of the team in the bundle.
    pub team: Team,
    /// Name of the class.
    pub class_name: String,
    /// Index of the class; 0 is the highest.
    pub class: u8,
    /// Time at which the request arrived.
    pub started: Time,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
}

/// Returns the caller's request id if it is well formed, else a new one.
pub fn request_id(node: &Node, request: &Request) -> String {
    let caller_id = request.header(REQUEST_ID).filter(|it| {
        !it.is_empty() && it.len() <= MAX_ID_BYTES && it.bytes().all(|it| it.is_ascii_graphic())
    });
    caller_id.map_or_else(|| node.request_id().to_string(), str::to_owned)
}

/// Authenticates a request's team, and parses the headers that all requests have.
pub fn authenticate(
    node: &Node,
    bundle: &Bundle,
    request: &Request,
    id: &str,
    team: &str,
) -> Result<Context, Failure> {
    let known = bundle.teams.iter().find(|it| it.name == team);
    let team = known.ok_or_else(|| Failure::with_detail(Kind::NotFound, "no such team"))?;
    if !has_valid_token(request, team) {
        return Err(Kind::Unauthorized.into());
    }
    let class_name = request.header(CLASS).unwrap_or(&team.class);
    let position = |name: &str| bundle.classes.iter().position(|it| it == name);
    let class = position(class_name)
        .ok_or_else(|| Failure::with_detail(Kind::BadRequest, format!("{CLASS}: no such class")))?;
    if position(&team.class).is_none_or(|highest| class < highest) {
        let detail = format!("{CLASS}: above the team's class, {}", team.class);
        return Err(Failure::with_detail(Kind::Forbidden, detail));
    }
    let started = node.clock.now();
    let max_ms = node.limits.request_ms;
    let requested_ms = match request.header(DEADLINE) {
        Some(text) => text.parse::<u64>().map_err(|_| {
            Failure::with_detail(Kind::BadRequest, format!("{DEADLINE}: no number"))
        })?,
        None => max_ms,
    };
    let deadline = started.after_ms(requested_ms.min(max_ms));
    // Rejects requests that the shutdown of the process might cut off; another entry can run them.
    if node
        .shutdown_deadline
        .get()
        .is_some_and(|end| end < deadline)
    {
        return Err(Kind::Leaving.into());
    }
    Ok(Context {
        id: id.to_owned(),
        team: team.clone(),
        class_name: class_name.to_owned(),
        class: class as u8,
        started,
        deadline,
    })
}

/// Returns the body of a request, or the failure if it is incomplete or too large.
pub fn body(request: &Request) -> Result<&[u8], Failure> {
    match &request.body {
        Ok(body) => Ok(body),
        Err(BodyError::Truncated) => {
            Err(Failure::with_detail(Kind::BadRequest, "the body broke off"))
        }
        Err(BodyError::TooLarge) => Err(Kind::TooLarge.into()),
        Err(BodyError::NoMemory) => Err(Kind::Overloaded.into()),
        Err(BodyError::TimedOut) => Err(Failure::with_detail(
            Kind::BadRequest,
            "the body did not arrive in time",
        )),
    }
}

/// Returns the body of an error response.
pub fn error_body(failure: &Failure, id: &str) -> Error {
    let row = failure.kind.row();
    let message = match &failure.detail {
        Some(detail) => format!("{} ({detail})", row.message),
        None => row.message.to_owned(),
    };
    Error {
        kind: row.name.to_owned(),
        ran: match row.ran {
            error::Ran::No => Ran::No,
            error::Ran::Unknown => Ran::Unknown,
            error::Ran::Yes => Ran::Yes,
        },
        retryable: row.caller_may_retry,
        message,
        request_id: id.to_owned(),
        retry_after_s: row.retry_after_s.map(u64::from),
    }
}

/// Returns the error response for a failure, and logs and counts the failure.
pub fn error_response(entry: &Entry, failure: &Failure, id: &str) -> HttpResponse {
    record_failure(entry, failure, id);
    let row = failure.kind.row();
    let response = json(row.status, &error_body(failure, id));
    let response = with_header(response, REQUEST_ID, id);
    match row.retry_after_s {
        Some(seconds) => with_header(response, "retry-after", &seconds.to_string()),
        None => response,
    }
}

/// Logs and counts a failed request.
pub fn record_failure(entry: &Entry, failure: &Failure, id: &str) {
    let unauthenticated = (UNAUTHENTICATED.to_owned(), UNAUTHENTICATED.to_owned());
    let (team, class) = failure.caller.clone().unwrap_or(unauthenticated);
    info!(entry.node.log, "request failed"; "request" => id, "team" => &team, "class" => &class,
        "kind" => failure.kind.name(), "ran" => failure.kind.ran().name());
    let outcome_labels = RequestOutcome {
        team,
        class,
        outcome: failure.kind.name(),
    };
    entry
        .node
        .metrics
        .requests
        .get_or_create(&outcome_labels)
        .inc();
}

fn has_valid_token(request: &Request, team: &Team) -> bool {
    let token = request
        .header("authorization")
        .and_then(|it| it.strip_prefix("Bearer "));
    let digest = blake3::Hash::from_hex(&team.token_digest);
    // The comparison of hashes takes constant time.
    matches!((token, digest), (Some(token), Ok(digest)) if blake3::hash(token.as_bytes()) == digest)
}
