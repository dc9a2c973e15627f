//! How a stand-in sends an answer, whole or spoilt.

use crate::Fault;
use async_h1::server::Encoder;
use rw_http::{Method, Response};
use smol::{
    io::{self, AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Sends an answer as `struck` says and returns whether the connection may carry another call.
///
/// # Errors
///
/// The error of the connection.
pub(crate) async fn send_answer(
    stream: &mut TcpStream,
    method: Method,
    mut answer: Response,
    struck: &[Fault],
) -> io::Result<bool> {
    let spoils = |fault: &Fault| struck.contains(fault);
    if spoils(&Fault::DropResponse) {
        return Ok(false);
    }
    let cut = spoils(&Fault::TruncateResponse);
    let longer = spoils(&Fault::WrongLength);
    let endless = spoils(&Fault::NoLength);
    if !cut && !longer && !endless {
        io::copy(&mut Encoder::new(answer, method), stream).await?;
        return Ok(true);
    }
    let status = answer.status() as u16;
    let mut body = Vec::new();
    answer.take_body().read_to_end(&mut body).await?;
    let mut head = format!("HTTP/1.1 {status} Spoilt\r\ncontent-type: application/json\r\n");
    if let Some(attempt) = answer.header("x-attempt").map(|v| v.last().as_str()) {
        head.push_str(&format!("x-attempt: {attempt}\r\n"));
    }
    if longer {
        head.push_str(&format!("content-length: {}\r\n", body.len() + 7));
    } else if cut {
        head.push_str(&format!("content-length: {}\r\n", body.len()));
        body.truncate(body.len() / 2);
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&body).await?;
    Ok(false)
}
