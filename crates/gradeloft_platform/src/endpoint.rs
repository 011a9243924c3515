//! The endpoints beside agents: model engines and plain services.

use std::time::Duration;

use awc::http::{Method, header};
use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use futures_util::{FutureExt, StreamExt, stream::LocalBoxStream};
use gradeloft_wire::{
    border::platform::{EngineEnd, EngineRequest, EngineState, EngineToken, Order},
    id::{Digest, RequestId},
};

use crate::{
    CallFuture, Fault,
    http::{BaseClient, ConnectionReuse, error_for_status, send_error},
};

/// Header that carries a request's id to an endpoint and back.
pub const REQUEST_ID: &str = "x-request-id";
const END_EVENT: &str = "end";

/// One event of a generated answer.
#[derive(Clone, Debug, PartialEq)]
pub enum GenerationEvent {
    /// A token.
    Token(EngineToken),
    /// The end of a whole answer.
    End(EngineEnd),
}

/// A generated answer as it comes; dropping it cancels the request.
pub type GenerationStream = LocalBoxStream<'static, Result<GenerationEvent, Fault>>;

/// A service's answer; dropping the body ends the call.
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty for none.
    pub content_type: String,
    /// The id that the endpoint echoes, if it does.
    pub echoed_id: Option<RequestId>,
    /// Body as it comes.
    pub body: LocalBoxStream<'static, Result<Bytes, Fault>>,
}

/// A call to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceRequest {
    /// Id to echo.
    pub id: RequestId,
    /// HTTP method.
    pub method: String,
    /// Path and query; begins with a slash.
    pub path: String,
    /// Content type; empty for none.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// A model engine, as its agent uses it.
pub trait Engine {
    /// What it serves and how busy it is.
    fn state(&self) -> CallFuture<'_, EngineState>;
    /// Hands over content that a later order loads.
    fn stage(&self, digest: Digest, content: Bytes) -> CallFuture<'_, ()>;
    /// Digests of the content that it holds.
    fn staged(&self) -> CallFuture<'_, Vec<Digest>>;
    /// Gives an order; [`Fault::Refused`] when its fence is stale or content is missing.
    fn order<'a>(&'a self, order: &'a Order) -> CallFuture<'a, ()>;
    /// Starts to generate; [`Fault::Refused`] and [`Fault::Limited`] mean that nothing ran.
    fn generate<'a>(&'a self, request: &'a EngineRequest) -> CallFuture<'a, GenerationStream>;
}

/// A plain service, as its agent uses it.
pub trait Service {
    /// Calls it once, on a connection of its own.
    fn call(&self, request: ServiceRequest) -> CallFuture<'_, ServiceResponse>;
    /// Whether it answers at all.
    fn check_health(&self) -> CallFuture<'_, ()>;
}

/// An engine over HTTP.
#[derive(Clone)]
pub struct HttpEngine(BaseClient);

impl HttpEngine {
    /// An engine at a base URL.
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
            let res = self
                .0
                .client()
                .put(url)
                .send_body(content)
                .await
                .map_err(send_error)?;
            error_for_status(res).await.map(|_| ())
        }
        .boxed_local()
    }

    fn staged(&self) -> CallFuture<'_, Vec<Digest>> {
        async move {
            let names: Vec<String> = self.0.get("/v1/content").await?;
            names
                .iter()
                .map(|it| it.parse().map_err(|_| Fault::Malformed))
                .collect()
        }
        .boxed_local()
    }

    fn order<'a>(&'a self, order: &'a Order) -> CallFuture<'a, ()> {
        async move {
            let request = self.0.client().post(self.0.url("/v1/orders"));
            let res = request.send_json(order).await.map_err(send_error)?;
            error_for_status(res).await.map(|_| ())
        }
        .boxed_local()
    }

    fn generate<'a>(&'a self, request: &'a EngineRequest) -> CallFuture<'a, GenerationStream> {
        async move {
            let call = self.0.client().post(self.0.url("/v1/generate"));
            let res = call.send_json(request).await.map_err(send_error)?;
            let events = error_for_status(res).await?.eventsource();
            let events = events.map(|it| it.map_err(|_| Fault::Lost).and_then(|it| event(&it)));
            Ok(events.boxed_local())
        }
        .boxed_local()
    }
}

fn event(event: &Event) -> Result<GenerationEvent, Fault> {
    let parsed = if event.event == END_EVENT {
        serde_json::from_str(&event.data).map(GenerationEvent::End)
    } else {
        serde_json::from_str(&event.data).map(GenerationEvent::Token)
    };
    parsed.map_err(|_| Fault::Malformed)
}

/// A plain service over HTTP.
#[derive(Clone)]
pub struct HttpService(BaseClient);

impl HttpService {
    /// A service at a base URL.
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
                .client()
                .request(method, self.0.url(&request.path))
                .insert_header((REQUEST_ID, request.id.to_string()));
            if !request.content_type.is_empty() {
                call = call.insert_header((header::CONTENT_TYPE, request.content_type));
            }
            let res = call.send_body(request.body).await.map_err(send_error)?;
            let text = |name: &str| {
                res.headers()
                    .get(name)
                    .and_then(|it| it.to_str().ok())
                    .unwrap_or_default()
            };
            let echoed_id = text(REQUEST_ID).parse().ok();
            let content_type = text(header::CONTENT_TYPE.as_str()).to_owned();
            let status = res.status().as_u16();
            let body = res.map(|it| it.map_err(|_| Fault::Lost)).boxed_local();
            Ok(ServiceResponse {
                status,
                content_type,
                echoed_id,
                body,
            })
        }
        .boxed_local()
    }

    fn check_health(&self) -> CallFuture<'_, ()> {
        async move {
            let res = self
                .0
                .client()
                .get(self.0.url("/healthz"))
                .send()
                .await
                .map_err(send_error)?;
            error_for_status(res).await.map(|_| ())
        }
        .boxed_local()
    }
}
