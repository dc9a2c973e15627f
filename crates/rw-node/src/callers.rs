//! The HTTP API for callers.

use crate::{
    Shell,
    completion::{bad_request, error, refuse, with_outcome},
    parse::{header, parse_generate, parse_plain},
    tickets::unparsed_outcome,
};
use rw_core::{Call, Operation};
use rw_http::{Method, Request, Response, json, raw, read_body};
use rw_types::{Config, Outcome, Refusal, RefusalKind};
use std::sync::Arc;

/// Maximum number of model names that a refusal lists.
const MAX_LISTED: usize = 50;

impl Shell {
    /// Handles one HTTP request of a caller.
    pub(crate) async fn handle_caller(self: Arc<Self>, mut request: Request) -> Response {
        let path = request.url().path().to_owned();
        match path.as_str() {
            "/healthz" => return raw(200, b"ok\n".to_vec(), "text/plain"),
            "/readyz" => return self.ready(),
            "/metrics" => {
                self.update_burn_gauges();
                return raw(200, self.metrics.text(), "text/plain; version=0.0.4");
            }
            _ => {}
        }
        let config = self.config();
        let Some(caller) = self.account(&request) else {
            let kind = RefusalKind::UnknownKey;
            return refuse(&Refusal {
                kind,
                outcome: unparsed_outcome(&request),
                retry_ms: 0,
            });
        };
        if request.method() == Method::Get && path == "/v1/models" {
            return models(&config);
        }
        if request.method() == Method::Post && path == "/tickets" {
            return self.mint_ticket();
        }
        let outcome = unparsed_outcome(&request);
        let body = match read_body(&mut request, self.settings.max_body_bytes).await {
            Ok(body) => body,
            Err(status) => {
                let text = "the body is truncated or over the limit; send a smaller one";
                return bad_request(status.into(), text, outcome);
            }
        };
        let now = self.now();
        let parsed = match (request.method(), path.as_str()) {
            (Method::Post, "/v1/chat/completions") => {
                parse_generate(&request, &body, true, &caller, &config, now)
            }
            (Method::Post, "/v1/completions") => {
                parse_generate(&request, &body, false, &caller, &config, now)
            }
            (_, path) if path.starts_with("/services/") => {
                let (name, rest) = split_service(path);
                parse_plain(&request, body, name, rest, &caller, &config, now)
            }
            _ => {
                let text = "no such path; use /v1/…, /tickets or /services/<name>/…";
                return bad_request(404, text, outcome);
            }
        };
        match parsed {
            Ok((call, _)) if !is_served(&call, &config) => unknown_model(&config),
            Ok((call, payload)) => self.handle_call(call, payload).await,
            Err(error) => bad_request(400, &error.to_string(), outcome),
        }
    }

    fn ready(&self) -> Response {
        if self.lock().is_available(self.now()) {
            raw(200, b"ready\n".to_vec(), "text/plain")
        } else {
            raw(503, b"not ready\n".to_vec(), "text/plain")
        }
    }

    /// Returns the name of the account that the bearer key belongs to.
    fn account(&self, request: &Request) -> Option<String> {
        let key = header(request, "authorization")?.strip_prefix("Bearer ")?;
        let accounts = self.accounts();
        accounts.find(&self.settings.secret, key).map(str::to_owned)
    }
}

fn models(config: &Config) -> Response {
    let entry = |name: &str| serde_json::json!({ "id": name, "object": "model" });
    let data: Vec<_> = config.models.iter().map(|m| entry(&m.name)).collect();
    json(200, &serde_json::json!({ "object": "list", "data": data }))
}

/// Whether the model that the call names is declared; always true for a plain service.
fn is_served(call: &Call, config: &Config) -> bool {
    match &call.operation {
        Operation::Generate { model, .. } => config.model(model).is_some(),
        Operation::Service { .. } => true,
    }
}

/// Builds a refusal that lists the models served.
fn unknown_model(config: &Config) -> Response {
    let names = config.models.iter().map(|m| m.name.as_str());
    let names: Vec<_> = names.take(MAX_LISTED).collect();
    let message = format!(
        "the model is not served; choose one of: {}",
        names.join(", ")
    );
    with_outcome(
        error(404, "unknown-model", &message, Outcome::NotRun),
        Outcome::NotRun,
    )
}

/// Splits a path into the service name and the path below it.
fn split_service(path: &str) -> (&str, &str) {
    let rest = path.trim_start_matches("/services/");
    match rest.find('/') {
        Some(i) => rest.split_at(i),
        None => (rest, "/"),
    }
}
