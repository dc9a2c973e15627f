//! A process of the binary under test.

use std::{
    io::{self, BufRead as _, BufReader},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// A running process, killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The first line it printed.
    pub first_line: String,
}

impl Process {
    /// Starts `binary` and waits for its first line.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn start(binary: &str, args: &[String], env: &[(&str, &str)]) -> io::Result<Self> {
        Self::start_with(binary, args, env, Stdio::inherit())
    }

    /// Starts `binary` with its logs, on standard error, going to `logs`.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
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
        if let Some(out) = child.stdout.take() {
            BufReader::new(out).read_line(&mut first_line)?;
        }
        Ok(Self {
            child,
            first_line: first_line.trim().to_owned(),
        })
    }

    /// The value of `name=` in the first line, or its last word for an empty name.
    #[must_use]
    pub fn addr(&self, name: &str) -> String {
        let mut words = self.first_line.split(' ');
        let word = if name.is_empty() {
            words.next_back()
        } else {
            words.find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
        };
        word.unwrap_or_default().to_owned()
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills it at once.
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
            "signal {name} was not sent"
        );
    }

    /// Waits for its end for at most `limit` and returns its exit code.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
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
