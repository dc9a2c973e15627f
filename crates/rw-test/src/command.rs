//! One run of the binary to its end.

use std::{io, process::Command};

/// What a run left.
#[derive(Debug, Clone)]
pub struct Output {
    /// Exit code.
    pub code: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

/// Runs `binary` to its end.
///
/// # Errors
///
/// The error of the operating system.
pub fn run(binary: &str, args: &[&str], env: &[(&str, &str)]) -> io::Result<Output> {
    let ran = Command::new(binary)
        .args(args)
        .envs(env.iter().copied())
        .output()?;
    Ok(Output {
        code: ran.status.code().unwrap_or(-1),
        stdout: String::from_utf8_lossy(&ran.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&ran.stderr).into_owned(),
    })
}
