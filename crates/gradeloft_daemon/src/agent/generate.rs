//! Generate requests to the engine.

use std::{rc::Rc, time::Duration};

use futures_util::StreamExt;
use gradeloft_platform::{
    Fault,
    endpoint::{Engine, GenerationEvent, GenerationStream},
};
use gradeloft_policy::request::response::ResponseChecker;
use gradeloft_wire::{
    border::platform::EngineRequest,
    error::Kind,
    frame::{Job, Reply, Work},
    id::RequestId,
};
use tokio::time::timeout;

use super::Agent;
use crate::transport::server::Outgoing;

const STREAM_TYPE: &str = "text/event-stream";

/// Runs a generate request and relays its tokens. Checks that each token is the next one of this
/// request and comes from the pinned version.
pub async fn run(
    agent: &Rc<Agent>,
    engine: &dyn Engine,
    work: &Work,
    outgoing: &Outgoing,
) -> Result<(), Kind> {
    let Job::Generate {
        pin,
        prompt,
        max_tokens,
    } = &work.job
    else {
        return Err(Kind::NotServing);
    };
    let deadline = agent.node.clock.now().after_ms(u64::from(work.deadline_ms));
    let request = EngineRequest {
        request_id: work.request.to_string(),
        model: pin.model.clone(),
        adapter: pin.adapter.clone(),
        version: pin.version.clone(),
        prompt: prompt.clone(),
        max_tokens: *max_tokens,
        priority: u32::from(work.class),
    };
    agent.record_live_in(prompt.len());
    let sent = agent.node.clock.now();
    let starting = timeout(agent.node.clock.until(deadline), engine.generate(&request));
    let generation = match starting.await {
        Ok(result) => result.map_err(|it| agent.refused_kind(&it))?,
        Err(_) => return Err(Kind::Deadline),
    };
    agent.endpoint_accepted(sent);
    let head = Reply::Head {
        request: work.request,
        status: 200,
        content_type: STREAM_TYPE.to_owned(),
    };
    outgoing.send(&head).await;
    let mut relay = Relay {
        agent,
        request: work.request,
        version: &pin.version,
        checker: ResponseChecker::new(work.request, &pin.version),
        outgoing,
    };
    relay.run(generation, deadline).await
}

struct Relay<'a> {
    agent: &'a Agent,
    request: RequestId,
    version: &'a str,
    checker: ResponseChecker,
    outgoing: &'a Outgoing,
}

impl Relay<'_> {
    async fn run(
        &mut self,
        mut generation: GenerationStream,
        deadline: gradeloft_policy::clock::Time,
    ) -> Result<(), Kind> {
        loop {
            let left = self.agent.node.clock.until(deadline);
            let wait_limit: Duration = left.min(self.agent.node.idle_timeout());
            match timeout(wait_limit, generation.next()).await {
                Ok(Some(Ok(GenerationEvent::Token(token)))) => {
                    self.check_echo(&token.request_id)?;
                    self.relay_token(&token.version, token.seq, token.text)
                        .await?;
                }
                Ok(Some(Ok(GenerationEvent::End(end)))) => {
                    self.check_echo(&end.request_id)?;
                    return self.relay_end(&end.version, end.count).await;
                }
                Ok(Some(Err(fault))) => return Err(self.interrupted(error_kind(&fault))),
                Ok(None) => return Err(self.interrupted(Kind::ReplyLost)),
                Err(_) if left <= wait_limit => return Err(Kind::Deadline),
                Err(_) => return Err(self.interrupted(Kind::ReplyLost)),
            }
        }
    }

    fn check_echo(&self, echo: &str) -> Result<(), Kind> {
        let own = echo.parse() == Ok(self.request);
        if own { Ok(()) } else { Err(Kind::Mismatch) }
    }

    async fn relay_token(&mut self, version: &str, seq: u64, text: String) -> Result<(), Kind> {
        let data = text.into_bytes();
        self.checker.accept_piece(version, seq, &data)?;
        self.agent.record_live_out(data.len());
        let request = self.request;
        let piece = Reply::Piece {
            request,
            version: version.to_owned(),
            seq,
            data,
        };
        self.outgoing.send(&piece).await;
        Ok(())
    }

    async fn relay_end(&mut self, version: &str, count: u64) -> Result<(), Kind> {
        let (seen, digest) = self.checker.totals();
        if version != self.version || count != seen {
            return Err(Kind::Mismatch);
        }
        let request = self.request;
        let end = Reply::End {
            request,
            version: version.to_owned(),
            count,
            digest,
        };
        self.outgoing.send(&end).await;
        Ok(())
    }

    /// Returns the error kind for an interrupted response: `kind` if no token was relayed.
    fn interrupted(&self, kind: Kind) -> Kind {
        if self.checker.has_started() {
            Kind::Cut
        } else {
            kind
        }
    }
}

/// Returns the error kind for a failed call to an endpoint.
pub fn error_kind(fault: &Fault) -> Kind {
    match fault {
        Fault::Limited { .. } | Fault::Refused(_) => Kind::EndpointRefused,
        Fault::Broken | Fault::Lost => Kind::ReplyLost,
        Fault::Malformed | Fault::Missing | Fault::Status(_) | Fault::TooLarge => {
            Kind::EndpointFailed
        }
        Fault::Unreachable => Kind::Unreachable,
    }
}

impl Agent {
    /// Returns the error kind for a refused or failed call to the endpoint, and keeps the pause that
    /// the endpoint asked for.
    fn refused_kind(self: &Rc<Agent>, fault: &Fault) -> Kind {
        if let Fault::Limited { retry_after_ms } = fault {
            self.pause_endpoint(Duration::from_millis(*retry_after_ms));
        }
        error_kind(fault)
    }

    /// Records bytes of live requests that came in over the instance's link.
    pub(super) fn record_live_in(&self, bytes: usize) {
        let now = self.node.clock.now();
        self.download_pacer
            .borrow_mut()
            .record_live(bytes as u64, now);
    }

    /// Records bytes of live requests that went out over the instance's link.
    pub(super) fn record_live_out(&self, bytes: usize) {
        let now = self.node.clock.now();
        self.upload_pacer
            .borrow_mut()
            .record_live(bytes as u64, now);
    }
}
