//! Processes of the binary under test.

use std::{
    io::{self, BufRead as _, BufReader},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// A running process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// First line on standard output; empty if the process exited before printing one.
    pub first_line: String,
}

impl Process {
    /// Starts `binary` and waits for its first line on standard output.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn start(binary: &str, args: &[String], env: &[(&str, &str)]) -> io::Result<Self> {
        Self::start_with(binary, args, env, Stdio::inherit())
    }

    /// Like [`Process::start`], with standard error, which has the logs, redirected to `logs`.
    ///
    /// # Errors
    ///
    /// Any error of the operating system.
    pub fn start_with(
        binary: &str,
        args: &[String],
        env: &[(&str, &str)],
        logs: Stdio,
    ) -> io::Result<Self> {
        let mut command = Command::new(binary);
        command.args(args).envs(env.iter().copied()).stderr(logs);
        let mut child = command.stdout(Stdio::piped()).spawn()?;
        let mut first_line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut first_line)?;
        }
        Ok(Self {
            child,
            first_line: first_line.trim().to_owned(),
        })
    }

    /// Value of the field `name=` in the first line, or its last word if `name` is empty.
    #[must_use]
    pub fn addr(&self, name: &str) -> String {
        let mut fields = self.first_line.split(' ');
        let value = if name.is_empty() {
            fields.next_back()
        } else {
            fields.find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
        };
        value.unwrap_or_default().to_owned()
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by name, for example `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([&format!("-{name}"), &self.id().to_string()])
            .status();
        assert!(
            status.is_ok_and(|s| s.success()),
            "signal {name} could not be sent"
        );
    }

    /// Waits at most `timeout` for the process to exit and returns its exit code; `None` after a
    /// timeout, or if a signal ended the process.
    pub fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
