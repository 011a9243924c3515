//! Detects changes of a file by polling, without file system notifications or signals.

use std::{fs, path::PathBuf, time::Duration};

/// Polling interval. Settings are a kilobyte in size, and nothing waits for their change.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polling interval after a change; a writer that is still at work adds something in this time.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);
/// Number of polls without a change after which an invalid file counts as complete: a writer may be
/// held up for longer than one poll.
const INVALID_SETTLE_POLLS: u32 = 10;
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

    /// Waits until successive polls find the same content, as a write may be in progress: two polls
    /// if the content is valid, and more if it is not.
    pub async fn settle(&mut self, is_valid: impl Fn(Option<&[u8]>) -> bool) {
        self.poll();
        let mut unchanged = 0;
        for _ in 0..MAX_SETTLE_POLLS {
            actix_rt::time::sleep(SETTLE_INTERVAL).await;
            unchanged = if self.poll() { 0 } else { unchanged + 1 };
            let needed = match is_valid(self.content()) {
                true => 1,
                false => INVALID_SETTLE_POLLS,
            };
            if needed <= unchanged {
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
