//! Runs a command of the binary to completion.

use std::{io, process::Command};

/// Result of a completed command.
#[derive(Debug, Clone)]
pub struct Output {
    /// Exit code; -1 if a signal ended the process.
    pub code: i32,
    /// Text on standard output.
    pub stdout: String,
    /// Text on standard error.
    pub stderr: String,
}

/// Runs `binary` and waits until it exits.
///
/// # Errors
///
/// Any error of the operating system.
pub fn run(binary: &str, args: &[&str], env: &[(&str, &str)]) -> io::Result<Output> {
    let output = Command::new(binary)
        .args(args)
        .envs(env.iter().copied())
        .output()?;
    Ok(Output {
        code: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    })
}
