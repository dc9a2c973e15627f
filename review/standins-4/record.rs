//! The record of a case: what was sent, answered and run, with times.

use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

/// Lines are appended whole, so that several processes can write to one file.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn append_to(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
        })
    }

    pub fn line(&self, text: &str) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let seconds = since.as_millis() % 1_000_000;
        let line = format!("{:3}.{:03} {text}\n", seconds / 1_000, seconds % 1_000);
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.write_all(line.as_bytes());
    }
}
