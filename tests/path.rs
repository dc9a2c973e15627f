//! Requests of every kind from caller to target and back, on separate processes.

use rw_http::Method;
use rw_test::{ACCOUNT_KEY, Fleet, FleetSettings, TextRequest, send_request};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");

struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    body: &'static str,
    key: &'static str,
    status: u16,
    outcome: &'static str,
    expected: &'static str,
}

const CASES: &[Case] = &[
    Case {
        name: "models",
        method: Method::Get,
        path: "/v1/models",
        body: "",
        key: ACCOUNT_KEY,
        status: 200,
        outcome: "",
        expected: "small",
    },
    Case {
        name: "unstreamed",
        method: Method::Post,
        path: "/v1/chat/completions",
        body: r#"{"model":"small","max_tokens":20,"messages":[{"role":"user","content":"hello"}]}"#,
        key: ACCOUNT_KEY,
        status: 200,
        outcome: "done",
        expected: "\"completion_tokens\":20",
    },
    Case {
        name: "streamed",
        method: Method::Post,
        path: "/v1/completions",
        body: r#"{"model":"small","max_tokens":20,"prompt":"hello","stream":true}"#,
        key: ACCOUNT_KEY,
        status: 200,
        outcome: "done",
        expected: "data: [DONE]",
    },
    Case {
        name: "service",
        method: Method::Post,
        path: "/services/reservations/reserve",
        body: r#"{"score":7}"#,
        key: ACCOUNT_KEY,
        status: 200,
        outcome: "done",
        expected: "POST /reserve",
    },
    Case {
        name: "unknown key",
        method: Method::Get,
        path: "/v1/models",
        body: "",
        key: "nobody",
        status: 401,
        outcome: "not-run",
        expected: "unknown-key",
    },
    Case {
        name: "unknown model",
        method: Method::Post,
        path: "/v1/completions",
        body: r#"{"model":"large","prompt":"hello"}"#,
        key: ACCOUNT_KEY,
        status: 404,
        outcome: "not-run",
        expected: "unknown-model",
    },
    Case {
        name: "broken JSON",
        method: Method::Post,
        path: "/v1/completions",
        body: r#"{"model":7}"#,
        key: ACCOUNT_KEY,
        status: 400,
        outcome: "not-run",
        expected: "expected a string",
    },
];

#[test]
fn every_kind_of_request_gets_its_response() {
    smol::block_on(async {
        let fleet = Fleet::start(BINARY, FleetSettings::default())
            .await
            .expect("the fleet starts");
        for node in &fleet.nodes {
            for case in CASES {
                let bearer = format!("Bearer {}", case.key);
                let headers = [("authorization", bearer.as_str())];
                let sent = TextRequest {
                    method: case.method,
                    path: case.path,
                    body: case.body,
                    headers: &headers,
                };
                let response = send_request(&node.addr("callers"), sent)
                    .await
                    .expect(case.name);
                assert_eq!(
                    response.status, case.status,
                    "{}: {}",
                    case.name, response.body
                );
                assert_eq!(response.outcome, case.outcome, "{}", case.name);
                assert!(
                    response.body.contains(case.expected),
                    "{}: {}",
                    case.name,
                    response.body
                );
            }
        }
    });
}
