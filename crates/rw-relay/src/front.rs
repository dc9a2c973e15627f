//! Callers' connections.

use crate::{
    BootClock, Connection, Dialect, HeadError, Relay, RequestHead,
    answer_out::AnswerOut,
    attempt::{Call, Progress},
    body::Body,
    within::within,
};
use rw_gate::{CallLimits, Event};
use smol::{Async, future};
use std::{
    io,
    net::{Shutdown, TcpListener, TcpStream},
    rc::Rc,
    time::Duration,
};

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1_024;
/// Pause after an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long what a refused caller still sends is read, so that it can read the refusal.
const LINGER: Duration = Duration::from_millis(300);
/// Pause between looks at whether idle connections are to be closed.
const IDLE_LOOK: Duration = Duration::from_millis(500);
/// Rounds of the idle limit that a caller may use up beyond it.
const IDLE_GRACE_MS: u64 = 500;

/// How a connection goes on after a request.
#[derive(Debug, PartialEq, Eq)]
enum After {
    Keep,
    /// The answer is written; close in an orderly way.
    Close,
    /// The answer is cut; close at once.
    Cut,
}

/// Binds `addr` with room for a burst of connections.
pub(crate) fn listen(addr: std::net::SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(addr)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

impl<D: Dialect> Relay<D> {
    /// Accepts callers until the future is dropped.
    pub(crate) async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!(error:%; "a caller's connection could not be accepted; raise the limit of descriptors");
                    smol::Timer::after(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            if self.connections.get() >= self.most.get() {
                self.metrics.turned_away();
                continue;
            }
            let relay = self.clone();
            self.executor
                .spawn(async move {
                    relay.connections.set(relay.connections.get() + 1);
                    relay.serve(stream).await;
                    relay.connections.set(relay.connections.get() - 1);
                })
                .detach();
        }
    }

    async fn serve(&self, stream: Async<TcpStream>) {
        let Ok(mut link) = Connection::new(stream) else {
            return;
        };
        while self.wait_request(&mut link).await {
            self.busy.set(self.busy.get() + 1);
            // Boxed, so that an idle connection doesn't hold the space of a busy one.
            let after = Box::pin(self.serve_one(&mut link)).await;
            self.busy.set(self.busy.get() - 1);
            match after {
                After::Keep => {}
                After::Close => return linger(link).await,
                After::Cut => return,
            }
        }
    }

    /// Waits for the next request; false if the connection is over.
    async fn wait_request(&self, link: &mut Connection) -> bool {
        let limits = self.limits();
        let clock = BootClock::start();
        loop {
            match within(IDLE_LOOK, link.wait()).await {
                Some(Ok(true)) => return true,
                Some(Ok(false) | Err(_)) => return false,
                None if self.closing.get() => return false,
                None if clock.now().0 > limits.idle_ms + IDLE_GRACE_MS => return false,
                None => {}
            }
        }
    }

    async fn serve_one(&self, link: &mut Connection) -> After {
        let limits = self.limits();
        let time = Duration::from_millis(limits.header_ms);
        let head = match within(time, self.read_head_of(link, &limits)).await {
            Some(Ok(Ok(head))) => head,
            Some(Ok(Err(error))) => return self.reject_head(link, error).await,
            Some(Err(_)) => return After::Cut,
            None => return self.reject(link, 408, "slow-request").await,
        };
        if let crate::Framing::Length(n) = head.framing
            && n > limits.body_bytes as u64
        {
            return self.reject(link, 413, "body-too-large").await;
        }
        if head.header("expect").is_some()
            && link.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err()
        {
            return After::Cut;
        }
        let mut body = Body::new(head.framing);
        let body = match within(time, body.whole(link, limits.body_bytes)).await {
            Some(Ok(body)) => body,
            Some(Err(e)) if e.kind() == io::ErrorKind::FileTooLarge => {
                return self.reject(link, 413, "body-too-large").await;
            }
            Some(Err(e)) if e.kind() == io::ErrorKind::InvalidData => {
                return self.reject(link, 400, "malformed-body").await;
            }
            Some(Err(_)) => return After::Cut,
            None => return self.reject(link, 408, "slow-request").await,
        };
        self.answer(link, head, body).await
    }

    async fn read_head_of(
        &self,
        link: &mut Connection,
        limits: &CallLimits,
    ) -> io::Result<Result<RequestHead, HeadError>> {
        let bytes = link.head(limits.header_bytes).await?;
        Ok(bytes.and_then(|b| RequestHead::parse(&b)))
    }

    async fn answer(&self, link: &mut Connection, head: RequestHead, body: Vec<u8>) -> After {
        let id = self.next_id();
        let close = !head.keep_alive || self.leaving.get();
        let keep = head.keep_alive;
        let out = AnswerOut::new(link.stream(), &head.method, close);
        let mut progress = Progress::new(out);
        let name = self.dialect.call_id(&head).to_owned();
        let started = self.clock.now();
        let call = Call {
            arrived: started,
            id,
            head,
            body,
            name,
        };
        self.metrics.arrived();
        let stream = link.stream();
        let gone = async {
            Connection::gone(&stream).await;
            false
        };
        let forwarded = async { self.forward(&call, &mut progress).await.is_ok() };
        let answered = future::or(forwarded, gone).await;
        let out = &progress.out;
        if !answered {
            self.log.gone(&call, out.is_started());
            self.step(Event::CallerDisconnected { id });
        }
        self.metrics.answered(self.clock.now().since(started));
        match (answered && out.is_ended(), keep && !out.close) {
            (false, _) => After::Cut,
            (true, true) => After::Keep,
            (true, false) => After::Close,
        }
    }

    async fn reject_head(&self, link: &Connection, error: HeadError) -> After {
        let (status, kind) = match error {
            HeadError::TooLarge => (431, "head-too-large"),
            HeadError::Malformed | HeadError::Framing | HeadError::Host => (400, "malformed-head"),
        };
        self.reject(link, status, kind).await
    }

    async fn reject(&self, link: &Connection, status: u16, kind: &'static str) -> After {
        self.log.reject(status, kind);
        self.metrics.rejected(kind);
        let mut out = AnswerOut::new(link.stream(), "", true);
        match out.own(status, kind, 0).await {
            Ok(()) => After::Close,
            Err(_) => After::Cut,
        }
    }

    fn limits(&self) -> CallLimits {
        self.gate.borrow().routing().limits
    }
}

/// Closes so that the last answer can still be read: closing with bytes unread would reset.
async fn linger(mut link: Connection) {
    link.shut(Shutdown::Write);
    let drained = async { while matches!(link.some(usize::MAX).await, Ok(b) if !b.is_empty()) {} };
    within(LINGER, drained).await;
}
