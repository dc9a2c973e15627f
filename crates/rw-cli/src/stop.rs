//! Waits for the signals that stop the process.

use crate::CliError;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    low_level::pipe,
};
use smol::{Async, io::AsyncReadExt as _};
use std::{future::Future, os::unix::net::UnixStream};

/// Returns a future that completes when SIGTERM or SIGINT arrives.
///
/// # Errors
///
/// [`CliError::Signals`] if a handler can't be installed.
pub fn stop_signal() -> Result<impl Future<Output = ()>, CliError> {
    let (reader, writer) = UnixStream::pair().map_err(CliError::Signals)?;
    let second_writer = writer.try_clone().map_err(CliError::Signals)?;
    pipe::register(SIGTERM, writer).map_err(CliError::Signals)?;
    pipe::register(SIGINT, second_writer).map_err(CliError::Signals)?;
    let mut reader = Async::new(reader).map_err(CliError::Signals)?;
    Ok(async move {
        let _ = reader.read(&mut [0; 1]).await;
    })
}
