//! Detects changes of a file by polling, without file system notifications or signals.

use std::{fs, path::PathBuf, time::Duration};

/// Polling interval. Settings are a kilobyte in size, and nothing waits for their change.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polling interval after a change; a writer that is still at work adds something in this time.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of polls of a file that keeps changing.
const MAX_SETTLE_POLLS: u32 = 20;

/// A watched file and its last content.
#[derive(Debug)]
pub struct Watch {
    path: PathBuf,
    /// Last content; `None` if the file could not be read.
    content: Option<Vec<u8>>,
}

impl Watch {
    /// Starts to watch a file, from its current content.
    pub fn new(path: PathBuf) -> Watch {
        let content = fs::read(&path).ok();
        Watch { path, content }
    }

    /// Reads the file once; returns whether it has changed since the last poll. A file that becomes
    /// unreadable counts as one change.
    pub fn poll(&mut self) -> bool {
        let content = fs::read(&self.path).ok();
        let changed = content != self.content;
        self.content = content;
        changed
    }

    /// Waits until two successive polls find the same content, as a write may be in progress.
    pub async fn settle(&mut self) {
        self.poll();
        for _ in 0..MAX_SETTLE_POLLS {
            actix_rt::time::sleep(SETTLE_INTERVAL).await;
            if !self.poll() {
                return;
            }
        }
    }

    /// Returns the content at the last poll; `None` if the file could not be read.
    pub fn content(&self) -> Option<&[u8]> {
        self.content.as_deref()
    }

    /// Waits until the file has changed.
    pub async fn changed(&mut self) {
        loop {
            actix_rt::time::sleep(POLL_INTERVAL).await;
            if self.poll() {
                return;
            }
        }
    }
}
