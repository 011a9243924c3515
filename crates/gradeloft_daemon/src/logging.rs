//! Loggers that write one line of key=value pairs for each event.

use gradeloft_wire::border::settings::LogLevel;
use slog::{Drain, Level, Logger, o};

/// Creates a logger to standard error that drops events below `level`. A separate thread writes the
/// events. If it falls behind, events are dropped and counted, so that requests never wait for it.
pub fn to_stderr(level: Option<LogLevel>, node: &str) -> Logger {
    let logfmt = slog_logfmt::Logfmt::new(std::io::stderr()).build().fuse();
    let asynchronous = slog_async::Async::new(logfmt).build().fuse();
    let filtered = asynchronous.filter_level(min_level(level)).fuse();
    Logger::root(filtered, o!("node" => node.to_owned()))
}

/// Creates a logger to standard output like [`to_stderr`], with events of level info and above.
pub fn to_stdout(node: &str) -> Logger {
    let logfmt = slog_logfmt::Logfmt::new(std::io::stdout()).build().fuse();
    let asynchronous = slog_async::Async::new(logfmt).build().fuse();
    let filtered = asynchronous.filter_level(Level::Info).fuse();
    Logger::root(filtered, o!("node" => node.to_owned()))
}

/// Creates a logger that drops all events.
pub fn none() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn min_level(level: Option<LogLevel>) -> Level {
    match level.unwrap_or(LogLevel::Info) {
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
    }
}
