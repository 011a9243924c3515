//! Callers' requests as typed values, and error answers.

use gradeloft_http::message::{Answer, BodyFault, Request, json, with_header};
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
use crate::{metrics::Ending, node::Node};

/// Header with the request's id, the caller's own or one made here; every answer carries it.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the milliseconds that the caller will wait.
const DEADLINE: &str = "x-deadline-ms";
/// Header with the class that the caller asks for.
const CLASS: &str = "x-class";
const LONGEST_ID: usize = 64;
const UNPROVED: &str = "-";

/// Why a request is not answered.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Kind, which decides the answer.
    pub kind: Kind,
    /// What exactly, for the message.
    pub detail: Option<String>,
    /// The team and class, once proved.
    pub caller: Option<(String, String)>,
}

impl Failure {
    /// A failure with a detail for its message.
    pub fn because(kind: Kind, detail: impl Into<String>) -> Failure {
        Failure {
            kind,
            detail: Some(detail.into()),
            caller: None,
        }
    }

    /// Names the proved team and class.
    pub fn of(mut self, context: &Context) -> Failure {
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

/// A request whose team is proved.
#[derive(Clone, Debug)]
pub struct Context {
    /// Id that the caller sees.
    pub id: String,
    /// The team, as the bundle describes it.
    pub team: Team,
    /// Name of the class.
    pub class_name: String,
    /// Position of the class; 0 is the most important.
    pub class: u8,
    /// When the request arrived.
    pub started: Time,
    /// When its caller stops waiting.
    pub deadline: Time,
}

/// The caller's id if it is well formed, else a fresh one.
pub fn request_id(node: &Node, request: &Request) -> String {
    let given = request.header(REQUEST_ID).filter(|it| {
        !it.is_empty() && it.len() <= LONGEST_ID && it.bytes().all(|it| it.is_ascii_graphic())
    });
    given.map_or_else(|| node.request_id().to_string(), str::to_owned)
}

/// Proves a request's team and reads what all requests have.
pub fn context(
    node: &Node,
    bundle: &Bundle,
    request: &Request,
    id: &str,
    team: &str,
) -> Result<Context, Failure> {
    let known = bundle.teams.iter().find(|it| it.name == team);
    let team = known.ok_or_else(|| Failure::because(Kind::NotFound, "no such team"))?;
    if !proves(request, team) {
        return Err(Kind::Unauthorized.into());
    }
    let class_name = request.header(CLASS).unwrap_or(&team.class);
    let position = |name: &str| bundle.classes.iter().position(|it| it == name);
    let class = position(class_name)
        .ok_or_else(|| Failure::because(Kind::BadRequest, format!("{CLASS}: no such class")))?;
    if position(&team.class).is_none_or(|highest| class < highest) {
        let detail = format!("{CLASS}: above the team's class, {}", team.class);
        return Err(Failure::because(Kind::Forbidden, detail));
    }
    let started = node.clock.now();
    let longest = node.limits.request_ms;
    let wanted = match request.header(DEADLINE) {
        Some(text) => text
            .parse::<u64>()
            .map_err(|_| Failure::because(Kind::BadRequest, format!("{DEADLINE}: no number")))?,
        None => longest,
    };
    let deadline = started.after_ms(wanted.min(longest));
    // An answer that the end of the process might cut is another entry's to give.
    if node.ends.get().is_some_and(|end| end < deadline) {
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

/// The body, or why it can't be used.
pub fn body(request: &Request) -> Result<&[u8], Failure> {
    match &request.body {
        Ok(body) => Ok(body),
        Err(BodyFault::Cut) => Err(Failure::because(Kind::BadRequest, "the body broke off")),
        Err(BodyFault::TooLarge) => Err(Kind::TooLarge.into()),
    }
}

/// The body of an error answer.
pub fn error(failure: &Failure, id: &str) -> Error {
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

/// The error answer for a failure; logs and counts it.
pub fn refuse(entry: &Entry, failure: &Failure, id: &str) -> Answer {
    record(entry, failure, id);
    let row = failure.kind.row();
    let answer = json(row.status, &error(failure, id));
    let answer = with_header(answer, REQUEST_ID, id);
    match row.retry_after_s {
        Some(seconds) => with_header(answer, "retry-after", &seconds.to_string()),
        None => answer,
    }
}

/// Logs and counts a failed request.
pub fn record(entry: &Entry, failure: &Failure, id: &str) {
    let unproved = (UNPROVED.to_owned(), UNPROVED.to_owned());
    let (team, class) = failure.caller.clone().unwrap_or(unproved);
    info!(entry.node.log, "request failed"; "request" => id, "team" => &team, "class" => &class,
        "kind" => failure.kind.name(), "ran" => failure.kind.ran().name());
    let ending = Ending {
        team,
        class,
        outcome: failure.kind.name(),
    };
    entry.node.metrics.requests.get_or_create(&ending).inc();
}

fn proves(request: &Request, team: &Team) -> bool {
    let token = request
        .header("authorization")
        .and_then(|it| it.strip_prefix("Bearer "));
    let wanted = blake3::Hash::from_hex(&team.token_digest);
    // Comparing hashes takes the same time wherever they differ.
    matches!((token, wanted), (Some(token), Ok(wanted)) if blake3::hash(token.as_bytes()) == wanted)
}
