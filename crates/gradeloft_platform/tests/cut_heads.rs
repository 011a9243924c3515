//! Responses to the shared HTTP client that stop at a byte of their head or of the first framing after it.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use gradeloft_platform::{
    Fault,
    endpoint::{Engine, HttpEngine, HttpService, Service, ServiceRequest},
    http::{BaseClient, ConnectionReuse},
};
use gradeloft_standin::scripted::{ScriptedServer, Step};
use gradeloft_wire::{
    border::platform::EngineRequest,
    id::{Digest, RequestId},
};
use rstest::rstest;

/// Timeout of each call. Only a failing test reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

const CHUNKS: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                      Transfer-Encoding: chunked\r\n\r\n2\r\n[]\r\n0\r\nx: y\r\n\r\n";
const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
                      Content-Length: 2\r\n\r\n[]";
const OLD_LENGTH: &str = "HTTP/1.0 200 OK\r\nContent-Type: application/json\r\n\
                          Content-Length: 2\r\n\r\n[]";
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\nx: y\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\n[]";
const INFORMATIONAL: &str = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\
                             Content-Type: application/json\r\nContent-Length: 2\r\n\r\n[]";

/// Call of a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    Bytes,
    Generate,
    Get,
    Health,
    Post,
    Service,
    Stage,
    Staged,
}

impl Call {
    /// Sends the call, and reads its response to the end.
    async fn send(self, url: &str) -> Result<(), Fault> {
        let client = BaseClient::new(url, TEST_TIMEOUT, ConnectionReuse::KeepAlive);
        let engine = HttpEngine::new(url, TEST_TIMEOUT);
        let service = HttpService::new(url, TEST_TIMEOUT);
        match self {
            Call::Bytes => client.bytes("/", 1 << 10).await.map(|_| ()),
            Call::Generate => generate(&engine).await,
            Call::Get => client.get::<Vec<u32>>("/").await.map(|_| ()),
            Call::Health => service.check_health().await,
            Call::Post => client.post::<Vec<u32>>("/", &0).await.map(|_| ()),
            Call::Service => call_service(&service).await,
            Call::Stage => engine.stage(Digest::of(b"x"), Bytes::new()).await,
            Call::Staged => engine.staged().await.map(|_| ()),
        }
    }

    /// Returns whether the status alone shows the outcome.
    fn is_told_by_status(self) -> bool {
        matches!(self, Call::Health | Call::Stage)
    }
}

async fn generate(engine: &HttpEngine) -> Result<(), Fault> {
    let request = EngineRequest {
        request_id: "r".to_owned(),
        model: "m".to_owned(),
        adapter: None,
        version: "v1".to_owned(),
        prompt: "p".to_owned(),
        max_tokens: 1,
        priority: 0,
    };
    let mut events = engine.generate(&request).await?;
    while let Some(event) = events.next().await {
        event?;
    }
    Ok(())
}

async fn call_service(service: &HttpService) -> Result<(), Fault> {
    let request = ServiceRequest {
        id: RequestId(7),
        method: "GET".to_owned(),
        path: "/seats".to_owned(),
        content_type: String::new(),
        body: Vec::new(),
    };
    let mut response = service.call(request).await?;
    while let Some(part) = response.body.next().await {
        part?;
    }
    match response.status {
        200..300 => Ok(()),
        status => Err(Fault::Status(status)),
    }
}

/// Guards against a cut response that counts as a success, with less content or with none.
#[rstest]
fn a_response_that_is_cut_at_any_byte_fails_the_call(
    #[values(CHUNKS, LENGTH, OLD_LENGTH, NO_CONTENT, FAILED, INFORMATIONAL)] bytes: &str,
    #[values(
        Call::Bytes,
        Call::Generate,
        Call::Get,
        Call::Health,
        Call::Post,
        Call::Service,
        Call::Stage,
        Call::Staged
    )]
    call: Call,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    let head = bytes.find("\r\n\r\n").unwrap() + 4;
    let most = match call.is_told_by_status() {
        true => head,
        false => bytes.len(),
    };
    let cut = |at| vec![Step::Read, Step::Send(bytes[..at].to_owned()), end.clone()];
    let test = async {
        let scripts = (0..most).map(cut).collect();
        let server = ScriptedServer::start("127.0.0.1:0", scripts).await.unwrap();
        let url = format!("http://{}", server.address);
        for at in 0..most {
            let result = call.send(&url).await;
            assert!(result.is_err(), "{:?}", &bytes[..at]);
            assert_eq!(server.recording.borrow().connections, at + 1);
        }
    };
    actix_rt::System::new().block_on(async {
        let ended = tokio::time::timeout(TEST_TIMEOUT, test).await;
        ended.expect("the calls end");
    });
}

/// Guards against cut responses that fail for another reason than the cut.
#[rstest]
fn a_response_that_is_not_cut_succeeds(
    #[values(CHUNKS, LENGTH, OLD_LENGTH)] bytes: &str,
    #[values(
        Call::Bytes,
        Call::Get,
        Call::Health,
        Call::Post,
        Call::Service,
        Call::Stage,
        Call::Staged
    )]
    call: Call,
) {
    actix_rt::System::new().block_on(async {
        let script = vec![Step::Read, Step::Send(bytes.to_owned()), Step::Close];
        let server = ScriptedServer::start("127.0.0.1:0", vec![script])
            .await
            .unwrap();
        let result = call.send(&format!("http://{}", server.address)).await;
        assert_eq!(result, Ok(()));
    });
}
