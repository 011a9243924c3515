//! Response steps of scripted replicas.

use gradeloft_standin::scripted::Step;

/// Returns a step that sends a complete response.
pub(crate) fn response(status: &str, headers: &str, body: &str) -> Step {
    Step::Send(format!(
        "HTTP/1.1 {status}\r\nt-request: abc\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// Returns a step in which the replica of the first script responds to a health check, and closes the
/// connection afterwards.
pub(crate) fn healthy() -> Step {
    let head = "HTTP/1.1 200 OK\r\nt-replica-id: i-0\r\nConnection: close\r\n";
    Step::Send(format!("{head}Content-Length: 0\r\n\r\n"))
}

/// Returns a step that sends a complete response with status 200 and a seal.
pub(crate) fn ok(body: &str) -> Step {
    response("200 OK", "t-seal: s1\r\n", body)
}

/// Returns a step that sends the head of a chunked event stream and its first events in one chunk.
pub(crate) fn stream(seal: &str, events: &str) -> Step {
    Step::Send(format!(
        "HTTP/1.1 200 OK\r\nt-request: abc\r\nt-seal: {seal}\r\nTransfer-Encoding: chunked\r\n\r\n\
         {:x}\r\n{events}\r\n",
        events.len()
    ))
}

/// Returns a step that sends the last chunk of a chunked body.
pub(crate) fn last_chunk() -> Step {
    Step::Send("0\r\n\r\n".to_owned())
}
