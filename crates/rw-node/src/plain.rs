//! One dispatch of a plain-service call.

use crate::{
    Shell,
    attempt::{Attempt, ended},
    payload::Payload,
};
use rw_core::AttemptEnd;
use rw_http::{Pooling, Request, Response, SendError, Url, raw};
use rw_types::AttemptId;

impl Shell {
    pub(crate) async fn call_plain(
        &self,
        n: AttemptId,
        addr: &str,
        attempt: &mut Attempt,
    ) -> AttemptEnd {
        match self.try_plain(n, addr, attempt).await {
            Ok(None) => AttemptEnd::Declined,
            Ok(Some((response, status, body))) => {
                attempt.plain = Some(response);
                AttemptEnd::Whole { status, body }
            }
            Err(error) => ended(error, 0),
        }
    }

    async fn try_plain(
        &self,
        n: AttemptId,
        addr: &str,
        attempt: &Attempt,
    ) -> Result<Option<(Response, u16, String)>, SendError> {
        let request = plain_request(n, addr, attempt)?;
        // A connection that the target closed meanwhile would leave the outcome open.
        let sent = self
            .client
            .send(addr, request, Pooling::Fresh, self.settings.silence);
        let reply = sent.await?;
        if reply.header("x-outcome") == Some("not-run") {
            return Ok(None);
        }
        // An answer to another attempt must not reach this caller.
        let echoed = reply.header("x-attempt");
        if echoed.is_some_and(|echo| echo != n.to_string()) {
            return Err(SendError::Broken);
        }
        let status = reply.status();
        let kind = reply
            .header("content-type")
            .unwrap_or("application/octet-stream")
            .to_owned();
        let body = reply.bytes(self.settings.silence).await?;
        let text = String::from_utf8_lossy(&body).into_owned();
        Ok(Some((raw(status, body, &kind), status, text)))
    }
}

fn plain_request(n: AttemptId, addr: &str, attempt: &Attempt) -> Result<Request, SendError> {
    let Payload::Plain {
        method,
        path,
        kind,
        body,
    } = &attempt.payload
    else {
        return Err(SendError::BadAddr);
    };
    let url = Url::parse(&format!("http://{addr}{path}")).map_err(|_| SendError::BadAddr)?;
    let mut request = Request::new(*method, url);
    request.set_body(body.clone());
    if let Some(kind) = kind {
        request.insert_header("content-type", kind.as_str());
    }
    if let Some(key) = &attempt.key {
        request.insert_header("idempotency-key", key.as_str());
    }
    request.insert_header("x-attempt", n.to_string());
    Ok(request)
}
