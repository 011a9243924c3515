//! Generate requests at the engine.

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

/// Runs a generate request and relays its tokens, each checked to be the next one of this request
/// and of the pinned version.
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
    agent.live_in(prompt.len());
    let starting = timeout(agent.node.clock.until(deadline), engine.generate(&request));
    let generation = match starting.await {
        Ok(result) => result.map_err(|it| kind(&it))?,
        Err(_) => return Err(Kind::Deadline),
    };
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
            let patience: Duration = left.min(self.agent.node.idle_timeout());
            match timeout(patience, generation.next()).await {
                Ok(Some(Ok(GenerationEvent::Token(token)))) => {
                    self.owns(&token.request_id)?;
                    self.token(&token.version, token.seq, token.text).await?;
                }
                Ok(Some(Ok(GenerationEvent::End(end)))) => {
                    self.owns(&end.request_id)?;
                    return self.end(&end.version, end.count).await;
                }
                Ok(Some(Err(fault))) => return Err(self.cut(kind(&fault))),
                Ok(None) => return Err(self.cut(Kind::ReplyLost)),
                Err(_) if left <= patience => return Err(Kind::Deadline),
                Err(_) => return Err(self.cut(Kind::ReplyLost)),
            }
        }
    }

    fn owns(&self, echo: &str) -> Result<(), Kind> {
        let own = echo.parse() == Ok(self.request);
        if own { Ok(()) } else { Err(Kind::Mismatch) }
    }

    async fn token(&mut self, version: &str, seq: u64, text: String) -> Result<(), Kind> {
        let data = text.into_bytes();
        self.checker.accept_piece(version, seq, &data)?;
        self.agent.live_out(data.len());
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

    async fn end(&mut self, version: &str, count: u64) -> Result<(), Kind> {
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

    fn cut(&self, kind: Kind) -> Kind {
        if self.checker.has_started() {
            Kind::Cut
        } else {
            kind
        }
    }
}

/// The error kind of a failed call to an endpoint.
pub fn kind(fault: &Fault) -> Kind {
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
    /// Live bytes came in over the instance's link.
    pub(super) fn live_in(&self, bytes: usize) {
        let now = self.node.clock.now();
        self.pace_in.borrow_mut().record_live(bytes as u64, now);
    }

    /// Live bytes went out over the instance's link.
    pub(super) fn live_out(&self, bytes: usize) {
        let now = self.node.clock.now();
        self.pace_out.borrow_mut().record_live(bytes as u64, now);
    }
}
