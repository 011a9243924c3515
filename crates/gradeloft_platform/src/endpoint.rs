//! Clients for the endpoints behind agents: model engines and plain services.

use std::time::Duration;

use awc::http::{Method, header};
use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use futures_util::{
    FutureExt, StreamExt, future,
    stream::{self, LocalBoxStream},
};
use gradeloft_wire::{
    border::platform::{EngineEnd, EngineRequest, EngineState, EngineToken, Order},
    id::{Digest, RequestId},
};

use crate::{
    CallFuture, Fault,
    http::{
        BaseClient, ConnectionReuse, check_framing, error_for_status, requested_pause, send_error,
    },
};

/// Header with the request id, sent to an endpoint and echoed in its response.
pub const REQUEST_ID: &str = "x-request-id";
/// Name of the server-sent event that ends a generation.
const END_EVENT: &str = "end";

/// An event of a generation stream.
#[derive(Clone, Debug, PartialEq)]
pub enum GenerationEvent {
    /// A token.
    Token(EngineToken),
    /// The end of a complete generation.
    End(EngineEnd),
}

/// Events of a generation as they arrive; dropping the stream cancels the request.
pub type GenerationStream = LocalBoxStream<'static, Result<GenerationEvent, Fault>>;

/// A response of a plain service; dropping the body ends the call.
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if the header is missing.
    pub content_type: String,
    /// Request id that the endpoint echoed, if any.
    pub echoed_id: Option<RequestId>,
    /// Pause that the service asks for when it refuses the request.
    pub pause: Option<Duration>,
    /// Body, streamed as it arrives.
    pub body: LocalBoxStream<'static, Result<Bytes, Fault>>,
}

/// A request to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceRequest {
    /// Request id, which the endpoint echoes.
    pub id: RequestId,
    /// HTTP method.
    pub method: String,
    /// Path and query, with the leading slash.
    pub path: String,
    /// Content type; empty if the header is missing.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Interface of a model engine to its agent.
pub trait Engine {
    /// Returns the weights that the engine serves and its load.
    fn state(&self) -> CallFuture<'_, EngineState>;
    /// Stages content for a later load order.
    fn stage(&self, digest: Digest, content: Bytes) -> CallFuture<'_, ()>;
    /// Returns the digests of the staged content.
    fn staged(&self) -> CallFuture<'_, Vec<Digest>>;
    /// Sends an order; [`Fault::Refused`] if its fence is stale or content is missing.
    fn order<'a>(&'a self, order: &'a Order) -> CallFuture<'a, ()>;
    /// Starts a generation; [`Fault::Refused`] and [`Fault::Limited`] mean that nothing ran.
    fn generate<'a>(&'a self, request: &'a EngineRequest) -> CallFuture<'a, GenerationStream>;
}

/// Interface of a plain service to its agent.
pub trait Service {
    /// Sends a request once, on a new connection.
    fn call(&self, request: ServiceRequest) -> CallFuture<'_, ServiceResponse>;
    /// Checks that the service responds to a health check.
    fn check_health(&self) -> CallFuture<'_, ()>;
}

/// A client of an engine over HTTP.
#[derive(Clone)]
pub struct HttpEngine(BaseClient);

impl HttpEngine {
    /// Creates a client of the engine at a base URL; `timeout` limits the time to the response
    /// head.
    pub fn new(url: &str, timeout: Duration) -> HttpEngine {
        HttpEngine(BaseClient::new(url, timeout, ConnectionReuse::KeepAlive))
    }
}

impl Engine for HttpEngine {
    fn state(&self) -> CallFuture<'_, EngineState> {
        async move { self.0.get("/v1/state").await }.boxed_local()
    }

    fn stage(&self, digest: Digest, content: Bytes) -> CallFuture<'_, ()> {
        async move {
            let url = self.0.url(&format!("/v1/content/{digest}"));
            let connections = self.0.connections();
            let request = connections.client().put(url);
            let res = connections.response(request.send_body(content)).await?;
            error_for_status(res).await.map(|_| ())
        }
        .boxed_local()
    }

    fn staged(&self) -> CallFuture<'_, Vec<Digest>> {
        async move {
            let digests: Vec<String> = self.0.get("/v1/content").await?;
            digests
                .iter()
                .map(|it| it.parse().map_err(|_| Fault::Malformed))
                .collect()
        }
        .boxed_local()
    }

    fn order<'a>(&'a self, order: &'a Order) -> CallFuture<'a, ()> {
        async move {
            let connections = self.0.connections();
            let request = connections.client().post(self.0.url("/v1/orders"));
            let res = connections.response(request.send_json(order)).await?;
            error_for_status(res).await.map(|_| ())
        }
        .boxed_local()
    }

    fn generate<'a>(&'a self, request: &'a EngineRequest) -> CallFuture<'a, GenerationStream> {
        async move {
            let connections = self.0.connections();
            let call = connections.client().post(self.0.url("/v1/generate"));
            let res = connections.response(call.send_json(request)).await?;
            let events = error_for_status(res).await?.eventsource();
            let events =
                events.map(|it| it.map_err(|_| Fault::Lost).and_then(|it| decode_event(&it)));
            Ok(events.boxed_local())
        }
        .boxed_local()
    }
}

fn decode_event(event: &Event) -> Result<GenerationEvent, Fault> {
    let parsed = if event.event == END_EVENT {
        serde_json::from_str(&event.data).map(GenerationEvent::End)
    } else {
        serde_json::from_str(&event.data).map(GenerationEvent::Token)
    };
    parsed.map_err(|_| Fault::Malformed)
}

/// A client of a plain service over HTTP.
#[derive(Clone)]
pub struct HttpService(BaseClient);

impl HttpService {
    /// Creates a client of the service at a base URL; `timeout` limits the time to the response
    /// head.
    pub fn new(url: &str, timeout: Duration) -> HttpService {
        HttpService(BaseClient::new(url, timeout, ConnectionReuse::PerCall))
    }
}

impl Service for HttpService {
    fn call(&self, request: ServiceRequest) -> CallFuture<'_, ServiceResponse> {
        async move {
            let method = Method::from_bytes(request.method.as_bytes());
            let method = method.map_err(|_| Fault::Unreachable)?;
            let mut call = self
                .0
                .connections()
                .client()
                .request(method.clone(), self.0.url(&request.path))
                .insert_header((REQUEST_ID, request.id.to_string()));
            if !request.content_type.is_empty() {
                call = call.insert_header((header::CONTENT_TYPE, request.content_type));
            }
            let res = call.send_body(request.body).await.map_err(send_error)?;
            let header_text = |name: &str| {
                res.headers()
                    .get(name)
                    .and_then(|it| it.to_str().ok())
                    .unwrap_or_default()
            };
            let echoed_id = header_text(REQUEST_ID).parse().ok();
            let content_type = header_text(header::CONTENT_TYPE.as_str()).to_owned();
            let status = res.status().as_u16();
            let pause = requested_pause(&res);
            // The status and the headers are whole in any case.
            let body = match check_framing(&method, &res) {
                Ok(()) => res.map(|it| it.map_err(|_| Fault::Lost)).boxed_local(),
                Err(fault) => stream::once(future::ready(Err(fault))).boxed_local(),
            };
            Ok(ServiceResponse {
                status,
                content_type,
                echoed_id,
                pause,
                body,
            })
        }
        .boxed_local()
    }

    fn check_health(&self) -> CallFuture<'_, ()> {
        async move {
            let connections = self.0.connections();
            let request = connections.client().get(self.0.url("/healthz"));
            let res = connections.response(request.send()).await?;
            error_for_status(res).await.map(|_| ())
        }
        .boxed_local()
    }
}
