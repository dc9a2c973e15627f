//! Errors of the command line.

use displaydoc::Display;
use rw_node::{RpcError, ServeError};
use std::io;

/// Why a command failed. The message names the setting or file, and the remedy.
#[derive(Debug, Display)]
pub enum CliError {
    /// invalid value '{value}' for setting {name}; expected {expected}
    InvalidSetting {
        /// Flag.
        name: String,
        /// Value as given.
        value: String,
        /// Description of the valid values.
        expected: &'static str,
    },
    /// setting {0} is missing; pass the flag or set the environment variable
    MissingSetting(String),
    /// {0}
    Serve(ServeError),
    /// settings file {0}: {1}
    InvalidRelayFile(String, String),
    /// {0}
    Relay(rw_relay::ServeError),
    /// {0}
    Rpc(RpcError),
    /// --listen can't be bound: {0}; choose a free address of this VM
    Bind(io::Error),
    /// logs can't be written: {0}; check the log settings
    Logs(String),
    /// signal handlers can't be installed: {0}; check the limit on open files
    Signals(io::Error),
    /// {0} has mistakes, and nothing of it was taken:{1}
    InvalidIntent(String, String),
    /// the operating system provided no random numbers; check that the VM has an entropy source
    NoRandomSource,
    /// {0}
    Failed(String),
}

impl std::error::Error for CliError {}

impl CliError {
    /// Returns the exit code: 2 for errors in the arguments, settings or files given, 1 for work
    /// that failed.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Failed(_) | Self::Rpc(_) | Self::Signals(_) | Self::NoRandomSource => 1,
            _ => 2,
        }
    }
}

impl From<ServeError> for CliError {
    fn from(error: ServeError) -> Self {
        Self::Serve(error)
    }
}

impl From<RpcError> for CliError {
    fn from(error: RpcError) -> Self {
        Self::Rpc(error)
    }
}
