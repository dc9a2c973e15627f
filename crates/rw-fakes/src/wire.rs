//! Sends the responses of the fake service, with faults injected into them.

use crate::Fault;
use async_h1::server::Encoder;
use rw_http::{Method, Response};
use smol::{
    io::{self, AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Sends `response` with `faults` and returns whether the connection can be reused.
///
/// # Errors
///
/// Any error of the connection.
pub(crate) async fn send_response(
    stream: &mut TcpStream,
    method: Method,
    mut response: Response,
    faults: &[Fault],
) -> io::Result<bool> {
    let has = |fault: &Fault| faults.contains(fault);
    if has(&Fault::DropResponse) {
        return Ok(false);
    }
    let truncated = has(&Fault::TruncateResponse);
    let wrong_length = has(&Fault::WrongLength);
    let no_length = has(&Fault::NoLength);
    if !truncated && !wrong_length && !no_length {
        io::copy(&mut Encoder::new(response, method), stream).await?;
        return Ok(true);
    }
    let status = response.status() as u16;
    let mut body = Vec::new();
    response.take_body().read_to_end(&mut body).await?;
    let mut head = format!("HTTP/1.1 {status} Spoilt\r\ncontent-type: application/json\r\n");
    if let Some(attempt) = response.header("x-attempt").map(|v| v.last().as_str()) {
        head.push_str(&format!("x-attempt: {attempt}\r\n"));
    }
    if wrong_length {
        head.push_str(&format!("content-length: {}\r\n", body.len() + 7));
    } else if truncated {
        head.push_str(&format!("content-length: {}\r\n", body.len()));
        body.truncate(body.len() / 2);
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&body).await?;
    Ok(false)
}
