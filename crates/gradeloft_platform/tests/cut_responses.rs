//! Responses whose end is not the one that their heads announce.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use gradeloft_platform::{
    Fault,
    endpoint::{Engine, GenerationEvent, HttpEngine, HttpService, Service, ServiceRequest},
    http::{BaseClient, ConnectionReuse},
};
use gradeloft_standin::scripted::{ScriptedServer, Step};
use gradeloft_wire::{
    border::platform::{EngineRequest, Instances},
    id::RequestId,
};
use rstest::rstest;

/// Timeout of each call. Only a failing test reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

const SHORT_LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
    Content-Length: 40\r\n\r\n{\"instances\":[]}";
const NO_BODY: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
    Content-Length: 40\r\n\r\n";
const NO_LAST_CHUNK: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
    Transfer-Encoding: chunked\r\n\r\n10\r\n{\"instances\":[]}\r\n";
const PART_OF_LAST_CHUNK: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
    Transfer-Encoding: chunked\r\n\r\n10\r\n{\"instances\":[]}\r\n0\r\n";
const PART_OF_CHUNK: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
    Transfer-Encoding: chunked\r\n\r\n20\r\n{\"instances\":[]}";
const NO_CHUNK: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
    Transfer-Encoding: chunked\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"instances\":[]}";
const UNFRAMED_1_0: &str = "HTTP/1.0 200 OK\r\n\r\n{\"instances\":[]}";

async fn start(response: &str, end: Step) -> ScriptedServer {
    let script = vec![Step::Read, Step::Send(response.to_owned()), end];
    ScriptedServer::start("127.0.0.1:0", vec![script])
        .await
        .expect("the server starts")
}

fn run<T>(test: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(async {
        let ended = tokio::time::timeout(TEST_TIMEOUT, test).await;
        ended.expect("the call ends")
    })
}

fn client(server: &ScriptedServer) -> BaseClient {
    let url = format!("http://{}", server.address);
    BaseClient::new(&url, TEST_TIMEOUT, ConnectionReuse::KeepAlive)
}

fn service_request(method: &str) -> ServiceRequest {
    ServiceRequest {
        id: RequestId(7),
        method: method.to_owned(),
        path: "/seats".to_owned(),
        content_type: String::new(),
        body: Vec::new(),
    }
}

/// Returns the whole body of a service's response.
async fn call_service(server: &ScriptedServer, method: &str) -> Result<Bytes, Fault> {
    let service = HttpService::new(&format!("http://{}", server.address), TEST_TIMEOUT);
    let mut response = service.call(service_request(method)).await?;
    let mut body = Vec::new();
    while let Some(part) = response.body.next().await {
        body.extend_from_slice(&part?);
    }
    Ok(body.into())
}

/// Guards against a list of instances, a page of the log or a chunk that is taken for whole.
#[rstest]
fn a_cut_body_is_lost(
    #[values(
        SHORT_LENGTH,
        NO_BODY,
        NO_LAST_CHUNK,
        PART_OF_LAST_CHUNK,
        PART_OF_CHUNK,
        NO_CHUNK
    )]
    response: &str,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    run(async {
        let server = start(response, end).await;
        let bytes = client(&server).bytes("/v1/content/1", 1 << 20).await;
        assert_eq!(bytes, Err(Fault::Lost));
        let instances: Result<Instances, Fault> = client(&server).get("/v1/instances").await;
        assert_eq!(instances.err(), Some(Fault::Lost));
    });
}

/// Guards against a part of a service's response that its caller takes for the whole.
#[rstest]
fn a_cut_response_of_a_service_is_not_whole(
    #[values(
        SHORT_LENGTH,
        NO_BODY,
        NO_LAST_CHUNK,
        PART_OF_LAST_CHUNK,
        PART_OF_CHUNK,
        NO_CHUNK
    )]
    response: &str,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    run(async {
        let server = start(response, end).await;
        assert_eq!(call_service(&server, "GET").await, Err(Fault::Lost));
    });
}

/// Guards against a close that counts as the end of a body, and a body that counts as empty.
#[rstest]
fn a_response_whose_end_nothing_shows_is_not_whole(
    #[values(UNFRAMED, UNFRAMED_1_0)] response: &str,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    run(async {
        let server = start(response, end).await;
        let bytes = client(&server).bytes("/v1/content/1", 1 << 20).await;
        assert_eq!(bytes, Err(Fault::Malformed));
        let called = call_service(&server, "GET").await;
        assert_eq!(called, Err(Fault::Malformed));
    });
}

/// Guards against whole responses that are refused.
#[rstest]
#[case::length("GET", "200 OK\r\nContent-Length: 5\r\n\r\nseats", "seats")]
#[case::no_bytes("GET", "200 OK\r\nContent-Length: 0\r\n\r\n", "")]
#[case::chunks(
    "GET",
    "200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nseats\r\n0\r\n\r\n",
    "seats"
)]
#[case::no_content("GET", "204 No Content\r\n\r\n", "")]
#[case::not_modified("GET", "304 Not Modified\r\n\r\n", "")]
#[case::head("HEAD", "200 OK\r\nContent-Length: 5\r\n\r\n", "")]
#[case::unframed_head("HEAD", "200 OK\r\n\r\n", "")]
fn a_whole_response_is_whole_whatever_follows(
    #[case] method: &str,
    #[case] response: &str,
    #[case] body: &'static str,
    #[values(Step::Close, Step::WaitForDisconnect)] end: Step,
) {
    run(async {
        let server = start(&format!("HTTP/1.1 {response}"), end).await;
        let called = call_service(&server, method).await;
        assert_eq!(called, Ok(Bytes::from_static(body.as_bytes())));
    });
}

/// Guards against an `end` event that is taken from a part of it.
#[rstest]
fn a_cut_generation_has_no_end(
    #[values(
        "event: end\ndata: {\"request_id\":\"r\",\"version\":\"v1\",\"count\":0}\n",
        "event: end\ndata: {\"request_id\":\"r\",\"version\":\"v1\",\"count\":0}",
        "event: end\n",
        ""
    )]
    events: &str,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    run(async {
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream";
        let response = format!("{head}\r\nContent-Length: 1000\r\n\r\n{events}");
        let server = start(&response, end).await;
        let engine = HttpEngine::new(&format!("http://{}", server.address), TEST_TIMEOUT);
        let request = EngineRequest {
            request_id: "r".to_owned(),
            model: "m".to_owned(),
            adapter: None,
            version: "v1".to_owned(),
            prompt: "p".to_owned(),
            max_tokens: 1,
            priority: 0,
        };
        let generation = engine.generate(&request).await.expect("the head arrives");
        let events: Vec<Result<GenerationEvent, Fault>> = generation.take(2).collect().await;
        assert!(events.iter().all(Result::is_err), "{events:?}");
    });
}
