//! The record of a run: what was sent, answered and run.

use std::{
    fs::File,
    io::Write as _,
    path::Path,
    sync::{Mutex, OnceLock},
    time::{Duration, Instant},
};

static START: OnceLock<Instant> = OnceLock::new();
static FILE: Mutex<Option<File>> = Mutex::new(None);

/// Starts the record in `dir`.
pub fn open(dir: &Path) -> std::io::Result<()> {
    START.get_or_init(Instant::now);
    *FILE.lock().expect("the record") = Some(File::create(dir.join("record.txt"))?);
    Ok(())
}

/// Time since the start of the run.
pub fn elapsed() -> Duration {
    START.get_or_init(Instant::now).elapsed()
}

/// Adds a line with the time since the start in milliseconds.
pub fn line(text: &str) {
    let line = format!("{:>8.1} {text}", elapsed().as_secs_f64() * 1e3);
    if let Some(file) = FILE.lock().expect("the record").as_mut() {
        let _ = writeln!(file, "{line}");
    }
}

#[macro_export]
macro_rules! record {
    ($($arg:tt)*) => { $crate::record::line(&format!($($arg)*)) };
}
