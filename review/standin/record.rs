//! What a case writes down.

use std::{
    fmt,
    fs::File,
    io::{self, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// The record of a run, with the seconds since its start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            file: Mutex::new(File::create(path)?),
            start: Instant::now(),
        })
    }

    /// Writes a line.
    pub fn line(&self, text: fmt::Arguments<'_>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }
}
