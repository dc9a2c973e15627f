//! Counters of the fakes and nodes, and calls of the nodes with the fleet's client account.

use crate::{ACCOUNT_KEY, Fleet, Process, TOKEN, TextRequest, TextResponse, get, send_request};
use rw_http::{Method, SendError};
use serde::{Deserialize, de::DeserializeOwned};
use smol::Timer;
use std::{io, time::Duration};

/// Timeout for each node to read the VM list.
const VM_LIST_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Debug, Deserialize)]
struct RecordedCall {
    key: String,
    body: String,
}

impl Fleet {
    /// Number of calls with the idempotency key `key` that all services have run.
    pub async fn key_runs(&self, key: &str) -> usize {
        self.count_calls(|call| call.key == key).await
    }

    /// Number of calls with the body `body` that all services have run.
    pub async fn body_runs(&self, body: &str) -> usize {
        self.count_calls(|call| call.body == body).await
    }

    /// Number of calls of `path` that a fake has received, including those that failed.
    pub async fn calls(&self, process: &Process, path: &str) -> u64 {
        let calls: Vec<(String, u64)> = read(process, "/calls").await;
        let found = calls.into_iter().find(|c| c.0 == path);
        found.map_or(0, |c| c.1)
    }

    /// Number of table writes and of table reads so far.
    pub async fn table_stats(&self) -> (u64, u64) {
        read(&self.platform, "/table/stats").await
    }

    /// Sends a POST request to node `n` with the key of the client account. No idempotency key is
    /// sent if `key` is empty.
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
        let request = TextRequest {
            method: Method::Post,
            path,
            body,
            headers: &headers,
        };
        send_request(&self.nodes[n].addr("callers"), request).await
    }

    /// Number of successful reads of the VM list by node `n` so far.
    async fn vm_list_reads(&self, n: usize) -> u64 {
        let metrics = get(&self.nodes[n].addr("callers"), "/metrics").await;
        let text = metrics.expect("the node returns its metrics").body;
        let name = r#"rw_platform_total{call="vms",end="ok"} "#;
        let value = text.lines().find_map(|l| l.strip_prefix(name));
        value.and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    /// Waits until every node has read the current VM list.
    ///
    /// # Errors
    ///
    /// A timeout.
    pub async fn wait_vm_list(&self) -> io::Result<()> {
        for n in 0..self.nodes.len() {
            let first = self.vm_list_reads(n).await;
            let mut polls_left = VM_LIST_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
            // The first counted read may have been in flight and return the previous list.
            while self.vm_list_reads(n).await < first + 2 {
                polls_left = polls_left.checked_sub(1).ok_or(io::ErrorKind::TimedOut)?;
                Timer::after(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Whether every node regards every target as available for new requests.
    pub async fn all_targets_open(&self) -> bool {
        for node in &self.nodes {
            let bearer = format!("Bearer {TOKEN}");
            let status = TextRequest {
                method: Method::Post,
                path: "/",
                body: r#"{"jsonrpc":"2.0","id":1,"method":"status","params":[]}"#,
                headers: &[("authorization", bearer.as_str())],
            };
            let response = send_request(&node.addr("operators"), status).await;
            let response = response.expect("the node returns its status");
            let status: serde_json::Value =
                serde_json::from_str(&response.body).expect("the status is JSON");
            let targets = status["result"]["targets"].as_array();
            let targets = targets.expect("the status lists targets");
            if targets.iter().any(|t| t[2] == false) {
                return false;
            }
        }
        true
    }

    async fn count_calls(&self, matches: impl Fn(&RecordedCall) -> bool) -> usize {
        let mut runs = 0;
        for service in &self.services {
            let calls: Vec<RecordedCall> = read(service, "/held").await;
            runs += calls.iter().filter(|c| matches(c)).count();
        }
        runs
    }
}

async fn read<T: DeserializeOwned>(process: &Process, path: &str) -> T {
    let response = get(&process.addr(""), path).await;
    let response = response.expect("the fake responds");
    serde_json::from_str(&response.body).expect("the fake responds with JSON")
}
