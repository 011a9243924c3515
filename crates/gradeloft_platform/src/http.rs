//! HTTP client shared by the adapters.

use std::{cell::RefCell, net::IpAddr, rc::Rc, time::Duration};

use awc::{
    Client, ClientResponse, SendClientRequest,
    error::{ConnectError, JsonPayloadError, PayloadError, SendRequestError},
    http::{Method, StatusCode, header},
};
use bytes::Bytes;
use futures_util::Stream;
use gradeloft_policy::process::backpressure::signal;
use serde::{Serialize, de::DeserializeOwned};

use crate::{Fault, connector::connector};

/// Limit for a JSON response body, in bytes.
const MAX_JSON_BYTES: usize = 8 << 20;
/// Time limit for a body, which is far above the transfer of a large one over a slow link.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for the body of a refusal, which holds a short reason.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a retry if the response names none, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1000;

/// Whether a connection is used for several calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionReuse {
    /// Connections stay open for the next call.
    KeepAlive,
    /// Each call opens a connection, so that an idle connection that the server has closed is not
    /// mistaken for a lost reply.
    PerCall,
}

/// Connections of an HTTP client, which are all replaced if one of them must not carry another request.
#[derive(Clone)]
pub struct Connections {
    client: Rc<RefCell<Client>>,
    create: Rc<dyn Fn() -> Client>,
}

impl Connections {
    /// Creates connections; `create` returns a client without any.
    pub fn new(create: impl Fn() -> Client + 'static) -> Connections {
        Connections {
            client: Rc::new(RefCell::new(create())),
            create: Rc::new(create),
        }
    }

    /// Returns the client for the next call.
    pub fn client(&self) -> Client {
        self.client.borrow().clone()
    }

    /// Makes further calls use other connections.
    pub fn replace(&self) {
        self.client.replace((self.create)());
    }

    /// Sends a request, which is not a HEAD request, and returns the response once its head has
    /// arrived.
    pub async fn response(&self, sending: SendClientRequest) -> Result<ClientResponse, Fault> {
        let res = sending.await.map_err(send_error)?;
        // The HTTP library takes an informational head for the response, and a body without framing
        // for empty, so that what follows would count as the response to the next request.
        if res.status().is_informational() || check_framing(&Method::GET, &res).is_err() {
            self.replace();
        }
        Ok(res)
    }
}

/// An HTTP client for one base URL.
#[derive(Clone)]
pub struct BaseClient {
    connections: Connections,
    url: String,
}

impl BaseClient {
    /// Creates a client for `url`; `timeout` limits the time to connect and the time to the
    /// response head.
    pub fn new(url: &str, timeout: Duration, reuse: ConnectionReuse) -> BaseClient {
        BaseClient::from(url, timeout, reuse, None)
    }

    /// Creates a client as [`BaseClient::new`] does, with a local address to connect from.
    pub fn from(
        url: &str,
        timeout: Duration,
        reuse: ConnectionReuse,
        source: Option<IpAddr>,
    ) -> BaseClient {
        let create = move || {
            let mut connector = connector().timeout(timeout).limit(0);
            if let Some(source) = source {
                connector = connector.local_address(source);
            }
            if reuse == ConnectionReuse::PerCall {
                connector = connector.conn_keep_alive(Duration::ZERO);
            }
            let builder = Client::builder().connector(connector);
            builder.timeout(timeout).finish()
        };
        BaseClient {
            connections: Connections::new(create),
            url: url.trim_end_matches('/').to_owned(),
        }
    }

    /// Returns the connections, for calls without JSON.
    pub fn connections(&self) -> &Connections {
        &self.connections
    }

    /// Returns the URL of `path`, which begins with a slash.
    pub fn url(&self, path: &str) -> String {
        format!("{}{path}", self.url)
    }

    /// Sends a GET request and decodes the JSON response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Fault> {
        let request = self.connections.client().get(self.url(path));
        let res = self.connections.response(request.send()).await?;
        decode_json(&Method::GET, error_for_status(res).await?).await
    }

    /// Sends a GET request and returns the response body of at most `max_bytes`.
    pub async fn bytes(&self, path: &str, max_bytes: usize) -> Result<Bytes, Fault> {
        let request = self.connections.client().get(self.url(path));
        let res = self.connections.response(request.send()).await?;
        let res = error_for_status(res).await?;
        check_framing(&Method::GET, &res)?;
        res.timeout(BODY_TIMEOUT)
            .body()
            .limit(max_bytes)
            .await
            .map_err(receive_error)
    }

    /// Sends a POST request with a JSON body and decodes the JSON response.
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Fault> {
        let request = self.connections.client().post(self.url(path));
        let res = self.connections.response(request.send_json(body)).await?;
        decode_json(&Method::POST, error_for_status(res).await?).await
    }
}

/// Returns the response if its status is a success, or else the matching fault.
pub async fn error_for_status<S>(res: ClientResponse<S>) -> Result<ClientResponse<S>, Fault>
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
{
    let status = res.status();
    if status.is_success() {
        return Ok(res);
    }
    let retry_after_ms = requested_pause(&res).map(|it| it.as_millis() as u64);
    match (status, retry_after_ms) {
        (StatusCode::NOT_FOUND, _) => Err(Fault::Missing),
        (StatusCode::TOO_MANY_REQUESTS, _) | (StatusCode::SERVICE_UNAVAILABLE, Some(_)) => {
            Err(Fault::Limited {
                retry_after_ms: retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS),
            })
        }
        (StatusCode::CONFLICT | StatusCode::SERVICE_UNAVAILABLE, _) => {
            let mut res = res.timeout(REFUSAL_TIMEOUT);
            let body = res.body().limit(MAX_JSON_BYTES).await.unwrap_or_default();
            Err(Fault::Refused(refusal_reason(&body)))
        }
        _ => Err(Fault::Status(status.as_u16())),
    }
}

/// Maps an error of sending a request to a fault.
pub fn send_error(error: SendRequestError) -> Fault {
    match error {
        // awc returns this if the connection closed after the request was sent.
        SendRequestError::Connect(ConnectError::Disconnected) => Fault::Lost,
        SendRequestError::Connect(_) | SendRequestError::Url(_) => Fault::Unreachable,
        _ => Fault::Lost,
    }
}

/// Fails for a response whose body would end with its connection: nothing shows whether such a body
/// is whole. The HTTP library takes it for empty, or of HTTP/1.0 for whole.
pub fn check_framing<S>(method: &Method, res: &ClientResponse<S>) -> Result<(), Fault> {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
    let framed = method == Method::HEAD
        || bodiless.contains(&res.status())
        || res.headers().contains_key(header::CONTENT_LENGTH)
        || res.headers().contains_key(header::TRANSFER_ENCODING);
    if framed {
        Ok(())
    } else {
        Err(Fault::Malformed)
    }
}

async fn decode_json<T, S>(method: &Method, res: ClientResponse<S>) -> Result<T, Fault>
where
    T: DeserializeOwned,
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
{
    check_framing(method, &res)?;
    res.timeout(BODY_TIMEOUT)
        .json()
        .limit(MAX_JSON_BYTES)
        .await
        .map_err(|it| match it {
            JsonPayloadError::Payload(it) => receive_error(it),
            _ => Fault::Malformed,
        })
}

/// Maps an error of receiving a response body to a fault.
fn receive_error(error: PayloadError) -> Fault {
    match error {
        PayloadError::Overflow | PayloadError::EncodingCorrupted => Fault::Malformed,
        _ => Fault::Lost,
    }
}

/// Returns the pause that a refusal asks for; `None` for other responses, and for a value that
/// can't be parsed.
pub fn requested_pause<S>(res: &ClientResponse<S>) -> Option<Duration> {
    let refuses = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if !refuses.contains(&res.status()) {
        return None;
    }
    let text = |name| {
        let value = res.headers().get(name);
        value.map(|it| it.to_str().unwrap_or_default())
    };
    let pause = signal::rest(text(header::RETRY_AFTER), text(header::DATE));
    pause.unwrap_or_default()
}

/// Returns the reason in the body of a refusal.
fn refusal_reason(body: &[u8]) -> String {
    let refused: Result<gradeloft_wire::border::platform::Refused, _> =
        serde_json::from_slice(body);
    refused.map_or_else(|_| "no reason given".to_owned(), |it| it.reason)
}
