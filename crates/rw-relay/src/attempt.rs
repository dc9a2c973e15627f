//! One dispatch of a call to a target.

use crate::{
    Dialect, EventSplitter, Framing, Relay, RequestHead, ResponseHead, ResponseMetadata,
    answer_out::AnswerOut,
    body::Body,
    head::is_hop,
    io_error::malformed,
    pool::{NoLink, TargetLink},
    within::until,
};
use rw_gate::{Dispatch, DispatchMode, DispatchOutcome, Event};
use rw_types::{Millis, RequestId};
use smol::{future, io::AsyncWriteExt as _};
use std::{
    cell::Cell,
    fmt::Write as _,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Largest head of an answer, in bytes.
const MAX_HEAD: usize = 32 << 10;
/// Largest answer that is kept until it is whole, in bytes; a larger one passes through.
const MAX_KEPT: u64 = 256 << 10;
/// How long after a call's time its target's own last word is still waited for.
const LAST_WORD: Duration = Duration::from_millis(40);

/// A caller's request.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: RequestId,
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    /// The caller's identity of it.
    pub(crate) name: String,
    /// When it was read.
    pub(crate) arrived: Millis,
}

/// An answer that is here as a whole.
#[derive(Debug)]
pub(crate) struct Kept {
    pub(crate) head: ResponseHead,
    pub(crate) body: Vec<u8>,
}

/// How far a call's answer is, over all its dispatches.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The way to the caller.
    pub(crate) out: AnswerOut,
    /// An answer that waits for the reducer's word.
    pub(crate) kept: Option<Kept>,
    /// Last event that the caller has.
    last: Option<u64>,
}

impl Progress {
    pub(crate) fn new(out: AnswerOut) -> Self {
        Self {
            out,
            kept: None,
            last: None,
        }
    }
}

/// An answer whose body is passed on as it comes.
#[derive(Debug)]
struct Passing {
    link: TargetLink,
    head: ResponseHead,
    body: Body,
}

/// The caller's connection broke.
#[derive(Debug)]
pub(crate) struct CallerGone;

/// Why a dispatch stopped short.
enum Stop {
    Caller,
    Target(io::Error),
}

impl From<io::Error> for Stop {
    fn from(error: io::Error) -> Self {
        Self::Target(error)
    }
}

fn to_caller(sent: io::Result<()>) -> Result<(), Stop> {
    sent.map_err(|_| Stop::Caller)
}

impl<D: Dialect> Relay<D> {
    /// Sends `call` as `dispatch` says, and passes on what streams.
    pub(crate) async fn attempt(
        &self,
        call: &Call,
        dispatch: &Dispatch,
        progress: &mut Progress,
    ) -> Result<DispatchOutcome, CallerGone> {
        let due = Instant::now() + Duration::from_millis(dispatch.left_ms) + LAST_WORD;
        let Ok(addr) = dispatch.addr.parse::<SocketAddr>() else {
            log::warn!(target = dispatch.target.as_str(), addr = dispatch.addr.as_str(); "target has no ip:port; its entry is at fault");
            return Ok(DispatchOutcome::NotSent);
        };
        let link = until(
            due,
            self.pool
                .get(addr, dispatch.incarnation, dispatch.max_connections),
        )
        .await;
        let link = match link {
            Some(Ok(link)) => link,
            Some(Err(NoLink::Full)) => return Ok(DispatchOutcome::Rejected { status: 0 }),
            Some(Err(NoLink::Failed)) | None => return Ok(DispatchOutcome::NotSent),
        };
        progress.last = dispatch.resume_after;
        let run = self.exchange(call, dispatch, link, progress);
        let stall = dispatch.stall_timeout_ms.map(Duration::from_millis);
        let stall = stall
            .map(|stall| Instant::now() + stall)
            .filter(|at| *at < due);
        let Some(ended) = until(stall.unwrap_or(due), run).await else {
            self.pool.forget(addr);
            if stall.is_some() {
                return Ok(DispatchOutcome::Stalled);
            }
            return Ok(DispatchOutcome::TimedOut {
                delivered: progress.out.is_started(),
            });
        };
        match ended {
            Ok(end) => Ok(end),
            Err(Stop::Caller) => Err(CallerGone),
            Err(Stop::Target(error)) => {
                self.pool.forget(addr);
                let crashed = self.pool.is_down(addr).await;
                self.log.broken(call, dispatch, &error, crashed);
                let begun = progress.out.is_started();
                let delivered = begun.then(|| progress.last.unwrap_or(0));
                Ok(DispatchOutcome::Broken { crashed, delivered })
            }
        }
    }

    async fn exchange(
        &self,
        call: &Call,
        dispatch: &Dispatch,
        mut link: TargetLink,
        progress: &mut Progress,
    ) -> Result<DispatchOutcome, Stop> {
        let bytes = self.request_bytes(call, dispatch);
        let stream = link.link.stream();
        let written = Cell::new(false);
        let writing = async {
            let sent = (&*stream).write_all(&bytes).await;
            written.set(sent.is_ok());
            // A target may answer before it has read all; whatever broke shows in reading.
            future::pending().await
        };
        let reading = self.read_head(call, &mut link);
        let (head, notes) = future::or(reading, writing).await?;
        let began = Event::ResponseStarted {
            id: call.id,
            load: notes.load,
        };
        self.step(began);
        let mut body = Body::new(head.framing);
        if notes.rejected {
            body.whole(&mut link.link, MAX_KEPT as usize).await?;
            self.give_back(link, &head, written.get());
            return Ok(DispatchOutcome::Rejected {
                status: head.status,
            });
        }
        if dispatch.mode == DispatchMode::Prefill {
            return self
                .end_prefill(dispatch, link, &head, body, written.get())
                .await;
        }
        if !notes.signed {
            return Err(malformed().into());
        }
        let long = matches!(head.framing, Framing::Length(n) if n > MAX_KEPT);
        let events = dispatch.stream && (200..300).contains(&head.status);
        if events || long {
            let passing = Passing { link, head, body };
            return self.pass_on(call, dispatch, passing, progress).await;
        }
        let whole = body.whole(&mut link.link, MAX_KEPT as usize).await?;
        let status = head.status;
        self.give_back(link, &head, written.get());
        progress.kept = Some(Kept { head, body: whole });
        Ok(DispatchOutcome::Complete { status })
    }

    /// The head of the answer to this call; answers to others are read and dropped.
    async fn read_head(
        &self,
        call: &Call,
        link: &mut TargetLink,
    ) -> io::Result<(ResponseHead, ResponseMetadata)> {
        loop {
            let bytes = link.link.head(MAX_HEAD).await?;
            let bytes = bytes.map_err(|_| malformed())?;
            let parsed = ResponseHead::parse(&bytes, &call.head.method);
            let head = parsed.map_err(|_| malformed())?;
            if head.status < 200 {
                continue;
            }
            let notes = self.dialect.response_metadata(&head);
            match &notes.call_id {
                Some(name) if *name == call.name => return Ok((head, notes)),
                // Without the call's identity only the first answer of a connection is its own.
                None if !link.reused => return Ok((head, notes)),
                _ => {
                    self.log.stray(call, &notes);
                    let mut body = Body::new(head.framing);
                    body.whole(&mut link.link, MAX_KEPT as usize).await?;
                    if !head.keep_alive {
                        return Err(malformed());
                    }
                }
            }
        }
    }

    async fn end_prefill(
        &self,
        dispatch: &Dispatch,
        mut link: TargetLink,
        head: &ResponseHead,
        mut body: Body,
        written: bool,
    ) -> Result<DispatchOutcome, Stop> {
        let bytes = body.whole(&mut link.link, MAX_KEPT as usize).await?;
        self.give_back(link, head, written);
        let handle = self.dialect.parse_handle(&dispatch.addr, &bytes);
        Ok(match handle.filter(|_| head.status == 200) {
            Some(handle) => DispatchOutcome::Prefilled(handle),
            None => DispatchOutcome::Rejected {
                status: head.status,
            },
        })
    }

    /// Passes a body on as it comes.
    async fn pass_on(
        &self,
        call: &Call,
        dispatch: &Dispatch,
        passing: Passing,
        progress: &mut Progress,
    ) -> Result<DispatchOutcome, Stop> {
        let Passing {
            mut link,
            head,
            mut body,
        } = passing;
        let Progress { out, last, .. } = progress;
        let mut splitter = EventSplitter::after(*last);
        let mut first = true;
        while let Some(bytes) = body.next(&mut link.link).await? {
            if first {
                self.step(Event::FirstEvent { id: call.id });
                self.metrics.first(call.arrived, self.clock.now());
                log::debug!(call = call.name.as_str(), at = dispatch.target.as_str(); "first event");
                first = false;
            }
            let bytes = match dispatch.resumable {
                true => splitter.push(&bytes),
                false => bytes,
            };
            if bytes.is_empty() {
                continue;
            }
            if out.is_started() {
                to_caller(out.piece(&bytes).await)?;
            } else {
                to_caller(out.begin(&head, &bytes).await)?;
            }
            *last = splitter.last_id();
        }
        if dispatch.resumable && !splitter.incomplete().is_empty() {
            return Err(malformed().into());
        }
        if !out.is_started() {
            to_caller(out.begin(&head, b"").await)?;
        }
        to_caller(out.end().await)?;
        self.give_back(link, &head, true);
        Ok(DispatchOutcome::Delivered)
    }

    fn give_back(&self, link: TargetLink, head: &ResponseHead, written: bool) {
        if !head.keep_alive || !written {
            return;
        }
        let keep = head.header("keep-alive").and_then(keep_seconds);
        self.pool.put(link, keep);
    }

    fn request_bytes(&self, call: &Call, dispatch: &Dispatch) -> Vec<u8> {
        let head = &call.head;
        let mut text = format!("{} {} HTTP/1.1\r\n", head.method, head.target);
        let passed = head.headers.iter().filter(|f| !is_hop(&f.name));
        for field in passed.filter(|f| self.dialect.is_forwarded(&f.name)) {
            // A stream that goes on here names its own last event.
            if dispatch.resume_after.is_some() && field.name == "last-event-id" {
                continue;
            }
            // Writing into a string can't fail.
            let _infallible = write!(text, "{}: {}\r\n", field.name, field.value);
        }
        if let Some(last) = dispatch.resume_after {
            let _infallible = write!(text, "last-event-id: {last}\r\n");
        }
        if !call.body.is_empty() || head.framing != Framing::Length(0) {
            let _infallible = write!(text, "content-length: {}\r\n", call.body.len());
        } else if head.header("content-length").is_some() {
            text.push_str("content-length: 0\r\n");
        }
        text.push_str(&self.dialect.dispatch_headers(dispatch));
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&call.body);
        bytes
    }
}

/// Seconds that a target keeps an idle connection.
fn keep_seconds(value: &str) -> Option<u64> {
    let mut words = value.split(',').map(str::trim);
    words.find_map(|w| w.strip_prefix("timeout="))?.parse().ok()
}
