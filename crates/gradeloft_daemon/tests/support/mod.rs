//! Helpers of the tests: fleets, descriptions of responses, and snapshots with redacted ids, ports
//! and digests.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

pub(crate) mod daemons;

use std::fmt::Display;

use gradeloft_standin::{
    caller::{GenerateResponse, ServiceResponse},
    engine,
    fleet::{Fleet, FleetConfig, MODEL},
    weights::Version,
};

/// Number of chunks of a test version.
pub(crate) const CHUNKS: usize = 12;
const CHUNK_BYTES: usize = 8 << 10;

/// Creates a small version of the fleet's model.
pub(crate) fn version(name: &str) -> Version {
    Version::new(MODEL, name, CHUNKS, CHUNK_BYTES)
}

/// Starts a fleet.
pub(crate) async fn fleet(shape: FleetConfig) -> Fleet {
    Fleet::start(shape).await.expect("the fleet starts")
}

/// Returns the shape of a fleet with the given numbers of entries, engines and services.
pub(crate) fn shape(entries: usize, engines: usize, services: usize) -> FleetConfig {
    FleetConfig {
        entries,
        engines,
        services,
        ..FleetConfig::default()
    }
}

/// Lines of a session, for a snapshot.
#[derive(Default)]
pub(crate) struct Transcript(Vec<String>);

impl Transcript {
    /// Adds a line.
    pub(crate) fn add(&mut self, line: impl Display) {
        self.0.push(line.to_string());
    }

    /// Returns all lines.
    pub(crate) fn text(&self) -> String {
        self.0.join("\n")
    }
}

/// Describes the response to a generate request in one line, with whether its text is the one that
/// the version's weights produce.
pub(crate) fn describe_generate(
    answer: &GenerateResponse,
    version: &Version,
    prompt: &str,
    tokens: u32,
) -> String {
    let is_expected =
        answer.text == engine::expected_tokens(&version.chunks, prompt, tokens).concat();
    let text = if is_expected {
        "the version's own text"
    } else {
        "not the whole text"
    };
    let end = answer.end.as_ref().map_or("no end".to_owned(), |it| {
        format!("end of {} tokens by {}/{}", it.count, it.model, it.version)
    });
    let error = answer.error.as_ref().map_or("no error".to_owned(), |it| {
        format!("{} ran {} retryable {}", it.kind, it.ran, it.retryable)
    });
    format!("{} {text}, {end}, {error}", answer.status)
}

/// Describes the response of a service in one line.
pub(crate) fn describe_call(answer: &ServiceResponse) -> String {
    match &answer.error {
        Some(it) => format!(
            "{} {} ran {} retryable {}",
            answer.status, it.kind, it.ran, it.retryable
        ),
        None => format!("{} {}", answer.status, answer.body.trim_end()),
    }
}

/// Asserts a snapshot, with ids, addresses and digests redacted.
pub(crate) fn golden(name: &str, text: &str) {
    let mut settings = insta::Settings::clone_current();
    settings.add_filter(r"127\.0\.0\.1:\d+", "[address]");
    settings.add_filter(r"[0-9a-f]{64}", "[digest]");
    settings.add_filter(r"[0-9a-f]{32}", "[id]");
    settings.set_prepend_module_to_snapshot(false);
    settings.set_snapshot_path("../snapshots");
    settings.bind(|| insta::assert_snapshot!(name, text));
}
