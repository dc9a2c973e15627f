//! What stand-ins counted on their side, and calls of a fleet's nodes as its one caller.

use crate::{ACCOUNT_KEY, Fleet, Process, TOKEN, TextRequest, TextResponse, get, send_request};
use rw_http::{Method, SendError};
use serde::{Deserialize, de::DeserializeOwned};
use smol::Timer;
use std::{io, time::Duration};

/// Longest wait for the nodes to read the VM list.
const KNOW_LIMIT: Duration = Duration::from_secs(30);
/// Pause between looks.
const PAUSE: Duration = Duration::from_millis(20);

#[derive(Debug, Deserialize)]
struct Held {
    key: String,
    body: String,
}

impl Fleet {
    /// Runs under an idempotency key, over all services.
    pub async fn key_runs(&self, key: &str) -> usize {
        self.count_held(|held| held.key == key).await
    }

    /// Runs of a body, over all services.
    pub async fn body_runs(&self, body: &str) -> usize {
        self.count_held(|held| held.body == body).await
    }

    /// Calls of a path that a stand-in got, whatever became of them.
    pub async fn calls(&self, process: &Process, path: &str) -> u64 {
        let calls: Vec<(String, u64)> = read(process, "/calls").await;
        let found = calls.into_iter().find(|c| c.0 == path);
        found.map_or(0, |c| c.1)
    }

    /// Writes and reads of the table so far.
    pub async fn table_stats(&self) -> (u64, u64) {
        read(&self.platform, "/table/stats").await
    }

    /// Sends a POST to node `n` as the fleet's caller; an empty key is left out.
    ///
    /// # Errors
    ///
    /// Any [`SendError`].
    pub async fn post(
        &self,
        n: usize,
        path: &str,
        key: &str,
        body: &str,
    ) -> Result<TextResponse, SendError> {
        let bearer = format!("Bearer {ACCOUNT_KEY}");
        let mut headers = vec![("authorization", bearer.as_str())];
        if !key.is_empty() {
            headers.push(("idempotency-key", key));
        }
        let sent = TextRequest {
            method: Method::Post,
            path,
            body,
            headers: &headers,
        };
        send_request(&self.nodes[n].addr("callers"), sent).await
    }

    /// Reads of the VM list by node `n` so far.
    async fn list_reads(&self, n: usize) -> u64 {
        let metrics = get(&self.nodes[n].addr("callers"), "/metrics").await;
        let text = metrics.expect("the node answers its metrics").body;
        let name = r#"rw_platform_total{call="vms",end="ok"} "#;
        let value = text.lines().find_map(|l| l.strip_prefix(name));
        value.and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// Waits until every node has read the VM list as it is now.
    ///
    /// # Errors
    ///
    /// A time-out.
    pub async fn wait_vm_list(&self) -> io::Result<()> {
        for n in 0..self.nodes.len() {
            let first = self.list_reads(n).await;
            let mut tries = KNOW_LIMIT.as_millis() / PAUSE.as_millis();
            // A read that was under way may still bring the list as it was.
            while self.list_reads(n).await < first + 2 {
                tries = tries.checked_sub(1).ok_or(io::ErrorKind::TimedOut)?;
                Timer::after(PAUSE).await;
            }
        }
        Ok(())
    }

    /// Whether every node takes every target for open.
    pub async fn all_targets_open(&self) -> bool {
        for node in &self.nodes {
            let bearer = format!("Bearer {TOKEN}");
            let status = TextRequest {
                method: Method::Post,
                path: "/",
                body: r#"{"jsonrpc":"2.0","id":1,"method":"status","params":[]}"#,
                headers: &[("authorization", bearer.as_str())],
            };
            let answer = send_request(&node.addr("operators"), status).await;
            let answer = answer.expect("the node answers its status");
            let status: serde_json::Value =
                serde_json::from_str(&answer.body).expect("the status is JSON");
            let targets = status["result"]["targets"].as_array();
            let targets = targets.expect("the status lists targets");
            if targets.iter().any(|t| t[2] == false) {
                return false;
            }
        }
        true
    }

    async fn count_held(&self, wanted: impl Fn(&Held) -> bool) -> usize {
        let mut runs = 0;
        for service in &self.services {
            let held: Vec<Held> = read(service, "/held").await;
            runs += held.iter().filter(|h| wanted(h)).count();
        }
        runs
    }
}

async fn read<T: DeserializeOwned>(process: &Process, path: &str) -> T {
    let answer = get(&process.addr(""), path).await;
    let answer = answer.expect("the stand-in answers");
    serde_json::from_str(&answer.body).expect("the stand-in answers JSON")
}
