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
    Answer, Fault,
    http::{Base, Reuse, sent, success},
};

/// Header that carries a request's id to an endpoint and back.
pub const REQUEST_ID: &str = "x-request-id";
const END_EVENT: &str = "end";

/// One event of a generated answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A token.
    Token(EngineToken),
    /// The end of a whole answer.
    End(EngineEnd),
}

/// A generated answer as it comes; dropping it cancels the request.
pub type Generation = LocalBoxStream<'static, Result<Output, Fault>>;

/// A service's answer; dropping the body ends the call.
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty for none.
    pub content_type: String,
    /// The id that the endpoint echoes, if it does.
    pub echo: Option<RequestId>,
    /// Body as it comes.
    pub body: LocalBoxStream<'static, Result<Bytes, Fault>>,
}

/// A call to a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
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
    fn state(&self) -> Answer<'_, EngineState>;
    /// Hands over content that a later order loads.
    fn stage(&self, digest: Digest, content: Bytes) -> Answer<'_, ()>;
    /// Digests of the content that it holds.
    fn staged(&self) -> Answer<'_, Vec<Digest>>;
    /// Gives an order; [`Fault::Refused`] when its fence is stale or content is missing.
    fn order<'a>(&'a self, order: &'a Order) -> Answer<'a, ()>;
    /// Starts to generate; [`Fault::Refused`] and [`Fault::Limited`] mean that nothing ran.
    fn generate<'a>(&'a self, request: &'a EngineRequest) -> Answer<'a, Generation>;
}

/// A plain service, as its agent uses it.
pub trait Service {
    /// Calls it once, on a connection of its own.
    fn call(&self, request: Request) -> Answer<'_, Response>;
    /// Whether it answers at all.
    fn alive(&self) -> Answer<'_, ()>;
}

/// An engine over HTTP.
#[derive(Clone)]
pub struct HttpEngine(Base);

impl HttpEngine {
    /// An engine at a base URL.
    pub fn new(url: &str, timeout: Duration) -> HttpEngine {
        HttpEngine(Base::new(url, timeout, Reuse::Kept))
    }
}

impl Engine for HttpEngine {
    fn state(&self) -> Answer<'_, EngineState> {
        async move { self.0.get("/v1/state").await }.boxed_local()
    }

    fn stage(&self, digest: Digest, content: Bytes) -> Answer<'_, ()> {
        async move {
            let url = self.0.url(&format!("/v1/content/{digest}"));
            let res = self
                .0
                .client()
                .put(url)
                .send_body(content)
                .await
                .map_err(sent)?;
            success(res).await.map(|_| ())
        }
        .boxed_local()
    }

    fn staged(&self) -> Answer<'_, Vec<Digest>> {
        async move {
            let names: Vec<String> = self.0.get("/v1/content").await?;
            names
                .iter()
                .map(|it| it.parse().map_err(|_| Fault::Malformed))
                .collect()
        }
        .boxed_local()
    }

    fn order<'a>(&'a self, order: &'a Order) -> Answer<'a, ()> {
        async move {
            let request = self.0.client().post(self.0.url("/v1/orders"));
            let res = request.send_json(order).await.map_err(sent)?;
            success(res).await.map(|_| ())
        }
        .boxed_local()
    }

    fn generate<'a>(&'a self, request: &'a EngineRequest) -> Answer<'a, Generation> {
        async move {
            let call = self.0.client().post(self.0.url("/v1/generate"));
            let res = call.send_json(request).await.map_err(sent)?;
            let events = success(res).await?.eventsource();
            let events = events.map(|it| it.map_err(|_| Fault::Lost).and_then(|it| event(&it)));
            Ok(events.boxed_local())
        }
        .boxed_local()
    }
}

fn event(event: &Event) -> Result<Output, Fault> {
    let parsed = if event.event == END_EVENT {
        serde_json::from_str(&event.data).map(Output::End)
    } else {
        serde_json::from_str(&event.data).map(Output::Token)
    };
    parsed.map_err(|_| Fault::Malformed)
}

/// A plain service over HTTP.
#[derive(Clone)]
pub struct HttpService(Base);

impl HttpService {
    /// A service at a base URL.
    pub fn new(url: &str, timeout: Duration) -> HttpService {
        HttpService(Base::new(url, timeout, Reuse::Fresh))
    }
}

impl Service for HttpService {
    fn call(&self, request: Request) -> Answer<'_, Response> {
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
            let res = call.send_body(request.body).await.map_err(sent)?;
            let text = |name: &str| {
                res.headers()
                    .get(name)
                    .and_then(|it| it.to_str().ok())
                    .unwrap_or_default()
            };
            let echo = text(REQUEST_ID).parse().ok();
            let content_type = text(header::CONTENT_TYPE.as_str()).to_owned();
            let status = res.status().as_u16();
            let body = res.map(|it| it.map_err(|_| Fault::Lost)).boxed_local();
            Ok(Response {
                status,
                content_type,
                echo,
                body,
            })
        }
        .boxed_local()
    }

    fn alive(&self) -> Answer<'_, ()> {
        async move {
            let res = self
                .0
                .client()
                .get(self.0.url("/healthz"))
                .send()
                .await
                .map_err(sent)?;
            success(res).await.map(|_| ())
        }
        .boxed_local()
    }
}
