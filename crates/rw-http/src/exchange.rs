//! Requests and responses on one connection of the listener.

use crate::{Traffic, conn::Conn, json, limited_stream::LimitedStream};
use async_h1::server::{Encoder, decode};
use http_types::{Method, Request, Response};
use smol::io::{self, AsyncReadExt as _, AsyncWriteExt as _};
use std::{future::Future, net::Shutdown, sync::Arc};

/// Maximum size of a body that is sent in one write together with its header.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Serves one connection until it closes.
pub(crate) async fn serve_conn<H, F>(conn: Arc<Conn>, handler: H, traffic: Traffic)
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let mut stream = LimitedStream::new(conn.clone());
    loop {
        conn.begin();
        if !stream.wait_request().await {
            return;
        }
        // Boxed, so that an idle connection does not hold the memory of an active one.
        let exchanged = Box::pin(exchange(&conn, &stream, &handler, &traffic)).await;
        // A broken connection is not reported: the handler has already counted the requests it ran.
        if !matches!(exchanged, Ok(true)) {
            return;
        }
    }
}

/// Reads one request and responds to it; true if another may follow on the connection.
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
    let (request, mut unread) = match decode(stream.clone()).await {
        Ok(Some(decoded)) => decoded,
        Ok(None) => return Ok(false),
        Err(_) => return reject(conn, stream.clone()).await,
    };
    // The request counts as in flight until the last byte of the response is written.
    let _guard = traffic.track();
    let method = request.method();
    let mut keep_alive = !is_close(request.header("connection"));
    let mut response = handler(request).await;
    if traffic.is_draining() {
        response.insert_header("connection", "close");
    }
    keep_alive &= !is_close(response.header("connection"));
    conn.begin_response();
    write_response(response, method, stream.clone()).await?;
    io::copy(&mut unread, &mut io::sink()).await?;
    Ok(keep_alive)
}

fn is_close(header: Option<&http_types::headers::HeaderValues>) -> bool {
    header.is_some_and(|v| v.as_str().eq_ignore_ascii_case("close"))
}

async fn write_response(
    response: Response,
    method: Method,
    mut stream: LimitedStream,
) -> io::Result<()> {
    let small = response.len().is_some_and(|n| n <= MAX_BUFFERED_BYTES);
    let mut encoder = Encoder::new(response, method);
    if !small {
        io::copy(&mut encoder, &mut stream).await?;
        return Ok(());
    }
    // One system call and one TCP segment instead of two.
    let mut bytes = Vec::with_capacity(512);
    encoder.read_to_end(&mut bytes).await?;
    stream.write_all(&bytes).await
}

/// Responds to a header that is too large or cannot be parsed, and closes the connection.
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
    conn.begin_response();
    write_response(response, Method::Get, stream.clone()).await?;
    // Closing with unread input would reset the connection before the peer has read the response.
    conn.tcp.shutdown(Shutdown::Write)?;
    io::copy(&mut stream, &mut io::sink()).await?;
    Ok(false)
}
