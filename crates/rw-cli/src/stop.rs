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
    let (read, write) = UnixStream::pair().map_err(CliError::Signals)?;
    let second = write.try_clone().map_err(CliError::Signals)?;
    pipe::register(SIGTERM, write).map_err(CliError::Signals)?;
    pipe::register(SIGINT, second).map_err(CliError::Signals)?;
    let mut read = Async::new(read).map_err(CliError::Signals)?;
    Ok(async move {
        let _ = read.read(&mut [0; 1]).await;
    })
}
