//! A runner of the model service in a process of its own, which can crash and start again.

use crate::fleet::{free_addr, track, untrack};
use std::{
    io,
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    time::{SystemTime, UNIX_EPOCH},
};

pub struct RunnerProcess {
    pub id: String,
    addr: SocketAddr,
    stage: &'static str,
    version: &'static str,
    born: u128,
    child: Option<Child>,
}

impl RunnerProcess {
    pub fn new(id: &str, stage: &'static str) -> Self {
        Self {
            id: id.to_owned(),
            addr: free_addr(),
            stage,
            version: "",
            born: 0,
            child: None,
        }
    }

    /// Starts the process with `version` of its software; its record is that of the case.
    pub fn start(&mut self, version: &'static str, folder: &Path) -> io::Result<()> {
        self.version = version;
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        self.born = since.map_or(0, |d| d.as_millis());
        let child = Command::new(std::env::current_exe()?)
            .env("FRAMED", "1")
            .args(["runner", &self.addr.to_string(), &self.id, "llm", self.stage, version])
            .arg(folder.join("record.txt"))
            .stdin(Stdio::null())
            .spawn()?;
        track(&child);
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            untrack(child.id());
        }
    }

    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// The runner's entry in the store.
    pub fn entry(&self) -> String {
        format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"{}\",\"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0,\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"born\":{},\"sequence\":1}}",
            self.addr, self.version, self.stage, self.born
        )
    }
}

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
