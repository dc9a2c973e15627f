//! Waits for the signal to stop.

use crate::CliError;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    low_level::pipe,
};
use smol::{Async, io::AsyncReadExt as _};
use std::{future::Future, os::unix::net::UnixStream};

/// A future that is ready once SIGTERM or SIGINT came.
///
/// # Errors
///
/// [`CliError::Signals`] if no handler can be set.
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
