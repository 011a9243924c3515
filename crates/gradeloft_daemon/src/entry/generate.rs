//! Streamed generate requests.

use std::{collections::BTreeMap, io, rc::Rc};

use bytes::Bytes;
use futures_util::stream;
use gradeloft_http::message::{HttpResponse, Request, stream as streamed, with_header};
use gradeloft_policy::{
    clock::Time, rendezvous, request::retry::Repeat, version::rollout::ServedVersion,
};
use gradeloft_wire::{
    border::{
        caller::{End, Generate, Token},
        platform::InstanceRole,
    },
    error::Kind,
    frame::{Job, Pin, Reply},
};
use serde::Serialize;
use slog::info;

use super::{
    Entry, InFlightGuard,
    api::{self, Context, Failure},
    dispatch::{self, ReplyStream, Target},
};
use crate::metrics::{self, Caller, RequestOutcome};

/// Number of bytes of a prompt that are hashed as its prefix to select a replica.
const PREFIX_BYTES: usize = 256;
/// Estimated bytes per prompt token, for admission.
const BYTES_PER_TOKEN: f64 = 4.0;
const MAX_TOKENS: u32 = 1_000_000;

/// Responds to a generate request with server-sent events: `token`s, then `end` or `error`.
pub async fn respond(
    entry: &Rc<Entry>,
    request: &Request,
    id: &str,
    team: &str,
    model: &str,
) -> Result<HttpResponse, Failure> {
    let (context, generate) = parse(entry, request, id, team, model)?;
    let fail = |kind: Kind| Failure::from(kind).for_caller(&context);
    let adapter = generate.adapter.clone();
    let required = entry.ready_required();
    let version = entry.pin_version(&context, model, adapter.as_ref(), required);
    let pin = Pin {
        model: model.to_owned(),
        adapter,
        version: version.ok_or_else(|| fail(Kind::NoReplica))?,
    };
    let now = entry.node.clock.now();
    let prompt_tokens = generate.prompt.len() as f64 / BYTES_PER_TOKEN;
    let admitted = entry
        .limits
        .borrow_mut()
        .admit(&context.team.name, prompt_tokens, now);
    admitted.map_err(fail)?;
    let target = Target::Weights(pin.clone(), prefix_hash(&pin, &generate.prompt));
    let job = Job::Generate {
        pin: pin.clone(),
        prompt: generate.prompt,
        max_tokens: generate.max_tokens,
    };
    let stream = dispatch::dispatch(entry, &context, &target, job, Repeat::Allowed).await;
    let stream = stream.map_err(fail)?;
    let relay = Relay::new(entry, context, pin, stream);
    let body = stream::unfold(
        Some(relay),
        |relay| async move { relay?.next_event().await },
    );
    let response = streamed(200, "text/event-stream", body);
    Ok(with_header(response, api::REQUEST_ID, id))
}

fn parse(
    entry: &Entry,
    request: &Request,
    id: &str,
    team: &str,
    model: &str,
) -> Result<(Context, Generate), Failure> {
    let chain = entry.node.chain.borrow();
    let bundle = &chain.head().ok_or(Kind::Starting)?.bundle;
    let context = api::authenticate(&entry.node, bundle, request, id, team)?;
    let bad_request =
        |detail: String| Failure::with_detail(Kind::BadRequest, detail).for_caller(&context);
    if !context.team.models.iter().any(|it| it == model) {
        let exists = bundle.models.iter().any(|it| it.name == model);
        let kind = if exists {
            Kind::Forbidden
        } else {
            Kind::NotFound
        };
        return Err(Failure::with_detail(kind, format!("model {model}")).for_caller(&context));
    }
    let body = api::body(request).map_err(|it| it.for_caller(&context))?;
    let generate: Generate =
        serde_json::from_slice(body).map_err(|it| bad_request(it.to_string()))?;
    if !(1..=MAX_TOKENS).contains(&generate.max_tokens) {
        return Err(bad_request(format!(
            "max_tokens: 1 to {MAX_TOKENS} are allowed"
        )));
    }
    let adapters = bundle
        .models
        .iter()
        .filter(|it| it.name == model)
        .flat_map(|it| &it.adapters);
    if let Some(adapter) = &generate.adapter
        && !adapters.clone().any(|it| it.name == *adapter)
    {
        return Err(
            Failure::with_detail(Kind::NotFound, "adapter: no such one").for_caller(&context)
        );
    }
    Ok((context, generate))
}

fn prefix_hash(pin: &Pin, prompt: &str) -> u64 {
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    rendezvous::score(
        rendezvous::hash(prefix),
        rendezvous::hash(pin.version.as_bytes()),
    )
}

impl Entry {
    fn ready_required(&self) -> u32 {
        let chain = self.node.chain.borrow();
        let rollout = chain.head().and_then(|it| it.bundle.rollout.as_ref());
        rollout.map_or(1, |it| it.ready_required)
    }

    /// Selects the version that a request is pinned to.
    fn pin_version(
        &self,
        context: &Context,
        model: &str,
        adapter: Option<&String>,
        required: u32,
    ) -> Option<String> {
        let now = self.node.clock.now();
        let membership = self.node.membership.borrow();
        let mut serving: BTreeMap<&str, u32> = BTreeMap::new();
        for (_, peer) in membership.of(InstanceRole::Agent) {
            let usable = peer.accepts_work(now) && context.may_use_zone(&peer.instance.zone);
            let pins = peer
                .notice
                .iter()
                .filter(|_| usable)
                .flat_map(|it| &it.serving);
            for pin in pins.filter(|it| it.model == model && it.adapter.as_ref() == adapter) {
                *serving.entry(&pin.version).or_default() += 1;
            }
        }
        let serving: Vec<ServedVersion> = serving
            .into_iter()
            .map(|(version, replicas)| ServedVersion {
                version: version.to_owned(),
                replicas,
            })
            .collect();
        let key = (model.to_owned(), adapter.cloned());
        self.pinners
            .borrow_mut()
            .get_mut(&key)?
            .pin(&serving, required)
    }
}

/// Relay of a streamed reply to the caller. Dropping it cancels the request.
struct Relay {
    entry: Rc<Entry>,
    context: Context,
    pin: Pin,
    stream: ReplyStream,
    tokens: u64,
    last_token_at: Time,
    outcome: &'static str,
    _guard: InFlightGuard,
}

type NextEvent = Option<(Result<Bytes, io::Error>, Option<Relay>)>;

impl Relay {
    fn new(entry: &Rc<Entry>, context: Context, pin: Pin, stream: ReplyStream) -> Relay {
        let caller = Caller {
            team: context.team.name.clone(),
            class: context.class_name.clone(),
        };
        let now = entry.node.clock.now();
        let waited = now.since(context.started);
        metrics::observe(&entry.node.metrics.first_token, &caller, waited);
        Relay {
            entry: Rc::clone(entry),
            context,
            pin,
            stream,
            tokens: 0,
            last_token_at: now,
            outcome: "cancelled",
            _guard: InFlightGuard::new(entry),
        }
    }

    async fn next_event(mut self) -> NextEvent {
        match self.stream.next().await {
            Ok(Some(Reply::Piece { seq, data, .. })) => {
                self.observe_token_gap();
                let text = String::from_utf8_lossy(&data).into_owned();
                Some((Ok(event("token", &Token { seq, text })), Some(self)))
            }
            Ok(Some(Reply::End { count, digest, .. })) => {
                let end = End {
                    request_id: self.context.id.clone(),
                    model: self.pin.model.clone(),
                    adapter: self.pin.adapter.clone(),
                    version: self.pin.version.clone(),
                    count,
                    digest: digest.to_string(),
                };
                self.outcome = "ok";
                Some((Ok(event("end", &end)), None))
            }
            Ok(_) => Some((Ok(self.error_event(Kind::Mismatch)), None)),
            Err(kind) => Some((Ok(self.error_event(kind)), None)),
        }
    }

    fn error_event(&mut self, kind: Kind) -> Bytes {
        self.outcome = kind.name();
        event("error", &api::error_body(&kind.into(), &self.context.id))
    }

    fn observe_token_gap(&mut self) {
        let now = self.entry.node.clock.now();
        if 0 < self.tokens {
            let gap = now.since(self.last_token_at);
            metrics::observe(
                &self.entry.node.metrics.between_tokens,
                &self.caller_labels(),
                gap,
            );
        }
        self.tokens += 1;
        self.last_token_at = now;
    }

    fn caller_labels(&self) -> Caller {
        Caller {
            team: self.context.team.name.clone(),
            class: self.context.class_name.clone(),
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let node = &self.entry.node;
        let now = node.clock.now();
        let Caller { team, class } = self.caller_labels();
        let elapsed = now.since(self.context.started);
        metrics::observe(&node.metrics.whole_answer, &self.caller_labels(), elapsed);
        self.entry
            .limits
            .borrow_mut()
            .charge(&team, self.tokens as f64, now);
        info!(node.log, "request done"; "request" => &self.context.id, "team" => &team,
            "class" => &class, "model" => &self.pin.model, "version" => &self.pin.version,
            "replica" => &self.stream.replica, "tokens" => self.tokens,
            "outcome" => self.outcome, "ms" => elapsed.as_millis() as u64);
        let outcome_labels = RequestOutcome {
            team,
            class,
            outcome: self.outcome,
        };
        node.metrics.requests.get_or_create(&outcome_labels).inc();
    }
}

fn event(name: &str, data: &impl Serialize) -> Bytes {
    let data = serde_json::to_string(data).unwrap_or_default();
    Bytes::from(format!("event: {name}\ndata: {data}\n\n"))
}
