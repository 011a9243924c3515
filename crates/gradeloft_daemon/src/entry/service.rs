//! Calls to plain services.

use std::{io, rc::Rc};

use bytes::Bytes;
use futures_util::stream;
use gradeloft_http::message::{Answer, Request, stream as streamed, with_header};
use gradeloft_policy::{rendezvous, request::retry};
use gradeloft_wire::{
    border::bundle::Service,
    error::Kind,
    frame::{Job, Repeat, Reply},
};
use slog::info;

use super::{
    Entry, Running,
    border::{self, Context, Failure},
    dispatch::{self, Stream, Target},
};
use crate::metrics::{self, Caller, Ending};

/// Header with the caller's idempotency key.
const KEY: &str = "idempotency-key";
/// Header by which a caller says whether the call may run more than once: `yes` or `no`.
const REPEATABLE: &str = "x-repeatable";
const LONGEST_KEY: usize = 256;

/// Answers a call to a service with the service's own answer.
pub async fn answer(
    entry: &Rc<Entry>,
    request: &Request,
    id: &str,
    team: &str,
    service: &str,
    rest: &[&str],
) -> Result<Answer, Failure> {
    let (context, job) = parse(entry, request, id, team, service, rest)?;
    let fail = |kind: Kind| Failure::from(kind).of(&context);
    let now = entry.node.clock.now();
    entry
        .limits
        .borrow_mut()
        .admit(&context.team.name, 0.0, now)
        .map_err(fail)?;
    let (repeat, home) = match &job {
        Job::Service {
            repeat: Repeat::Allowed,
            ..
        } => (retry::Repeat::Allowed, None),
        Job::Service {
            repeat: Repeat::Key(key),
            ..
        } => (retry::Repeat::Never, Some(rendezvous::hash(key.as_bytes()))),
        _ => (retry::Repeat::Never, None),
    };
    let target = Target::Service(service.to_owned(), home);
    let stream = dispatch::dispatch(entry, &context, &target, job, repeat).await;
    let mut stream = stream.map_err(fail)?;
    let head = stream.next().await.map_err(fail)?;
    let Some(Reply::Head {
        status,
        content_type,
        ..
    }) = head
    else {
        return Err(fail(Kind::Mismatch));
    };
    let relay = Relay::new(entry, context, service, stream);
    let body = stream::unfold(Some(relay), |relay| async move { relay?.step().await });
    let answer = streamed(status, &content_type, body);
    Ok(with_header(answer, border::REQUEST_ID, id))
}

fn parse(
    entry: &Entry,
    request: &Request,
    id: &str,
    team: &str,
    service: &str,
    rest: &[&str],
) -> Result<(Context, Job), Failure> {
    let chain = entry.node.chain.borrow();
    let bundle = &chain.head().ok_or(Kind::Starting)?.bundle;
    let context = border::context(&entry.node, bundle, request, id, team)?;
    let known = bundle.services.iter().find(|it| it.name == service);
    let allowed = context.team.services.iter().any(|it| it == service);
    let Some(described) = known.filter(|_| allowed) else {
        let kind = if known.is_some() {
            Kind::Forbidden
        } else {
            Kind::NotFound
        };
        return Err(Failure::because(kind, format!("service {service}")).of(&context));
    };
    let body = border::body(request).map_err(|it| it.of(&context))?;
    let path = format!("/{}", rest.join("/"));
    let repeat = repeat(request, described, &path).map_err(|it| it.of(&context))?;
    let query = if request.query.is_empty() {
        String::new()
    } else {
        format!("?{}", request.query)
    };
    let job = Job::Service {
        service: service.to_owned(),
        method: request.method.clone(),
        path: path + &query,
        content_type: request
            .header("content-type")
            .unwrap_or_default()
            .to_owned(),
        body: body.to_vec(),
        repeat,
    };
    Ok((context, job))
}

/// Whether a call may run more than once: not if the bundle or the caller says so, else as the
/// HTTP standard has it for the method.
fn repeat(request: &Request, service: &Service, path: &str) -> Result<Repeat, Failure> {
    let marked = service
        .at_most_once
        .iter()
        .any(|it| it.method.eq_ignore_ascii_case(&request.method) && path.starts_with(&it.path));
    let idempotent = matches!(
        request.method.as_str(),
        "DELETE" | "GET" | "HEAD" | "OPTIONS" | "PUT"
    );
    let allowed = match request.header(REPEATABLE) {
        Some("no") => false,
        Some("yes") => !marked,
        None => !marked && idempotent,
        Some(_) => {
            let detail = format!("{REPEATABLE}: yes or no are allowed");
            return Err(Failure::because(Kind::BadRequest, detail));
        }
    };
    if allowed {
        return Ok(Repeat::Allowed);
    }
    match request.header(KEY) {
        Some(key) if key.is_empty() || LONGEST_KEY < key.len() => {
            let detail = format!("{KEY}: 1 to {LONGEST_KEY} characters are allowed");
            Err(Failure::because(Kind::BadRequest, detail))
        }
        Some(key) => Ok(Repeat::Key(key.to_owned())),
        None => Ok(Repeat::Never),
    }
}

/// A service's answer on its way to the caller; dropping it cancels the call.
struct Relay {
    entry: Rc<Entry>,
    context: Context,
    service: String,
    stream: Stream,
    outcome: &'static str,
    _running: Running,
}

type Step = Option<(Result<Bytes, io::Error>, Option<Relay>)>;

impl Relay {
    fn new(entry: &Rc<Entry>, context: Context, service: &str, stream: Stream) -> Relay {
        Relay {
            entry: Rc::clone(entry),
            context,
            service: service.to_owned(),
            stream,
            outcome: "cancelled",
            _running: Running::new(entry),
        }
    }

    async fn step(mut self) -> Step {
        match self.stream.next().await {
            Ok(Some(Reply::Piece { data, .. })) => Some((Ok(Bytes::from(data)), Some(self))),
            Ok(Some(Reply::End { .. })) => {
                self.outcome = "ok";
                None
            }
            Ok(_) => self.broken(Kind::Mismatch),
            Err(kind) => self.broken(kind),
        }
    }

    /// The status has gone out: breaking off the body tells the caller that it is not whole.
    fn broken(&mut self, kind: Kind) -> Step {
        self.outcome = kind.name();
        Some((Err(io::Error::other(kind.name())), None))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let node = &self.entry.node;
        let (team, class) = (
            self.context.team.name.clone(),
            self.context.class_name.clone(),
        );
        let caller = Caller {
            team: team.clone(),
            class: class.clone(),
        };
        let whole = node.clock.now().since(self.context.started);
        metrics::observe(&node.metrics.whole_answer, &caller, whole);
        info!(node.log, "request done"; "request" => &self.context.id, "team" => &team,
            "class" => &class, "service" => &self.service, "replica" => &self.stream.replica,
            "outcome" => self.outcome, "ms" => whole.as_millis() as u64);
        let ending = Ending {
            team,
            class,
            outcome: self.outcome,
        };
        node.metrics.requests.get_or_create(&ending).inc();
    }
}
