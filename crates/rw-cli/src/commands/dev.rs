//! `dev`: runs a small fleet in one process, for trying it out and for smoke tests.

use super::CommandSpec;
use crate::{
    CliError,
    dev_fleet::{DevFleet, start_fleet},
    logs::start_logs,
    stop::stop_signal,
};
use clap::{Arg, ArgAction, ArgMatches, Command};
use rw_http::{Client, Method, Pooling, Request, Url};
use std::{net::SocketAddr, time::Duration};

/// Time limit of one probe request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of retries until a node is ready.
const MAX_READY_TRIES: u32 = 200;
/// Interval between readiness checks of a node.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the specification of the command.
pub fn spec() -> CommandSpec {
    CommandSpec {
        name: "dev",
        build,
        run,
    }
}

fn build() -> Command {
    Command::new("dev")
        .about("Runs fakes of the platform, two engines and a service, and three nodes, in one process")
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Sends one request of each kind, prints a line for each and exits"),
        )
        .after_help("Example:\n  redwingweir dev --check")
}

fn run(matches: &ArgMatches) -> Result<(), CliError> {
    start_logs("warn", "text")?;
    let check = matches.get_flag("check");
    let stop = stop_signal()?;
    smol::block_on(async {
        let fleet = start_fleet().await?;
        wait_ready(&fleet).await?;
        if check {
            return send_probes(&fleet).await;
        }
        print_hint(&fleet);
        stop.await;
        Ok(())
    })
}

fn print_hint(fleet: &DevFleet) {
    println!("try:");
    println!(
        "  curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {}' \
         -d '{{\"model\":\"small\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'",
        fleet.callers[0], fleet.key
    );
}

async fn wait_ready(fleet: &DevFleet) -> Result<(), CliError> {
    for addr in &fleet.callers {
        let probe = Probe {
            name: "ready",
            method: Method::Get,
            path: "/readyz",
            body: "",
            key: None,
            expected: "ready",
        };
        let mut tries = 0;
        while send(&probe, *addr, fleet.key).await.is_err() {
            tries += 1;
            if tries > MAX_READY_TRIES {
                return Err(CliError::Failed(format!(
                    "node at {addr} is not ready after {MAX_READY_TRIES} retries"
                )));
            }
            smol::Timer::after(READY_POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// A request sent by `--check`, and a text that its response must contain.
struct Probe {
    name: &'static str,
    method: Method,
    path: &'static str,
    body: &'static str,
    key: Option<&'static str>,
    expected: &'static str,
}

const PROBES: &[Probe] = &[
    Probe {
        name: "models",
        method: Method::Get,
        path: "/v1/models",
        body: "",
        key: None,
        expected: "small",
    },
    Probe {
        name: "chat, whole",
        method: Method::Post,
        path: "/v1/chat/completions",
        body: r#"{"model":"small","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}"#,
        key: None,
        expected: "\"completion_tokens\":8",
    },
    Probe {
        name: "chat, streamed",
        method: Method::Post,
        path: "/v1/chat/completions",
        body: r#"{"model":"small","max_tokens":8,"stream":true,"messages":[{"role":"user","content":"hello"}]}"#,
        key: None,
        expected: "data: [DONE]",
    },
    Probe {
        name: "completion, whole",
        method: Method::Post,
        path: "/v1/completions",
        body: r#"{"model":"small","max_tokens":8,"prompt":"hello"}"#,
        key: None,
        expected: "\"completion_tokens\":8",
    },
    Probe {
        name: "completion, streamed",
        method: Method::Post,
        path: "/v1/completions",
        body: r#"{"model":"small","max_tokens":8,"stream":true,"prompt":"hello"}"#,
        key: None,
        expected: "data: [DONE]",
    },
    Probe {
        name: "service, idempotent",
        method: Method::Get,
        path: "/services/reservations/lookup/7",
        body: "",
        key: None,
        expected: "GET /lookup/7",
    },
    Probe {
        name: "service, non-idempotent",
        method: Method::Post,
        path: "/services/reservations/reserve",
        body: r#"{"score":7}"#,
        key: Some("check-1"),
        expected: "\"run\":2",
    },
    Probe {
        name: "service, sent again with its key",
        method: Method::Post,
        path: "/services/reservations/reserve",
        body: r#"{"score":7}"#,
        key: Some("check-1"),
        expected: "\"run\":2",
    },
];

async fn send_probes(fleet: &DevFleet) -> Result<(), CliError> {
    let mut failed = 0;
    for (i, probe) in PROBES.iter().enumerate() {
        let addr = fleet.callers[i % fleet.callers.len()];
        match send(probe, addr, fleet.key).await {
            Ok(()) => println!("ok      {}", probe.name),
            Err(error) => {
                failed += 1;
                println!("failed  {}: {error}", probe.name);
            }
        }
    }
    if failed > 0 {
        return Err(CliError::Failed(format!(
            "{failed} of {} requests failed",
            PROBES.len()
        )));
    }
    Ok(())
}

async fn send(probe: &Probe, addr: SocketAddr, key: &str) -> Result<(), CliError> {
    let failed = |text: String| CliError::Failed(text);
    let url =
        Url::parse(&format!("http://{addr}{}", probe.path)).map_err(|e| failed(e.to_string()))?;
    let mut request = Request::new(probe.method, url);
    request.set_body(probe.body);
    request.insert_header("authorization", format!("Bearer {key}"));
    if let Some(key) = probe.key {
        request.insert_header("idempotency-key", key);
    }
    let client = Client::default();
    let result = client
        .send(&addr.to_string(), request, Pooling::Fresh, REQUEST_TIMEOUT)
        .await;
    let response = result.map_err(|e| failed(e.to_string()))?;
    let status = response.status();
    let body = response
        .bytes(REQUEST_TIMEOUT)
        .await
        .map_err(|e| failed(e.to_string()))?;
    let text = String::from_utf8_lossy(&body);
    if status != 200 || !text.contains(probe.expected) {
        return Err(failed(format!("status {status}, body {text}")));
    }
    Ok(())
}
