//! The HTTP client that the adapters share.

use std::{net::IpAddr, time::Duration};

use awc::{
    Client, ClientResponse, Connector,
    error::{ConnectError, JsonPayloadError, PayloadError, SendRequestError},
    http::{StatusCode, header},
};
use bytes::Bytes;
use futures_util::Stream;
use serde::{Serialize, de::DeserializeOwned};

use crate::Fault;

/// Largest JSON answer read, in bytes.
const MAX_JSON: usize = 8 << 20;
const DEFAULT_RETRY_AFTER_MS: u64 = 1000;

/// Whether a connection serves several calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionReuse {
    /// Kept open for the next call.
    KeepAlive,
    /// A fresh one for each call, so that a connection that the other side closed meanwhile
    /// can't be mistaken for a lost reply.
    PerCall,
}

/// One service's base URL and the client for it.
#[derive(Clone)]
pub struct BaseClient {
    client: Client,
    url: String,
}

impl BaseClient {
    /// A client for `url` whose answers begin within `timeout`.
    pub fn new(url: &str, timeout: Duration, reuse: ConnectionReuse) -> BaseClient {
        BaseClient::from(url, timeout, reuse, None)
    }

    /// As [`BaseClient::new`], with connections that come from an address of this instance.
    pub fn from(
        url: &str,
        timeout: Duration,
        reuse: ConnectionReuse,
        source: Option<IpAddr>,
    ) -> BaseClient {
        let mut connector = Connector::new().timeout(timeout).limit(0);
        if let Some(source) = source {
            connector = connector.local_address(source);
        }
        if reuse == ConnectionReuse::PerCall {
            connector = connector.conn_keep_alive(Duration::ZERO);
        }
        let client = Client::builder()
            .connector(connector)
            .timeout(timeout)
            .finish();
        BaseClient {
            client,
            url: url.trim_end_matches('/').to_owned(),
        }
    }

    /// The client, for calls that are no plain JSON.
    pub fn client(&self) -> &Client {
        &self.client
    }

    /// Whole URL of `path`, which begins with a slash.
    pub fn url(&self, path: &str) -> String {
        format!("{}{path}", self.url)
    }

    /// Gets JSON.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Fault> {
        let res = self
            .client
            .get(self.url(path))
            .send()
            .await
            .map_err(send_error)?;
        json(error_for_status(res).await?).await
    }

    /// Gets bytes, at most `max_bytes` of them.
    pub async fn bytes(&self, path: &str, max_bytes: usize) -> Result<Bytes, Fault> {
        let res = self
            .client
            .get(self.url(path))
            .send()
            .await
            .map_err(send_error)?;
        error_for_status(res)
            .await?
            .body()
            .limit(max_bytes)
            .await
            .map_err(receive_error)
    }

    /// Posts JSON and reads JSON.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Fault> {
        let res = self
            .client
            .post(self.url(path))
            .send_json(body)
            .await
            .map_err(send_error)?;
        json(error_for_status(res).await?).await
    }
}

/// Gives the answer back if it is a success, else the fault that it stands for.
pub async fn error_for_status<S>(mut res: ClientResponse<S>) -> Result<ClientResponse<S>, Fault>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
{
    let status = res.status();
    if status.is_success() {
        return Ok(res);
    }
    match status {
        StatusCode::NOT_FOUND => Err(Fault::Missing),
        StatusCode::TOO_MANY_REQUESTS => Err(Fault::Limited {
            retry_after_ms: retry_after(&res),
        }),
        StatusCode::CONFLICT | StatusCode::SERVICE_UNAVAILABLE => {
            let body = res.body().limit(MAX_JSON).await.unwrap_or_default();
            Err(Fault::Refused(reason(&body)))
        }
        _ => Err(Fault::Status(status.as_u16())),
    }
}

/// The fault behind a failure to send.
pub fn send_error(error: SendRequestError) -> Fault {
    match error {
        // The client's name for a connection that closed after the request went out.
        SendRequestError::Connect(ConnectError::Disconnected) => Fault::Lost,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => Fault::Unreachable,
        _ => Fault::Lost,
    }
}

async fn json<T, S>(mut res: ClientResponse<S>) -> Result<T, Fault>
where
    T: DeserializeOwned,
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
{
    res.json().limit(MAX_JSON).await.map_err(|it| match it {
        JsonPayloadError::Payload(it) => receive_error(it),
        _ => Fault::Malformed,
    })
}

fn receive_error(error: PayloadError) -> Fault {
    match error {
        PayloadError::Overflow | PayloadError::EncodingCorrupted => Fault::Malformed,
        _ => Fault::Lost,
    }
}

fn retry_after<S>(res: &ClientResponse<S>) -> u64 {
    let seconds = res
        .headers()
        .get(header::RETRY_AFTER)
        .and_then(|it| it.to_str().ok());
    seconds
        .and_then(|it| it.parse::<f64>().ok())
        .map_or(DEFAULT_RETRY_AFTER_MS, |it| (it * 1000.0) as u64)
}

fn reason(body: &[u8]) -> String {
    let refused: Result<gradeloft_wire::border::platform::Refused, _> =
        serde_json::from_slice(body);
    refused.map_or_else(|_| "no reason given".to_owned(), |it| it.reason)
}
