//! Passes a call to another node and returns the response to the caller.

use super::{DELEGATE_HEADER, DELEGATION_HEADER, DelegateNote, offer::Offer, take_json, to_value};
use crate::{
    Connection, Dialect, NamedCall, Relay, ResponseHead, ResponseMetadata,
    attempt::{DEADLINE_GRACE, MAX_HEAD_BYTES},
    body::BodyReader,
    call::Call,
    exchange_error::{CallerDisconnected, ExchangeError},
    head::is_hop,
    io_error::malformed,
    notices::Addressee,
    probe::contact_lost,
    response_body::read_response_body,
    response_progress::{BufferedResponse, ResponseProgress},
    streaming::{StreamedResponse, is_streamed},
    timeout::{running_timeout, timeout, timeout_at},
};
use rw_gate::{Delegation, DelegationOutcome, Event, ResponseSource};
use smol::future;
use std::{
    fmt::Write as _,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Timeout for opening a connection to another node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for a node to accept the head of a call. One that is suspended accepts none.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Extra wait after a call's deadline for the delegate's own final response.
const DELEGATE_GRACE: Duration = Duration::from_millis(40);
const CONTINUE: u16 = 100;
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A delegate's response to the head of a call.
enum HeadResponse {
    /// It waits for the body.
    Accepted,
    /// It has refused the call.
    Refused(DelegationOutcome),
}

impl<D: Dialect> Relay<D> {
    /// Passes `call` to the node that `delegation` names, and forwards a streamed response.
    pub(crate) async fn delegate(
        &self,
        call: &Call,
        delegation: &Delegation,
        progress: &mut ResponseProgress,
    ) -> Result<DelegationOutcome, CallerDisconnected> {
        let left = Duration::from_millis(delegation.call.left_ms);
        let deadline = Instant::now() + left + DEADLINE_GRACE + DELEGATE_GRACE;
        let Some(addr) = self.delegate_addr(&delegation.vm) else {
            return Ok(DelegationOutcome::NotSent);
        };
        let offered = timeout_at(deadline, self.offer(call, delegation, addr)).await;
        let (mut conn, response) = match offered {
            Some(Ok(offered)) => offered,
            Some(Err(_)) | None => return Ok(DelegationOutcome::NotSent),
        };
        if let HeadResponse::Refused(refused) = response {
            return Ok(refused);
        }
        progress.framing = None;
        let exchange = self.delegated_exchange(call, delegation, &mut conn, progress);
        let Some(ended) = timeout_at(deadline, exchange).await else {
            let delivered = progress.out.delivered();
            return Ok(DelegationOutcome::TimedOut { delivered });
        };
        match ended {
            Ok(outcome) => Ok(outcome),
            Err(ExchangeError::Caller) => Err(CallerDisconnected),
            Err(ExchangeError::Unrelated { .. }) => Ok(DelegationOutcome::Complete),
            Err(ExchangeError::Target(error)) => {
                self.log.delegation_broken(call, delegation, &error);
                let delivered = progress.out.delivered();
                Ok(DelegationOutcome::Broken { delivered })
            }
        }
    }

    fn delegate_addr(&self, vm: &str) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        Some(peers.find(vm)?.digests)
    }

    /// Sends the head of `call` to another node, and waits until it accepts or refuses the call.
    async fn offer(
        &self,
        call: &Call,
        delegation: &Delegation,
        addr: SocketAddr,
    ) -> io::Result<(Connection, HeadResponse)> {
        let timed_out = || io::Error::from(io::ErrorKind::TimedOut);
        let opened = running_timeout(CONNECT_TIMEOUT, Connection::open(addr)).await;
        let mut conn = opened.ok_or_else(timed_out)??;
        let accepted = timeout(ACCEPT_TIMEOUT, async {
            conn.write_all(&delegated_head(call, delegation)).await?;
            let mut head = read_head(&mut conn, call).await?;
            if head.status == CONTINUE {
                return Ok(HeadResponse::Accepted);
            }
            match take_json(&mut head.headers, DELEGATE_HEADER) {
                Some(DelegateNote::Refused { kind, retry_ms }) => {
                    let refusal = DelegateNote::refusal(&kind, retry_ms, head.status);
                    let refused = DelegationOutcome::Refused(refusal);
                    Ok(HeadResponse::Refused(refused))
                }
                // A node of another build, or none at all; it has not got the request.
                Some(DelegateNote::Target(_)) | None => Err(malformed()),
            }
        });
        let response = accepted.await.ok_or_else(timed_out)??;
        Ok((conn, response))
    }

    async fn delegated_exchange(
        &self,
        call: &Call,
        delegation: &Delegation,
        conn: &mut Connection,
        progress: &mut ResponseProgress,
    ) -> Result<DelegationOutcome, ExchangeError> {
        conn.begin_message(call.body.len());
        let is_watched = !conn.is_unacked_limited();
        let lost = contact_lost(conn.peer_addr()?, is_watched);
        let responded = async {
            write_chunked(conn, &call.body).await?;
            read_head(conn, call).await
        };
        let mut head = future::or(responded, lost).await?;
        let mut body = BodyReader::new(head.framing);
        let source = match take_json(&mut head.headers, DELEGATE_HEADER) {
            Some(DelegateNote::Target(source)) => source,
            Some(DelegateNote::Refused { kind, retry_ms }) => {
                let refusal = DelegateNote::refusal(&kind, retry_ms, head.status);
                return Ok(DelegationOutcome::Refused(refusal));
            }
            None => return Err(malformed().into()),
        };
        let metadata = self.dialect.response_metadata(&head);
        let is_own = match &metadata.named_call {
            NamedCall::Missing => true,
            NamedCall::One(id) => *id == call.call_id,
            NamedCall::Conflicting => false,
        };
        if !is_own || !metadata.signed {
            return Err(malformed().into());
        }
        self.notice_of_source(&source, metadata);
        progress.framing = Some(head.framing);
        let is_same_version = delegation.call.software == Some(source.software);
        if progress.out.is_started() && !is_same_version {
            return Err(ExchangeError::Unrelated {
                status: head.status,
            });
        }
        if is_streamed(&head, delegation.stream) {
            let streamed = StreamedResponse {
                conn,
                head,
                body,
                is_stream: delegation.stream,
                is_resumable: delegation.resumable,
                resume_after: delegation.call.resume_after,
                from: &delegation.vm,
                // The other node marks the end of each body, and checks that of its target.
                unframed: None,
                begun: Event::DelegatedStreamBegun {
                    id: call.id,
                    software: source.software,
                },
            };
            self.stream_response(call, streamed, progress).await?;
            return Ok(DelegationOutcome::Delivered);
        }
        let body = (&mut body, head.framing);
        let held = read_response_body(body, conn, self.answers.empty_room());
        progress.buffered = Some(BufferedResponse {
            head,
            body: held.await?,
            note: None,
        });
        Ok(DelegationOutcome::Complete)
    }

    /// Takes over what a target says about itself with a response to the delegate. A pause is the
    /// delegate's alone.
    fn notice_of_source(&self, source: &ResponseSource, metadata: ResponseMetadata) {
        let gate = self.gate.borrow();
        let known = gate.targets().find(&source.target);
        let addr = known.and_then(|t| t.spec.addr.parse().ok());
        drop(gate);
        let Some(addr) = addr else {
            return;
        };
        let target = Addressee {
            name: &source.target,
            incarnation: source.incarnation,
            addr,
            asked_at: None,
        };
        let metadata = ResponseMetadata {
            pause: None,
            ..metadata
        };
        self.notice(target, &metadata);
    }
}

async fn read_head(conn: &mut Connection, call: &Call) -> io::Result<ResponseHead> {
    let bytes = conn.read_head(MAX_HEAD_BYTES).await?;
    let bytes = bytes.map_err(|_| malformed())?;
    ResponseHead::parse(&bytes, &call.head.method).map_err(|_| malformed())
}

/// Head of the request to a delegate.
fn delegated_head(call: &Call, delegation: &Delegation) -> Vec<u8> {
    let head = &call.head;
    let mut text = format!("{} {} HTTP/1.1\r\n", head.method, head.target);
    // Writing to a `String` can't fail.
    let value = to_value(&Offer {
        call: delegation.call.clone(),
        body_bytes: Some(call.body.len() as u64),
    });
    let _infallible = write!(text, "{DELEGATION_HEADER}: {value}\r\n");
    for header in head.headers.iter().filter(|f| !is_hop(&f.name)) {
        let _infallible = write!(text, "{}: {}\r\n", header.name, header.value);
    }
    text.push_str(
        "expect: 100-continue\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n",
    );
    text.into_bytes()
}

/// Writes a body in the chunked transfer coding.
async fn write_chunked(conn: &Connection, body: &[u8]) -> io::Result<()> {
    if !body.is_empty() {
        let size = format!("{:x}\r\n", body.len());
        conn.writer().write_message(size.as_bytes(), body).await?;
        conn.write_all(b"\r\n").await?;
    }
    conn.write_all(LAST_CHUNK).await
}
