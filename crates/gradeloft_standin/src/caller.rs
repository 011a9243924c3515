//! A client of the entries.

use std::{net::SocketAddr, time::Duration};

use awc::{Client, ClientResponse, error::PayloadError, http::Method};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use gradeloft_platform::connector::connector;
use gradeloft_wire::border::caller::{Addresses, End, Error, Token};
use serde_json::json;

/// A client that sends requests of one team.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    team: String,
    token: String,
    /// Headers sent with each request.
    pub headers: Vec<(String, String)>,
}

/// The response to a generate request.
#[derive(Clone, Debug, Default)]
pub struct GenerateResponse {
    /// HTTP status; 0 when the connection failed.
    pub status: u16,
    /// The concatenated text of all tokens.
    pub text: String,
    /// Number of tokens.
    pub tokens: u64,
    /// The `end` event; `None` if the response is incomplete.
    pub end: Option<End>,
    /// The error from the body or from an event.
    pub error: Option<Error>,
}

/// The response to a service call.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// HTTP status; 0 when the connection failed or the body was truncated.
    pub status: u16,
    /// Response body.
    pub body: String,
    /// The error, if the body contains one.
    pub error: Option<Error>,
    /// Value of the `Retry-After` header.
    pub retry_after: Option<String>,
}

impl Caller {
    /// Creates a client of `team` that authenticates with `token`; an empty token is not sent.
    pub fn new(team: &str, token: &str) -> Caller {
        let client = Client::builder().connector(connector());
        let client = client.timeout(Duration::from_secs(60)).finish();
        Caller {
            client,
            team: team.to_owned(),
            token: token.to_owned(),
            headers: Vec::new(),
        }
    }

    /// Returns a copy of this caller with an additional header.
    pub fn with_header(&self, name: &str, value: &str) -> Caller {
        let mut caller = self.clone();
        caller.headers.push((name.to_owned(), value.to_owned()));
        caller
    }

    /// Requests the addresses of the entries that callers in `zone` use.
    pub async fn addresses(&self, entry: SocketAddr, zone: &str) -> Option<Addresses> {
        let url = format!("http://{entry}/v1/addresses?team={}&zone={zone}", self.team);
        self.client.get(url).send().await.ok()?.json().await.ok()
    }

    /// Sends a generate request and reads the whole response.
    pub async fn generate(
        &self,
        entry: SocketAddr,
        model: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> GenerateResponse {
        let body = json!({ "prompt": prompt, "max_tokens": max_tokens }).to_string();
        self.generate_raw(entry, model, body).await
    }

    /// Sends a generate request with the given body.
    pub async fn generate_raw(
        &self,
        entry: SocketAddr,
        model: &str,
        body: String,
    ) -> GenerateResponse {
        let path = format!("/v1/teams/{}/models/{model}/generate", self.team);
        let Some(mut response) = self.send(entry, Method::POST, &path, body.into()).await else {
            return GenerateResponse::default();
        };
        let status = response.status().as_u16();
        if status != 200 {
            let error = response.json().await.ok();
            return GenerateResponse {
                status,
                error,
                ..GenerateResponse::default()
            };
        }
        read_events(response).await
    }

    /// Sends a generate request and returns the stream of response bytes.
    pub async fn generate_stream(
        &self,
        entry: SocketAddr,
        model: &str,
        max_tokens: u32,
    ) -> Option<impl Stream<Item = Result<Bytes, PayloadError>> + Unpin + use<>> {
        let body = json!({ "prompt": "stream", "max_tokens": max_tokens }).to_string();
        let path = format!("/v1/teams/{}/models/{model}/generate", self.team);
        self.send(entry, Method::POST, &path, body.into()).await
    }

    /// Calls a service.
    pub async fn call(
        &self,
        entry: SocketAddr,
        method: &str,
        service_path: &str,
        body: &str,
    ) -> ServiceResponse {
        let path = format!("/v1/teams/{}/services/{service_path}", self.team);
        let method = Method::from_bytes(method.as_bytes()).unwrap_or_default();
        let sent = self
            .send(entry, method, &path, body.to_owned().into())
            .await;
        let Some(mut response) = sent else {
            return ServiceResponse {
                status: 0,
                body: String::new(),
                error: None,
                retry_after: None,
            };
        };
        let retry_after = response.headers().get("retry-after");
        let retry_after = retry_after
            .and_then(|it| it.to_str().ok())
            .map(str::to_owned);
        let body = response.body().await;
        let status = if body.is_ok() {
            response.status().as_u16()
        } else {
            0
        };
        let body = body.unwrap_or_default();
        ServiceResponse {
            status,
            error: serde_json::from_slice(&body).ok(),
            body: String::from_utf8_lossy(&body).into_owned(),
            retry_after,
        }
    }

    async fn send(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Option<ClientResponse<impl Stream<Item = Result<Bytes, PayloadError>> + Unpin + use<>>>
    {
        let mut request = self.client.request(method, format!("http://{entry}{path}"));
        if !self.token.is_empty() {
            request = request.insert_header(("authorization", format!("Bearer {}", self.token)));
        }
        for (name, value) in &self.headers {
            request = request.insert_header((name.as_str(), value.as_str()));
        }
        request.send_body(body).await.ok()
    }
}

async fn read_events<S>(response: ClientResponse<S>) -> GenerateResponse
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut generated = GenerateResponse {
        status: 200,
        ..GenerateResponse::default()
    };
    let mut events = response.eventsource();
    while let Some(Ok(event)) = events.next().await {
        match event.event.as_str() {
            "token" => {
                let token: Option<Token> = serde_json::from_str(&event.data).ok();
                generated.tokens += 1;
                generated.text += &token.map(|it| it.text).unwrap_or_default();
            }
            "end" => generated.end = serde_json::from_str(&event.data).ok(),
            _ => generated.error = serde_json::from_str(&event.data).ok(),
        }
    }
    generated
}
