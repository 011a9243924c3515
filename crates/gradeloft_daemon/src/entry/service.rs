//! Calls to services.

use std::{io, rc::Rc};

use bytes::Bytes;
use futures_util::stream;
use gradeloft_http::message::{HttpResponse, Request, stream as streamed, with_header};
use gradeloft_policy::{rendezvous, request::retry};
use gradeloft_wire::{
    border::bundle::Service,
    error::Kind,
    frame::{Job, Repeat, Reply},
};
use slog::info;

use super::{
    Entry, InFlightGuard,
    api::{self, Context, Failure},
    dispatch::{self, ReplyStream, Target},
};
use crate::metrics::{self, Caller, RequestOutcome};

/// Header with the caller's idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header that states whether the call may run more than once: `yes` or `no`.
const REPEATABLE: &str = "x-repeatable";
const MAX_KEY_BYTES: usize = 256;

/// Responds to a call with the response of the service.
pub async fn respond(
    entry: &Rc<Entry>,
    request: &Request,
    id: &str,
    team: &str,
    service: &str,
    rest: &[&str],
) -> Result<HttpResponse, Failure> {
    let (context, job) = parse(entry, request, id, team, service, rest)?;
    let fail = |kind: Kind| Failure::from(kind).for_caller(&context);
    let now = entry.node.clock.now();
    entry
        .limits
        .borrow_mut()
        .admit(&context.team.name, 0.0, now)
        .map_err(fail)?;
    let (repeat, key_hash) = match &job {
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
    let target = Target::Service(service.to_owned(), key_hash);
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
    let body = stream::unfold(
        Some(relay),
        |relay| async move { relay?.next_chunk().await },
    );
    let response = streamed(status, &content_type, body);
    Ok(with_header(response, api::REQUEST_ID, id))
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
    let context = api::authenticate(&entry.node, bundle, request, id, team)?;
    let known = bundle.services.iter().find(|it| it.name == service);
    let allowed = context.team.services.iter().any(|it| it == service);
    let Some(definition) = known.filter(|_| allowed) else {
        let kind = if known.is_some() {
            Kind::Forbidden
        } else {
            Kind::NotFound
        };
        return Err(Failure::with_detail(kind, format!("service {service}")).for_caller(&context));
    };
    let body = api::body(request).map_err(|it| it.for_caller(&context))?;
    let path = format!("/{}", rest.join("/"));
    let repeat = repeat_policy(request, definition, &path).map_err(|it| it.for_caller(&context))?;
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

/// Returns whether a call may run more than once. The bundle and the caller can forbid it.
/// Otherwise the caller can allow it; by default it is allowed for the idempotent HTTP methods.
fn repeat_policy(request: &Request, service: &Service, path: &str) -> Result<Repeat, Failure> {
    let at_most_once = service
        .at_most_once
        .iter()
        .any(|it| it.method.eq_ignore_ascii_case(&request.method) && path.starts_with(&it.path));
    let idempotent = matches!(
        request.method.as_str(),
        "DELETE" | "GET" | "HEAD" | "OPTIONS" | "PUT"
    );
    let allowed = match request.header(REPEATABLE) {
        Some("no") => false,
        Some("yes") => !at_most_once,
        None => !at_most_once && idempotent,
        Some(_) => {
            let detail = format!("{REPEATABLE}: yes or no are allowed");
            return Err(Failure::with_detail(Kind::BadRequest, detail));
        }
    };
    if allowed {
        return Ok(Repeat::Allowed);
    }
    match request.header(IDEMPOTENCY_KEY) {
        Some(key) if key.is_empty() || MAX_KEY_BYTES < key.len() => {
            let detail = format!("{IDEMPOTENCY_KEY}: 1 to {MAX_KEY_BYTES} characters are allowed");
            Err(Failure::with_detail(Kind::BadRequest, detail))
        }
        Some(key) => Ok(Repeat::Key(key.to_owned())),
        None => Ok(Repeat::Never),
    }
}

/// Relay of a service's response to the caller. Dropping it cancels the call.
struct Relay {
    entry: Rc<Entry>,
    context: Context,
    service: String,
    stream: ReplyStream,
    outcome: &'static str,
    _guard: InFlightGuard,
}

type NextChunk = Option<(Result<Bytes, io::Error>, Option<Relay>)>;

impl Relay {
    fn new(entry: &Rc<Entry>, context: Context, service: &str, stream: ReplyStream) -> Relay {
        Relay {
            entry: Rc::clone(entry),
            context,
            service: service.to_owned(),
            stream,
            outcome: "cancelled",
            _guard: InFlightGuard::new(entry),
        }
    }

    async fn next_chunk(mut self) -> NextChunk {
        match self.stream.next().await {
            Ok(Some(Reply::Piece { data, .. })) => Some((Ok(Bytes::from(data)), Some(self))),
            Ok(Some(Reply::End { .. })) => {
                self.outcome = "ok";
                None
            }
            Ok(_) => self.abort(Kind::Mismatch),
            Err(kind) => self.abort(kind),
        }
    }

    /// Aborts the body: the status is already sent, so only this shows that the body is incomplete.
    fn abort(&mut self, kind: Kind) -> NextChunk {
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
        let elapsed = node.clock.now().since(self.context.started);
        metrics::observe(&node.metrics.whole_answer, &caller, elapsed);
        info!(node.log, "request done"; "request" => &self.context.id, "team" => &team,
            "class" => &class, "service" => &self.service, "replica" => &self.stream.replica,
            "outcome" => self.outcome, "ms" => elapsed.as_millis() as u64);
        let outcome_labels = RequestOutcome {
            team,
            class,
            outcome: self.outcome,
        };
        node.metrics.requests.get_or_create(&outcome_labels).inc();
    }
}
