//! Notices that a settings file changed.

use crate::{CliError, relay_settings::read_relay_file};
use async_channel::Sender;
use rw_relay::RelaySettings;
use signal_hook::{consts::SIGHUP, low_level::pipe};
use smol::{Async, Timer, future, io::AsyncReadExt as _};
use std::{fs, os::unix::net::UnixStream, time::Duration};

/// Pause between looks at the file, which may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the file at `path`.
#[derive(Debug)]
pub struct Reload {
    path: String,
    signal: Async<UnixStream>,
    content: Vec<u8>,
}

impl Reload {
    /// From now on SIGHUP no longer ends the process.
    ///
    /// # Errors
    ///
    /// [`CliError::Signals`] if no handler can be set.
    pub fn watch(path: &str) -> Result<Self, CliError> {
        let (read, write) = UnixStream::pair().map_err(CliError::Signals)?;
        pipe::register(SIGHUP, write).map_err(CliError::Signals)?;
        Ok(Self {
            path: path.to_owned(),
            signal: Async::new(read).map_err(CliError::Signals)?,
            // One that can't be read now is reread at the first look.
            content: fs::read(path).unwrap_or_default(),
        })
    }

    /// Sends each new version of the settings; a wrong one leaves those in force.
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
                    // The receiver lives as long as the process.
                    if settings.send(file.relay).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    log::warn!(error:%; "settings are wrong; the settings in force stay");
                }
            }
        }
    }
}
