//! Dispatches a generation request to an engine and reads the response token by token.

use crate::{
    Shell,
    completion::chunk,
    payload::Payload,
    request_caller::RequestCaller,
    request_state::{RequestState, RunOutcome},
    watch::Wait,
};
use rw_core::{AttemptOutcome, Operation};
use rw_http::{Pooling, SendError, SseLines, StreamPart, post_json};
use rw_types::AttemptId;
use serde::{Deserialize, Serialize};

/// Header with the number of the attempt, in requests and in the responses to them.
pub(crate) const ATTEMPT_HEADER: &str = "x-attempt";

#[derive(Debug, Serialize)]
struct Generate<'a> {
    attempt: AttemptId,
    model: &'a str,
    prompt: u64,
    text: &'a str,
    output: u64,
    resume: u64,
    priority: u8,
}

#[derive(Debug, Deserialize)]
struct Token<'a> {
    attempt: AttemptId,
    n: u64,
    #[serde(default, borrow)]
    text: std::borrow::Cow<'a, str>,
    #[serde(default)]
    end: bool,
}

impl Shell {
    pub(crate) async fn run_attempt(
        &self,
        n: AttemptId,
        addr: &str,
        resume: u64,
        state: &mut RequestState,
        caller: &mut RequestCaller,
    ) -> RunOutcome {
        let outcome = match state.payload {
            Payload::Generate { .. } => self.generate(n, addr, resume, state, caller).await,
            Payload::Plain { .. } => {
                RunOutcome::AttemptEnded(self.call_plain(n, addr, state).await)
            }
        };
        let label = match &outcome {
            RunOutcome::AttemptEnded(AttemptOutcome::Complete { .. }) => "whole",
            RunOutcome::AttemptEnded(AttemptOutcome::NotSent) => "unsent",
            RunOutcome::AttemptEnded(AttemptOutcome::Rejected) => "declined",
            RunOutcome::AttemptEnded(AttemptOutcome::Broken { .. }) => "broken",
            RunOutcome::CallerDisconnected => "caller-gone",
        };
        self.metrics.attempts.with_label_values(&[label]).inc();
        outcome
    }

    /// Outcome of an attempt that failed with `error` after `tokens` tokens.
    pub(crate) async fn failure_outcome(
        &self,
        error: SendError,
        tokens: u64,
        addr: &str,
    ) -> AttemptOutcome {
        if error.is_not_sent() {
            return AttemptOutcome::NotSent;
        }
        // A broken connection counts as a crash only if nothing listens on the address any more.
        let connection_broken = matches!(error, SendError::Broken | SendError::Truncated);
        AttemptOutcome::Broken {
            tokens,
            crashed: connection_broken && self.has_terminated(addr).await,
        }
    }

    async fn generate(
        &self,
        n: AttemptId,
        addr: &str,
        resume: u64,
        state: &mut RequestState,
        caller: &mut RequestCaller,
    ) -> RunOutcome {
        let relayed = match self.open_stream(n, addr, resume, state).await {
            Ok(Some(lines)) => self.relay_tokens(n, addr, lines, state, caller).await,
            Ok(None) => return RunOutcome::AttemptEnded(AttemptOutcome::Rejected),
            Err(error) => Err(error),
        };
        match relayed {
            Ok(outcome) => outcome,
            Err(error) => {
                RunOutcome::AttemptEnded(self.failure_outcome(error, state.tokens, addr).await)
            }
        }
    }

    /// Opens the token stream; `None` if the engine reports that it did not run the request.
    async fn open_stream(
        &self,
        n: AttemptId,
        addr: &str,
        resume: u64,
        state: &RequestState,
    ) -> Result<Option<SseLines>, SendError> {
        let (
            Payload::Generate { text, .. },
            Operation::Generate {
                model,
                prompt,
                output,
                ..
            },
        ) = (&state.payload, &state.operation)
        else {
            return Err(SendError::InvalidAddr);
        };
        let priority = self.config().kind(&state.kind).map_or(0, |k| k.priority);
        let body = Generate {
            attempt: n,
            model,
            prompt: *prompt,
            text,
            output: *output,
            resume,
            priority,
        };
        let bytes = serde_json::to_vec(&body).map_err(|_| SendError::InvalidAddr)?;
        let mut request = post_json(addr, "/generate", bytes)?;
        let attempt = n.to_string();
        request.insert_header(ATTEMPT_HEADER, &attempt);
        let sent = self
            .client
            .send(addr, request, Pooling::Reuse, self.settings.read_timeout);
        let response = self.watch(addr, Wait::FirstByte, sent).await?;
        if response.status() == 200 {
            self.notice(addr, &response);
            return Ok(Some(response.lines()));
        }
        if !response.answers(ATTEMPT_HEADER, &attempt) {
            return Err(SendError::Broken);
        }
        self.notice(addr, &response);
        if response.header("x-outcome") == Some("not-run") {
            return Ok(None);
        }
        Err(SendError::Broken)
    }

    async fn relay_tokens(
        &self,
        n: AttemptId,
        addr: &str,
        mut lines: SseLines,
        state: &mut RequestState,
        caller: &mut RequestCaller,
    ) -> Result<RunOutcome, SendError> {
        let mut wait = Wait::FirstByte;
        loop {
            let next = lines.next(self.settings.read_timeout);
            // A stream that ends without its final event was truncated.
            let line = self
                .watch(addr, wait, next)
                .await?
                .ok_or(SendError::Truncated)?;
            wait = Wait::NextToken;
            let token: Token<'_> = serde_json::from_str(line).map_err(|_| SendError::Broken)?;
            // A token of another attempt, a gap or a duplicate: the stream is not reliable.
            if token.attempt != n || token.n != state.tokens {
                return Err(SendError::Broken);
            }
            if token.end {
                lines.finish();
                return Ok(RunOutcome::AttemptEnded(AttemptOutcome::Complete {
                    status: 200,
                    content_type: String::new(),
                    body: Vec::new(),
                }));
            }
            state.tokens += 1;
            if !forward_token(state, caller, &token.text).await {
                return Ok(RunOutcome::CallerDisconnected);
            }
        }
    }
}

/// Streams a token to the caller, or buffers it for a response that is not streamed; false if the
/// caller has disconnected.
async fn forward_token(state: &mut RequestState, caller: &mut RequestCaller, text: &str) -> bool {
    let (
        Payload::Generate {
            stream: true, chat, ..
        },
        Operation::Generate { model, .. },
    ) = (&state.payload, &state.operation)
    else {
        state.text.push_str(text);
        return true;
    };
    caller.start_stream();
    let Some(stream) = &caller.stream else {
        return false;
    };
    stream
        .send(StreamPart::Data(chunk(state.id, model, *chat, text)))
        .await
        .is_ok()
}
