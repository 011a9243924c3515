//! Responses that arrive after their call has ended, on a connection that a later call could use.

use std::time::Duration;

use bytes::Bytes;
use gradeloft_platform::{
    endpoint::{Engine, HttpEngine},
    http::{BaseClient, ConnectionReuse},
};
use gradeloft_standin::scripted::{ScriptedServer, Step};
use gradeloft_wire::id::Digest;
use rstest::rstest;

/// Timeout of each call. Only a failing test reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Call of a client that keeps its connections.
#[derive(Clone, Copy, Debug)]
enum Call {
    Bytes,
    Get,
    Post,
    Stage,
}

impl Call {
    /// Returns the content of the response, if the call has one.
    async fn send(self, client: &BaseClient, engine: &HttpEngine) -> Option<String> {
        match self {
            Call::Bytes => {
                let bytes = client.bytes("/", 1 << 10).await.ok()?;
                Some(String::from_utf8_lossy(&bytes).into_owned())
            }
            Call::Get => Some(client.get::<u32>("/").await.ok()?.to_string()),
            Call::Post => Some(client.post::<u32>("/", &0).await.ok()?.to_string()),
            Call::Stage => {
                let staged = engine.stage(Digest::of(b"x"), Bytes::new()).await;
                staged.ok().map(|()| "2".to_owned())
            }
        }
    }
}

/// Guards against a call that gets the response to the call before it.
#[rstest]
#[case::after_an_informational_head("100 Continue")]
#[case::after_a_success_without_a_length("200 OK")]
#[case::after_a_refusal_without_a_length("409 Conflict")]
fn a_late_response_does_not_answer_the_next_call(
    #[case] status: &str,
    #[values(Call::Bytes, Call::Get, Call::Post, Call::Stage)] call: Call,
) {
    let response = |body| {
        let json = "Content-Type: application/json\r\nContent-Length: 1";
        Step::Send(format!("HTTP/1.1 200 OK\r\n{json}\r\n\r\n{body}"))
    };
    let test = async {
        let head = Step::Send(format!("HTTP/1.1 {status}\r\n\r\n"));
        let scripts = vec![
            vec![Step::Read, head, Step::Read, response(1)],
            vec![Step::Read, response(2)],
        ];
        let server = ScriptedServer::start("127.0.0.1:0", scripts).await.unwrap();
        let url = format!("http://{}", server.address);
        let client = BaseClient::new(&url, TEST_TIMEOUT, ConnectionReuse::KeepAlive);
        let engine = HttpEngine::new(&url, TEST_TIMEOUT);
        let _ = call.send(&client, &engine).await;
        assert_eq!(call.send(&client, &engine).await.as_deref(), Some("2"));
        assert_eq!(server.recording.borrow().connections, 2);
    };
    actix_rt::System::new().block_on(async {
        let ended = tokio::time::timeout(TEST_TIMEOUT, test).await;
        ended.expect("the calls end");
    });
}
