//! Responses that end early behind an agent, as callers read them from the public port.

mod support;

use std::{net::SocketAddr, time::Duration};

use gradeloft_standin::{
    fleet::{Fleet, FleetConfig, MODEL, SERVICE, TEAM, TOKEN, wait_until},
    scripted::{ScriptedServer, Step},
};
use rstest::rstest;
use support::{describe_call, fleet, shape, version};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Timeout of each wait. Only a failing test reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

const SHORT_LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nhalf of it";
const NO_LAST_CHUNK: &str =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf of it\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it";
const UNFRAMED_1_0: &str = "HTTP/1.0 200 OK\r\n\r\nhalf of it";

/// End of a response that its sender declares whole.
const LAST_CHUNK: &str = "0\r\n\r\n";

/// Starts a fleet with a service that answers each connection with `response`, then does `end`.
async fn start(response: &str, end: Step) -> (Fleet, ScriptedServer) {
    let script = vec![Step::Read, Step::Send(response.to_owned()), end];
    let service = ScriptedServer::start("127.0.0.1:0", vec![script])
        .await
        .expect("the service starts");
    let fleet = fleet(FleetConfig {
        service_url: Some(format!("http://{}", service.address)),
        ..shape(1, 1, 1)
    })
    .await;
    fleet.deploy(&version("v1")).await;
    (fleet, service)
}

/// A request whose response is read as bytes, since clients differ in what they take for whole.
struct RawRequest {
    stream: TcpStream,
    received: String,
}

impl RawRequest {
    async fn send(entry: SocketAddr, method: &str, path: &str, body: &str) -> RawRequest {
        let mut stream = TcpStream::connect(entry).await.expect("the entry listens");
        let request = format!(
            "{method} /v1/teams/{TEAM}/{path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer \
             {TOKEN}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).await.expect("sent");
        RawRequest {
            stream,
            received: String::new(),
        }
    }

    /// Reads until the response contains a text.
    async fn read_until(&mut self, text: &str) {
        while !self.received.contains(text) {
            assert!(self.read().await, "{}", self.received);
        }
    }

    /// Returns the response up to the end of its connection.
    async fn finish(mut self) -> String {
        while self.read().await {}
        self.received
    }

    async fn read(&mut self) -> bool {
        let mut buffer = [0; 4_096];
        let reading = tokio::time::timeout(TEST_TIMEOUT, self.stream.read(&mut buffer));
        match reading.await.expect("the response goes on") {
            Ok(read @ 1..) => {
                self.received += &String::from_utf8_lossy(&buffer[..read]);
                true
            }
            Ok(0) | Err(_) => false,
        }
    }
}

async fn call_service(fleet: &Fleet) -> RawRequest {
    let path = format!("services/{SERVICE}/seats");
    RawRequest::send(fleet.entry(0), "GET", &path, "").await
}

/// Guards against an agent that vouches for a part of a response.
#[rstest]
#[actix_rt::test]
async fn a_cut_response_of_a_service_is_not_passed_on_as_whole(
    #[values(SHORT_LENGTH, NO_LAST_CHUNK, UNFRAMED, UNFRAMED_1_0)] response: &str,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    let (fleet, _service) = start(response, end).await;
    let received = call_service(&fleet).await.finish().await;
    let is_error = received.starts_with("HTTP/1.1 502");
    assert!(is_error || !received.ends_with(LAST_CHUNK), "{received}");
}

/// Guards against a part of a response that is kept as the outcome of its key.
#[rstest]
#[actix_rt::test]
async fn a_cut_response_is_no_outcome_of_a_key(
    #[values(SHORT_LENGTH, NO_LAST_CHUNK, UNFRAMED, UNFRAMED_1_0)] response: &str,
) {
    let (fleet, service) = start(response, Step::Close).await;
    let caller = fleet.caller().with_header("idempotency-key", "k");
    let path = format!("{SERVICE}/charges");
    let first = caller
        .call(fleet.entry(0), "POST", &path, "two seats")
        .await;
    assert_eq!(first.status, 502, "{}", describe_call(&first));
    // The entry has avoided the agent since its failure.
    wait_until("the agent is used again", || {
        fleet.is_routable(&version("v1"))
    })
    .await;
    let second = caller
        .call(fleet.entry(0), "POST", &path, "two seats")
        .await;
    assert_eq!(
        describe_call(&second),
        "409 duplicate ran unknown retryable false"
    );
    let requests = service.requests();
    let charges = requests.iter().filter(|it| it.starts_with("POST"));
    assert_eq!(charges.count(), 1);
}

/// Guards against a close by the agent's kernel that the entry takes for the end of the response.
#[actix_rt::test]
async fn a_service_response_whose_agent_ends_is_cut() {
    let (mut fleet, _service) = start(SHORT_LENGTH, Step::WaitForDisconnect).await;
    let mut request = call_service(&fleet).await;
    request.read_until("half of it").await;
    fleet.services[0].agent = None;
    let received = request.finish().await;
    assert!(received.starts_with("HTTP/1.1 200"), "{received}");
    assert!(!received.ends_with(LAST_CHUNK), "{received}");
}

/// Guards against a generation that ends as whole because its agent is gone.
#[actix_rt::test]
async fn a_generation_whose_agent_ends_has_an_error() {
    let mut fleet = fleet(shape(1, 1, 0)).await;
    fleet.deploy(&version("v1")).await;
    let engine = std::rc::Rc::clone(&fleet.engines[0].endpoint.state);
    engine.token_ms.set(20);
    let path = format!("models/{MODEL}/generate");
    let body = r#"{"prompt": "p", "max_tokens": 100000}"#;
    let mut request = RawRequest::send(fleet.entry(0), "POST", &path, body).await;
    request.read_until("event: token").await;
    fleet.engines[0].agent = None;
    let received = request.finish().await;
    assert!(!received.contains("event: end"), "{received}");
    assert!(received.contains("event: error"), "{received}");
    wait_until("the engine is idle", || engine.running.get() == 0).await;
}
