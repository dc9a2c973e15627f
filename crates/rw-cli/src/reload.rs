//! Reloads a settings file when it changes or on SIGHUP.

use crate::{CliError, relay_settings::read_relay_file};
use async_channel::Sender;
use rw_relay::RelaySettings;
use signal_hook::{consts::SIGHUP, low_level::pipe};
use smol::{Async, Timer, future, io::AsyncReadExt as _};
use std::{fs, os::unix::net::UnixStream, time::Duration};

/// Interval between checks of the file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watcher of a settings file.
#[derive(Debug)]
pub struct Reload {
    path: String,
    signal: Async<UnixStream>,
    content: Vec<u8>,
}

impl Reload {
    /// Starts watching the file at `path`. From then on SIGHUP no longer ends the process.
    ///
    /// # Errors
    ///
    /// [`CliError::Signals`] if the handler can't be installed.
    pub fn watch(path: &str) -> Result<Self, CliError> {
        let (read, write) = UnixStream::pair().map_err(CliError::Signals)?;
        pipe::register(SIGHUP, write).map_err(CliError::Signals)?;
        Ok(Self {
            path: path.to_owned(),
            signal: Async::new(read).map_err(CliError::Signals)?,
            // A file that can't be read now is read again at the first check.
            content: fs::read(path).unwrap_or_default(),
        })
    }

    /// Sends the settings each time the file changes and on each SIGHUP. If the file is invalid,
    /// the settings in force stay.
    pub async fn run(mut self, settings: Sender<RelaySettings>) {
        loop {
            let signal = &mut self.signal;
            let signalled = async { signal.read(&mut [0; 16]).await.is_ok() };
            let poll = async {
                Timer::after(POLL_INTERVAL).await;
                false
            };
            let signalled = future::or(signalled, poll).await;
            let bytes = match fs::read(&self.path) {
                Ok(bytes) => bytes,
                Err(error) => {
                    log::warn!(error:%; "settings file can't be read; the settings in force stay");
                    continue;
                }
            };
            if !signalled && bytes == self.content {
                continue;
            }
            self.content = bytes;
            match read_relay_file(&self.path) {
                Ok(file) => {
                    // Sending fails only when the relay has stopped.
                    if settings.send(file.relay).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    log::warn!(error:%; "settings file is invalid; the settings in force stay");
                }
            }
        }
    }
}
