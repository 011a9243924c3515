//! Tells when a file has changed, without the help of the operating system or of a signal.

use std::{fs, path::PathBuf, time::Duration};

/// Pause between looks at the file. Settings are a kilobyte, and nothing waits for them.
const LOOK: Duration = Duration::from_secs(1);

/// Pause between two looks at a file that has just changed: a writer that is at work adds something meanwhile.
const SETTLING: Duration = Duration::from_millis(100);
/// Most looks at a file that goes on changing.
const MAX_SETTLING: u32 = 20;

/// A file, and what was read from it last.
#[derive(Debug)]
pub struct Watch {
    path: PathBuf,
    /// `None` if it could not be read.
    content: Option<Vec<u8>>,
}

impl Watch {
    /// Watches a file, as it is now.
    pub fn new(path: PathBuf) -> Watch {
        let content = fs::read(&path).ok();
        Watch { path, content }
    }

    /// Looks at the file once; gives whether it changed since the last look. A file that can no longer
    /// be read has changed, once.
    pub fn look(&mut self) -> bool {
        let content = fs::read(&self.path).ok();
        let changed = content != self.content;
        self.content = content;
        changed
    }

    /// Waits until two looks give the same: whoever writes the file may be in the middle of it.
    pub async fn settle(&mut self) {
        self.look();
        for _ in 0..MAX_SETTLING {
            actix_rt::time::sleep(SETTLING).await;
            if !self.look() {
                return;
            }
        }
    }

    /// What the last look found; `None` if the file could not be read.
    pub fn content(&self) -> Option<&[u8]> {
        self.content.as_deref()
    }

    /// Waits until the file has changed.
    pub async fn changed(&mut self) {
        loop {
            actix_rt::time::sleep(LOOK).await;
            if self.look() {
                return;
            }
        }
    }
}
