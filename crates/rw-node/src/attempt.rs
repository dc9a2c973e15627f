//! One dispatch of a generation request, read token by token.

use crate::{BurnCause, Shell, completion::chunk, drive::Caller, payload::Payload, watch::Wait};
use rw_core::{AttemptOutcome, Call, Operation};
use rw_http::{Pooling, Response, SendError, SseLines, post_json};
use rw_types::{AttemptId, RequestId};
use serde::{Deserialize, Serialize};

/// What a request has gathered over its attempts.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) id: RequestId,
    pub(crate) kind: String,
    pub(crate) key: Option<String>,
    pub(crate) work: Operation,
    pub(crate) payload: Payload,
    /// Text gathered for a whole answer.
    pub(crate) text: String,
    /// Tokens gathered.
    pub(crate) tokens: u64,
    /// Answer of a plain service.
    pub(crate) plain: Option<Response>,
    /// How the final answer counts; none if the objective has nothing to do with it.
    pub(crate) cause: Option<BurnCause>,
}

/// How running an attempt ended.
#[derive(Debug)]
pub(crate) enum Ran {
    /// The target's side ended.
    Ended(AttemptOutcome),
    /// The caller's side ended.
    CallerGone,
}

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

impl Attempt {
    pub(crate) fn new(id: RequestId, call: &Call, payload: Payload) -> Self {
        Self {
            id,
            kind: call.kind.clone(),
            key: call.key.clone(),
            work: call.operation.clone(),
            payload,
            text: String::new(),
            tokens: 0,
            plain: None,
            cause: None,
        }
    }
}

impl Shell {
    pub(crate) async fn run_attempt(
        &self,
        n: AttemptId,
        addr: &str,
        resume: u64,
        attempt: &mut Attempt,
        caller: &mut Caller,
    ) -> Ran {
        let ran = match attempt.payload {
            Payload::Generate { .. } => self.generate(n, addr, resume, attempt, caller).await,
            Payload::Plain { .. } => Ran::Ended(self.call_plain(n, addr, attempt).await),
        };
        let label = match &ran {
            Ran::Ended(AttemptOutcome::Complete { .. }) => "whole",
            Ran::Ended(AttemptOutcome::NotSent) => "unsent",
            Ran::Ended(AttemptOutcome::Rejected) => "declined",
            Ran::Ended(AttemptOutcome::Broken { .. }) => "broken",
            Ran::CallerGone => "caller-gone",
        };
        self.metrics.attempts.with_label_values(&[label]).inc();
        ran
    }

    /// The end of an attempt that failed with `error`.
    pub(crate) async fn ended(&self, error: SendError, tokens: u64, addr: &str) -> AttemptOutcome {
        if error.is_not_sent() {
            return AttemptOutcome::NotSent;
        }
        // Only a broken connection with nothing listening behind it tells of a crash.
        let broke = matches!(error, SendError::Broken | SendError::Truncated);
        AttemptOutcome::Broken {
            tokens,
            crashed: broke && self.has_ended(addr).await,
        }
    }

    async fn generate(
        &self,
        n: AttemptId,
        addr: &str,
        resume: u64,
        attempt: &mut Attempt,
        caller: &mut Caller,
    ) -> Ran {
        let relayed = match self.open_stream(n, addr, resume, attempt).await {
            Ok(Some(lines)) => self.relay(n, addr, lines, attempt, caller).await,
            Ok(None) => return Ran::Ended(AttemptOutcome::Rejected),
            Err(error) => Err(error),
        };
        match relayed {
            Ok(ran) => ran,
            Err(error) => Ran::Ended(self.ended(error, attempt.tokens, addr).await),
        }
    }

    /// The token stream, or `None` if the engine says that it did not run the request.
    async fn open_stream(
        &self,
        n: AttemptId,
        addr: &str,
        resume: u64,
        attempt: &Attempt,
    ) -> Result<Option<SseLines>, SendError> {
        let (
            Payload::Generate { text, .. },
            Operation::Generate {
                model,
                prompt,
                output,
                ..
            },
        ) = (&attempt.payload, &attempt.work)
        else {
            return Err(SendError::BadAddr);
        };
        let priority = self.config().kind(&attempt.kind).map_or(0, |k| k.priority);
        let body = Generate {
            attempt: n,
            model,
            prompt: *prompt,
            text,
            output: *output,
            resume,
            priority,
        };
        let bytes = serde_json::to_vec(&body).map_err(|_| SendError::BadAddr)?;
        let request = post_json(addr, "/generate", bytes)?;
        let sent = self
            .client
            .send(addr, request, Pooling::Reuse, self.settings.read_timeout);
        let reply = self.watch(addr, Wait::First, sent).await?;
        if reply.status() == 200 {
            return Ok(Some(reply.lines()));
        }
        if reply.header("x-outcome") == Some("not-run") {
            return Ok(None);
        }
        Err(SendError::Broken)
    }

    async fn relay(
        &self,
        n: AttemptId,
        addr: &str,
        mut lines: SseLines,
        attempt: &mut Attempt,
        caller: &mut Caller,
    ) -> Result<Ran, SendError> {
        let mut wait = Wait::First;
        loop {
            let next = lines.next(self.settings.read_timeout);
            // An end without the last event is a cut stream.
            let line = self
                .watch(addr, wait, next)
                .await?
                .ok_or(SendError::Truncated)?;
            wait = Wait::Next;
            let token: Token<'_> = serde_json::from_str(line).map_err(|_| SendError::Broken)?;
            // Another attempt's token, a gap or a repeat: the stream can't be trusted.
            if token.attempt != n || token.n != attempt.tokens {
                return Err(SendError::Broken);
            }
            if token.end {
                lines.finish();
                return Ok(Ran::Ended(AttemptOutcome::Complete {
                    status: 200,
                    kind: String::new(),
                    body: Vec::new(),
                }));
            }
            attempt.tokens += 1;
            if !pass_on(attempt, caller, &token.text).await {
                return Ok(Ran::CallerGone);
            }
        }
    }
}

/// Gives a token to the caller, or keeps it for the whole answer; false if the caller is gone.
async fn pass_on(attempt: &mut Attempt, caller: &mut Caller, text: &str) -> bool {
    let (
        Payload::Generate {
            stream: true, chat, ..
        },
        Operation::Generate { model, .. },
    ) = (&attempt.payload, &attempt.work)
    else {
        attempt.text.push_str(text);
        return true;
    };
    caller.start_stream();
    let Some(stream) = &caller.stream else {
        return false;
    };
    stream
        .send(Ok(chunk(attempt.id, model, *chat, text)))
        .await
        .is_ok()
}
