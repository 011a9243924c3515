//! What the sessions share: a transcript with ids, ports and times redacted.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::fmt::Display;

use gradeloft_standin::{
    caller::{Called, Generated},
    engine,
    fleet::{Fleet, MODEL, Shape},
    weights::Version,
};

/// Chunks of the test versions.
pub(crate) const CHUNKS: usize = 12;
const CHUNK_BYTES: usize = 8 << 10;

/// A small version of the fleet's model.
pub(crate) fn version(name: &str) -> Version {
    Version::new(MODEL, name, CHUNKS, CHUNK_BYTES)
}

/// Starts a fleet of a shape.
pub(crate) async fn fleet(shape: Shape) -> Fleet {
    Fleet::start(shape).await.expect("the fleet starts")
}

/// A shape of so many entries, engines and services.
pub(crate) fn shape(entries: usize, engines: usize, services: usize) -> Shape {
    Shape {
        entries,
        engines,
        services,
        ..Shape::default()
    }
}

/// Lines of a session, for a golden file.
#[derive(Default)]
pub(crate) struct Transcript(Vec<String>);

impl Transcript {
    /// Adds a line.
    pub(crate) fn add(&mut self, line: impl Display) {
        self.0.push(line.to_string());
    }

    /// The session's text.
    pub(crate) fn text(&self) -> String {
        self.0.join("\n")
    }
}

/// A generate answer in one line; tells whether the text is what the version's weights give.
pub(crate) fn generated(
    answer: &Generated,
    version: &Version,
    prompt: &str,
    tokens: u32,
) -> String {
    let right = answer.text == engine::expected(&version.chunks, prompt, tokens).concat();
    let text = if right {
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

/// A service answer in one line.
pub(crate) fn called(answer: &Called) -> String {
    match &answer.error {
        Some(it) => format!(
            "{} {} ran {} retryable {}",
            answer.status, it.kind, it.ran, it.retryable
        ),
        None => format!("{} {}", answer.status, answer.body.trim_end()),
    }
}

/// Asserts a golden file with ids, ports and digests redacted.
pub(crate) fn golden(name: &str, text: &str) {
    let mut settings = insta::Settings::clone_current();
    settings.add_filter(r"127\.0\.0\.1:\d+", "[address]");
    settings.add_filter(r"[0-9a-f]{64}", "[digest]");
    settings.add_filter(r"[0-9a-f]{32}", "[id]");
    settings.set_prepend_module_to_snapshot(false);
    settings.set_snapshot_path("../snapshots");
    settings.bind(|| insta::assert_snapshot!(name, text));
}
