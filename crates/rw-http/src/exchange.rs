//! Requests and answers on one connection.

use crate::{Traffic, conn::Conn, json, limited_stream::LimitedStream};
use async_h1::server::{Encoder, decode};
use http_types::{Method, Request, Response};
use smol::io::{self, AsyncReadExt as _, AsyncWriteExt as _};
use std::{future::Future, net::Shutdown, sync::Arc};

/// Largest body that is sent in one piece with its header, in bytes.
const ONE_PIECE: usize = 64 << 10;

/// Serves one connection to its end.
pub(crate) async fn serve_conn<H, F>(conn: Arc<Conn>, handler: H, traffic: Traffic)
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let mut stream = LimitedStream::new(conn.clone());
    loop {
        conn.begin();
        if !stream.wait_first().await {
            return;
        }
        // Boxed, so that an idle connection doesn't hold the space of a busy one.
        let exchanged = Box::pin(exchange(&conn, &stream, &handler, &traffic)).await;
        // A connection that breaks is the peer's matter; the handler has counted what it ran.
        if !matches!(exchanged, Ok(true)) {
            return;
        }
    }
}

/// Takes one request and answers it; true if another may follow.
async fn exchange<H, F>(
    conn: &Conn,
    stream: &LimitedStream,
    handler: &H,
    traffic: &Traffic,
) -> io::Result<bool>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let (request, mut rest) = match decode(stream.clone()).await {
        Ok(Some(decoded)) => decoded,
        Ok(None) => return Ok(false),
        Err(_) => return reject(conn, stream.clone()).await,
    };
    // Counted until the last byte of the answer is written.
    let _entered = traffic.enter();
    let method = request.method();
    let mut keep = !says_close(request.header("connection"));
    let mut response = handler(request).await;
    if traffic.is_draining() {
        response.insert_header("connection", "close");
    }
    keep &= !says_close(response.header("connection"));
    conn.answer();
    write_answer(response, method, stream.clone()).await?;
    io::copy(&mut rest, &mut io::sink()).await?;
    Ok(keep)
}

fn says_close(header: Option<&http_types::headers::HeaderValues>) -> bool {
    header.is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"))
}

async fn write_answer(
    response: Response,
    method: Method,
    mut stream: LimitedStream,
) -> io::Result<()> {
    let small = response.len().is_some_and(|n| n <= ONE_PIECE);
    let mut encoder = Encoder::new(response, method);
    if !small {
        io::copy(&mut encoder, &mut stream).await?;
        return Ok(());
    }
    // One system call and one segment instead of two.
    let mut bytes = Vec::with_capacity(512);
    encoder.read_to_end(&mut bytes).await?;
    stream.write_all(&bytes).await
}

/// Answers a header that can't be read, and closes.
async fn reject(conn: &Conn, mut stream: LimitedStream) -> io::Result<bool> {
    let (status, message) = if conn.is_oversize() {
        (
            431,
            "the header is over its limit; send fewer or shorter fields",
        )
    } else {
        (
            400,
            "the header can't be read; send HTTP/1.1 with a host field",
        )
    };
    let error =
        serde_json::json!({ "kind": "bad-request", "message": message, "outcome": "not-run" });
    let mut response = json(status, &serde_json::json!({ "error": error }));
    response.insert_header("x-outcome", "not-run");
    response.insert_header("connection", "close");
    conn.answer();
    write_answer(response, Method::Get, stream.clone()).await?;
    // Closing with bytes unread would reset the connection before the peer has read the answer.
    conn.tcp.shutdown(Shutdown::Write)?;
    io::copy(&mut stream, &mut io::sink()).await?;
    Ok(false)
}
