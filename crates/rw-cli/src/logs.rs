//! Structured logging.

use crate::CliError;
use logforth::{
    append::{self, asynchronous::AsyncBuilder},
    layout::{JsonLayout, TextLayout},
    record::{Level, LevelFilter},
    starter_log,
};

/// Maximum number of lines buffered for a slow reader; further lines are dropped.
const MAX_BUFFERED_LINES: usize = 2_048;

/// Starts logging to standard error at `level`, in the format `text` or `json`.
///
/// # Errors
///
/// [`CliError::InvalidSetting`] for an unknown level or format.
pub fn start_logs(level: &str, format: &str) -> Result<(), CliError> {
    let filter = LevelFilter::MoreSevereEqual(parse_level(level)?);
    let stderr = match format {
        "text" => append::Stderr::default().with_layout(TextLayout::default().no_color()),
        "json" => append::Stderr::default().with_layout(JsonLayout::default()),
        _ => return Err(invalid("--log-format", format, "text or json")),
    };
    // Without a filter the trace lines of the async I/O reactor would be printed too.
    starter_log::builder()
        .dispatch(|d| d.filter(filter).append(stderr))
        .apply();
    Ok(())
}

/// Starts logging to standard output as JSON, one line per event. Lines are dropped rather than
/// blocking on a slow reader.
///
/// # Errors
///
/// [`CliError::InvalidSetting`] for an unknown level.
pub fn start_event_logs(level: &str) -> Result<(), CliError> {
    let filter = LevelFilter::MoreSevereEqual(parse_level(level)?);
    let stdout = append::Stdout::default().with_layout(JsonLayout::default());
    let lines = AsyncBuilder::new("logs")
        .buffered_lines_limit(Some(MAX_BUFFERED_LINES))
        .overflow_drop_incoming()
        .append(stdout)
        .build();
    starter_log::builder()
        .dispatch(|d| d.filter(filter).append(lines))
        .apply();
    Ok(())
}

fn parse_level(level: &str) -> Result<Level, CliError> {
    match level {
        "error" => Ok(Level::Error),
        "warn" => Ok(Level::Warn),
        "info" => Ok(Level::Info),
        "debug" => Ok(Level::Debug),
        _ => Err(invalid("--log", level, "error, warn, info or debug")),
    }
}

fn invalid(name: &str, value: &str, expected: &'static str) -> CliError {
    CliError::InvalidSetting {
        name: name.to_owned(),
        value: value.to_owned(),
        expected,
    }
}
