//! Logs: one line of key=value pairs for each event.

use gradeloft_wire::border::settings::LogLevel;
use slog::{Drain, Level, Logger, o};

/// A logger to standard error that drops events below `level`. Events are written by a thread of
/// its own; when that falls behind, events are dropped and counted, and requests go on.
pub fn to_stderr(level: Option<LogLevel>, node: &str) -> Logger {
    let logfmt = slog_logfmt::Logfmt::new(std::io::stderr()).build().fuse();
    let asynchronous = slog_async::Async::new(logfmt).build().fuse();
    let filtered = asynchronous.filter_level(least(level)).fuse();
    Logger::root(filtered, o!("node" => node.to_owned()))
}

/// A logger to standard output, as [`to_stderr`] with every event of level info and above.
pub fn to_stdout(node: &str) -> Logger {
    let logfmt = slog_logfmt::Logfmt::new(std::io::stdout()).build().fuse();
    let asynchronous = slog_async::Async::new(logfmt).build().fuse();
    let filtered = asynchronous.filter_level(Level::Info).fuse();
    Logger::root(filtered, o!("node" => node.to_owned()))
}

/// A logger that drops everything.
pub fn none() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn least(level: Option<LogLevel>) -> Level {
    match level.unwrap_or(LogLevel::Info) {
        LogLevel::Debug => Level::Debug,
        LogLevel::Info => Level::Info,
        LogLevel::Warning => Level::Warning,
        LogLevel::Error => Level::Error,
    }
}
