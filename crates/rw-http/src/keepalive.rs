//! Detection of peers that stopped responding.

use rustix::net::sockopt;
use std::{io, os::fd::AsFd, time::Duration};

/// Idle time before the first keep-alive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes that break a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Makes the operating system break an idle connection whose peer stopped responding: one on which the
/// peer has acknowledged everything. For the others see [`UnackedLimit`](crate::UnackedLimit).
///
/// # Errors
///
/// The error of the operating system.
pub fn set_keepalive(socket: impl AsFd) -> io::Result<()> {
    sockopt::set_socket_keepalive(&socket, true)?;
    sockopt::set_tcp_keepidle(&socket, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(&socket, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(&socket, KEEPALIVE_PROBES)?;
    Ok(())
}
