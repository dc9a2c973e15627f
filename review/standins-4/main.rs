//! The cases of the third review. `cases NAME FOLDER` runs one of them and writes `record.txt` there; it
//! exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
//!
//! `cases runner ADDR ID SERVICE STAGE VERSION RECORD` is a runner in a process of its own.

mod caller;
mod client;
mod crashed_runners;
mod fleet;
mod http;
mod json;
mod process;
mod record;
mod restored_lease;
mod restarted_node;
mod restarted_runners;
mod restored_versions;
mod runner;
mod store;

use record::Record;
use runner::{Runner, Spec};
use std::{path::Path, process::ExitCode, thread, time::Duration};

/// What a case found.
pub struct Verdict {
    /// Number of times that the rule was broken.
    pub broken: usize,
    /// What was seen.
    pub text: String,
}

pub const HOST: &str = "a.example";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    if args.first() != Some(&"runner") {
        fleet::limit_time(Duration::from_secs(100));
    }
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let result = match args.as_slice() {
        ["runner", addr, id, service, stage, version, record] => {
            return run_runner(addr, id, (service, stage, version), record);
        }
        ["crashed-runners", folder] => crashed_runners::run(Path::new(folder), has_trouble),
        ["gone-after-notice", folder] => {
            crashed_runners::run_with_notice(Path::new(folder), has_trouble)
        }
        ["restarted-runners", folder] => restarted_runners::run(Path::new(folder), has_trouble),
        ["restarted-node", folder] => restarted_node::run(Path::new(folder), has_trouble),
        ["restored-versions", folder] => restored_versions::run(Path::new(folder), has_trouble),
        ["restored-lease", folder] => restored_lease::run(Path::new(folder), has_trouble),
        _ => {
            eprintln!("unknown case");
            return ExitCode::from(2);
        }
    };
    fleet::end_started();
    match result {
        Ok(verdict) => {
            println!("{}", verdict.text);
            ExitCode::from(u8::from(verdict.broken > 0))
        }
        Err(error) => {
            println!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}

/// A runner whose answers have no length. Without a stage it is one of a plain service.
fn run_runner(
    addr: &str,
    id: &str,
    (service, stage, version): (&str, &str, &str),
    record: &str,
) -> ExitCode {
    let spec = match stage {
        "plain" => plain_spec(id, service),
        stage => Spec {
            unframed: std::env::var("FRAMED").is_err(),
            ..engine_spec(id, stage, version)
        },
    };
    let started = addr.parse().ok().and_then(|addr| {
        let record = Record::append_to(Path::new(record)).ok()?;
        Runner::start(spec, addr, record).ok()
    });
    if started.is_none() {
        return ExitCode::from(2);
    }
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

pub fn plain_spec(id: &str, service: &str) -> Spec {
    Spec {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        stage: String::new(),
        slots: 6,
        events: 0,
        gap: Duration::ZERO,
        switch: Duration::ZERO,
        unframed: true,
        pause: Duration::from_millis(400),
    }
}

pub fn engine_spec(id: &str, stage: &str, version: &str) -> Spec {
    Spec {
        id: id.to_owned(),
        service: "llm".to_owned(),
        zone: "a".to_owned(),
        version: version.to_owned(),
        stage: stage.to_owned(),
        slots: 64,
        events: 25,
        gap: Duration::from_millis(200),
        switch: Duration::from_millis(800),
        unframed: false,
        pause: Duration::ZERO,
    }
}

/// The operator's configuration.
pub fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"query","hostname":"{HOST}","prefix":"/query/","kind":"streaming","timeout-ms":6000,"target-latency-ms":400,"priority":1,"service":"llm","max-attempts":2,"session-affinity":true,"resumable":true,"target-gap-ms":400}},
{{"name":"lookup","hostname":"{HOST}","prefix":"/lookup/","kind":"idempotent","timeout-ms":3000,"target-latency-ms":300,"priority":2,"service":"desk","max-attempts":2,"session-affinity":false,"resumable":false}},
{{"name":"renew","hostname":"{HOST}","prefix":"/renew/","kind":"non_idempotent","timeout-ms":3000,"target-latency-ms":300,"priority":2,"service":"desk","max-attempts":2,"session-affinity":false,"resumable":false}}],
"services":[
{{"name":"llm","health-check-path":"/health","max-connections":730,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv-cache-tokens":400394,"kv-token-bytes":18432,"link-mbps":370000.0,"moves":true,"backups":true,"stride":16,"most":12,"handle-ttl-s":5.0,"stage-switch-s":0.8,"pin-ms":4000.0,"hold-ms":2000.0,"models":[{{"name":"m"}}]}}}},
{{"name":"desk","health-check-path":"/health","max-connections":470,"protocol":"h1","tls":false}}],
"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#
    )
}
