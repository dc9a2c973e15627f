//! JSON-RPC over HTTP (`async-h1`) between the processes of this system.

use crate::Shell;
use displaydoc::Display;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use rw_http::{Client, Pooling, Request, Response, post_json, raw, read_body};
use serde::{Serialize, de::DeserializeOwned};
use std::{sync::Arc, time::Duration};
use subtle::{Choice, ConstantTimeEq as _};

/// Maximum size of a call's body.
const MAX_CALL_BYTES: u64 = 16 << 20;

/// Result of a method, as sent to the client.
pub(crate) type RpcResult<T> = Result<T, ErrorObjectOwned>;

/// Why a call to another process failed. The message names the remedy.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum RpcError {
    /// no response from {0}; check the address and that the process is running
    Unreachable(String),
    /// the token was rejected; set the token that the nodes were started with
    Unauthorized,
    /// the other side refused: {0}
    Refused(String),
    /// the response could not be parsed; check that both sides run the same version
    InvalidResponse,
}

impl std::error::Error for RpcError {}

/// Separates the tokens that are valid at the same time during a rotation.
const TOKEN_SEPARATOR: char = ',';

/// Runs one call if it carries a valid token, and returns its HTTP response.
pub(crate) async fn handle_rpc(
    shell: &Arc<Shell>,
    module: &RpcModule<Arc<Shell>>,
    mut request: Request,
) -> Response {
    if !is_authorized(&request, &shell.settings.token) {
        return raw(401, Vec::new(), "text/plain");
    }
    let Ok(body) = read_body(&mut request, MAX_CALL_BYTES).await else {
        return raw(413, Vec::new(), "text/plain");
    };
    let text = String::from_utf8_lossy(&body);
    match module.raw_json_request(&text, 1).await {
        Ok((response, _)) => {
            let response = response.get().as_bytes();
            let count = |way, bytes: &[u8]| {
                let counter = shell.metrics.rpc_bytes.with_label_values(&[way]);
                counter.inc_by(bytes.len() as u64);
            };
            shell
                .metrics
                .rpc_calls
                .with_label_values(&["answered"])
                .inc();
            count("in", text.as_bytes());
            count("out", response);
            raw(200, response.to_vec(), "application/json")
        }
        Err(_) => raw(400, Vec::new(), "text/plain"),
    }
}

/// Whether a call carries one of the comma-separated `tokens`, each compared in constant time.
fn is_authorized(request: &Request, tokens: &str) -> bool {
    let given = request.header("authorization").map(|v| v.last().as_str());
    let Some(given) = given.and_then(|v| v.strip_prefix("Bearer ")) else {
        return false;
    };
    // All tokens are compared, so that the timing does not reveal which one matched.
    let equal = tokens
        .split(TOKEN_SEPARATOR)
        .map(|token| given.as_bytes().ct_eq(token.as_bytes()));
    equal.fold(Choice::from(0), |any, one| any | one).into()
}

/// Calls `method` of the process at `addr` with the first of the comma-separated tokens.
///
/// # Errors
///
/// Any [`RpcError`].
pub async fn call_rpc<P: Serialize, R: DeserializeOwned>(
    client: &Client,
    addr: &str,
    token: &str,
    method: &str,
    params: &P,
    timeout: Duration,
) -> Result<R, RpcError> {
    let unreachable = || RpcError::Unreachable(addr.to_owned());
    let call =
        serde_json::json!({ "jsonrpc": "2.0", "id": 1, "method": method, "params": [params] });
    let body = serde_json::to_vec(&call).map_err(|_| RpcError::InvalidResponse)?;
    let mut request = post_json(addr, "/", body).map_err(|_| unreachable())?;
    let token = token.split(TOKEN_SEPARATOR).next().unwrap_or_default();
    request.insert_header("authorization", format!("Bearer {token}"));
    let sent = client.send(addr, request, Pooling::Reuse, timeout).await;
    let response = sent.map_err(|_| unreachable())?;
    if response.status() == 401 {
        return Err(RpcError::Unauthorized);
    }
    let bytes = response.bytes(timeout).await.map_err(|_| unreachable())?;
    let mut response: serde_json::Value =
        serde_json::from_slice(&bytes).map_err(|_| RpcError::InvalidResponse)?;
    if let Some(error) = response.get("error") {
        let message = error.get("message").and_then(|m| m.as_str());
        return Err(RpcError::Refused(message.unwrap_or_default().to_owned()));
    }
    let result = response.get_mut("result").map(serde_json::Value::take);
    serde_json::from_value(result.unwrap_or_default()).map_err(|_| RpcError::InvalidResponse)
}
