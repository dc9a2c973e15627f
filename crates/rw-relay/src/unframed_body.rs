//! Bodies that have neither a length nor chunks.

use crate::{
    Dialect, Framing, Relay,
    io_error::truncated,
    probe::{Listener, listener},
};
use rw_gate::Availability;
use smol::Timer;
use std::{io, net::SocketAddr, time::Duration};

/// Number of further looks at a listener while other connections to it are lost.
const SECOND_LOOKS: u32 = 3;
/// Pause before each of them.
const LOOK_PAUSE: Duration = Duration::from_millis(30);

/// Where a body comes from that ends with its connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UnframedBody<'a> {
    target: &'a str,
    addr: SocketAddr,
}

impl<'a> UnframedBody<'a> {
    /// A body of `target`; `None` if its framing marks its end.
    pub(crate) fn new(framing: Framing, target: &'a str, addr: SocketAddr) -> Option<Self> {
        (framing == Framing::Close).then_some(Self { target, addr })
    }
}

impl<D: Dialect> Relay<D> {
    /// Checks the end of a body, which is no end if its target has crashed: the system closes the
    /// connections of a process that terminates in an orderly way.
    ///
    /// # Errors
    ///
    /// `UnexpectedEof` if nothing listens at the target's address any more, while this node reaches others.
    /// A target that is known to leave is exempt: it may close its listener before it ends its last bodies.
    pub(crate) async fn check_end(&self, body: Option<UnframedBody<'_>>) -> io::Result<()> {
        let Some(UnframedBody { target, addr }) = body else {
            return Ok(());
        };
        let has_crashed = !self.may_exit(target)
            && self.has_no_listener(addr).await
            && self.reaches_others(target, Listener::None).await;
        match has_crashed {
            true => Err(truncated()),
            false => Ok(()),
        }
    }

    /// Whether nothing listens at `addr` any more. Where other connections were lost as well, the process may
    /// be about to close its listener, so that it is looked at again.
    async fn has_no_listener(&self, addr: SocketAddr) -> bool {
        let mut found = listener(addr).await;
        for _ in 0..SECOND_LOOKS {
            if found != Listener::Open || !self.pool.has_lost_others(addr) {
                break;
            }
            Timer::after(LOOK_PAUSE).await;
            found = listener(addr).await;
        }
        found == Listener::None
    }

    /// Whether a target is leaving, or has left the registry.
    fn may_exit(&self, target: &str) -> bool {
        let gate = self.gate.borrow();
        let known = gate.targets().find(target);
        let availability = known.map(|t| t.availability(self.clock.now()));
        matches!(
            availability,
            None | Some(Availability::Gone | Availability::Leaving(_))
        )
    }
}
