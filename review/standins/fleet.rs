//! A small deployment: the store with its configuration, runners and one node.

use crate::{
    http::{Conn, Head},
    runner::Entry,
    store::Store,
};

pub const HOST: &str = "ficu95.example";
pub const LLM: &str = "huvo11a";
pub const PLAIN: &str = "wuno96b";
/// Prefix of the streaming route whose streams may be resumed.
pub const RESUMABLE: &str = "/pufi791/";
/// Prefix of the streaming route whose streams may not be resumed.
pub const STREAM: &str = "/lohu930/";
/// Prefix of the non-idempotent route.
pub const ONCE: &str = "/puxa403/";
/// Prefix of the idempotent route.
pub const SAFE: &str = "/cufi504/";

/// Writes `op/config` as the operator does, with routes, times and limits of ogulauki-picks.
pub fn configure(store: &Store, version: u64, slots: u32) -> bool {
    configure_with(store, version, slots, "")
}

/// The same with further fields.
pub fn configure_with(store: &Store, version: u64, slots: u32, fields: &str) -> bool {
    write_config(store, version, slots, 1_000, fields)
}

/// The same with another time-out of plain requests.
pub fn configure_timeout(store: &Store, version: u64, timeout_ms: u64) -> bool {
    write_config(store, version, 64, timeout_ms, "")
}

fn write_config(store: &Store, version: u64, slots: u32, timeout_ms: u64, fields: &str) -> bool {
    let stream_ms = 5_000 + timeout_ms;
    let route = |name: &str, prefix: &str, kind: &str, service: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"service\":\"{service}\",{rest}}}"
        )
    };
    let routes = [
        route("r-2b9wu3f", RESUMABLE, "streaming", LLM, "\"timeout-ms\":4000,\"target-latency-ms\":600,\"priority\":1,\"max-attempts\":2,\"session-affinity\":true,\"resumable\":true,\"target-gap-ms\":300"),
        route("r-i9n73hh", STREAM, "streaming", LLM, &format!("\"timeout-ms\":{stream_ms},\"target-latency-ms\":800,\"priority\":2,\"max-attempts\":1,\"session-affinity\":true,\"resumable\":false,\"target-gap-ms\":300")),
        route("r-7ke20sd", ONCE, "non_idempotent", PLAIN, &format!("\"timeout-ms\":{timeout_ms},\"target-latency-ms\":150,\"priority\":2,\"max-attempts\":1,\"session-affinity\":false")),
        route("r-0qm31xc", SAFE, "idempotent", PLAIN, &format!("\"timeout-ms\":{timeout_ms},\"target-latency-ms\":150,\"priority\":2,\"max-attempts\":2,\"session-affinity\":false")),
    ]
    .join(",");
    let services = format!(
        "{{\"name\":\"{LLM}\",\"health-check-path\":\"/health\",\"max-connections\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":{slots},\"kv-cache-tokens\":462764,\"kv-token-bytes\":18432,\"link-mbps\":370000.0,\"moves\":true,\"backups\":true,\"stride\":8,\"most\":12,\"handle-ttl-s\":5.0,\"stage-switch-s\":3.0,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"models\":[{{\"name\":\"m\"}}]}}}},{{\"name\":\"{PLAIN}\",\"health-check-path\":\"/health\",\"max-connections\":110,\"protocol\":\"h1\",\"tls\":false}}"
    );
    let body = format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}{fields}}}"
    );
    store.put("op", "config", &body)
}

/// Entry of a model runner that decodes.
pub fn llm_entry(slots: u32, stage: &str) -> Entry {
    Entry {
        service: LLM.to_owned(),
        slots,
        state: "ready".to_owned(),
        stage: Some(stage.to_owned()),
    }
}

/// Entry of a runner of the plain service.
pub fn plain_entry() -> Entry {
    Entry {
        service: PLAIN.to_owned(),
        slots: 6,
        state: "ready".to_owned(),
        stage: None,
    }
}

/// Head of a client's request for a stream.
pub fn stream_request(prefix: &str, id: &str, body_bytes: usize, deadline_ms: u64) -> String {
    format!(
        "POST {prefix}2f HTTP/1.1\r\nHost: {HOST}\r\nRedwingweir-Attempt-Id: {id}\r\nRedwingweir-Model: m\r\nRedwingweir-Token-Usage: 1460,80\r\nRedwingweir-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,{id}:250\r\nRedwingweir-Deadline-Ms: {deadline_ms}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
}

/// Answers the calls to a runner that are no requests of clients; false if `head` is one of those.
pub fn answer_own_calls(conn: &mut Conn, head: &Head, stage: &str, sequence: u64) -> bool {
    let body = match (head.method(), head.path()) {
        ("GET", "/redwingweir/report") => format!(
            "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"sequence\":{sequence},\"queued-count\":0,\"active-count\":0,\"kv-used\":0,\"kv-capacity\":462764,\"handles\":0}}"
        ),
        ("GET", "/health") => String::new(),
        ("DELETE", path) if path.starts_with("/redwingweir/") => "{}".to_owned(),
        _ => return false,
    };
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let _ = conn.write(text.as_bytes());
    true
}
