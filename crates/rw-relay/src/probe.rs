//! Connections that only show what is at an address.

use crate::{
    Connection,
    pool::CONNECT_TIMEOUT,
    timeout::{running_timeout, timeout},
};
use smol::{Timer, future};
use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    time::Duration,
};

/// Timeout for a connection that only checks whether a process listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of such connections for one check.
const MAX_PROBES: u32 = 5;
/// Pause between them.
const PROBE_PAUSE: Duration = Duration::from_millis(20);
/// Time after which a connection that stays open shows that the process runs.
const PROBE_OPEN_TIME: Duration = Duration::from_millis(20);
/// Time until it is checked first whether an address still responds; it doubles with each check.
const CONTACT_INTERVAL: Duration = Duration::from_millis(1_500);

/// What a probe of an address has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Listener {
    Open,
    /// New connections are refused.
    None,
    /// New connections fail in another way, or time out.
    Silent,
}

/// Looks whether a process listens at `addr`.
///
/// A process that terminates closes its connections before its listener, and the system accepts new ones
/// until then. So a connection that is closed at once doesn't show that the process runs.
pub(crate) async fn listener(addr: SocketAddr) -> Listener {
    for _ in 0..MAX_PROBES {
        match running_timeout(PROBE_TIMEOUT, Connection::open(addr)).await {
            Some(Ok(mut probe)) => {
                if timeout(PROBE_OPEN_TIME, probe.closed()).await.is_none() {
                    return Listener::Open;
                }
            }
            Some(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Listener::None,
            // The other side has closed it before it was set up.
            Some(Err(e)) if is_closed(&e) => {}
            Some(Err(_)) | None => return Listener::Silent,
        }
        Timer::after(PROBE_PAUSE).await;
    }
    Listener::Open
}

/// Whether an error tells that a connection was open, and has been closed since.
fn is_closed(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::NotConnected
            | ErrorKind::BrokenPipe
            | ErrorKind::InvalidInput
    )
}

/// Completes with an error once nothing at `addr` responds to new connections; never if `is_watched` is
/// false. For a message without a limit on the time for which it may stay unacknowledged.
pub(crate) async fn contact_lost<T>(addr: SocketAddr, is_watched: bool) -> io::Result<T> {
    if !is_watched {
        return future::pending().await;
    }
    let mut pause = CONTACT_INTERVAL;
    loop {
        Timer::after(pause).await;
        if !responds(addr).await && !responds(addr).await {
            return Err(ErrorKind::TimedOut.into());
        }
        pause *= 2;
    }
}

/// Whether the system at `addr` responds to a new connection, if only by refusing it.
async fn responds(addr: SocketAddr) -> bool {
    match running_timeout(CONNECT_TIMEOUT, Connection::open(addr)).await {
        Some(Ok(_)) => true,
        Some(Err(e)) => matches!(
            e.kind(),
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
        ),
        None => false,
    }
}
