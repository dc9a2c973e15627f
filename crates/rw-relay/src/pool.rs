//! Connection pool for targets.

use crate::{
    BootClock, Connection,
    carried_calls::CallKey,
    target_connection::{OpenCount, TargetConnection},
    timeout::running_timeout,
};
use rw_types::Millis;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// Timeout for opening a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle timeout of a connection whose target announces none.
const IDLE_TIMEOUT_MS: u64 = 2_000;
/// A connection expires this much before the idle timeout that its target announces.
const IDLE_MARGIN_MS: u64 = 500;

/// Time for which a broken connection casts doubt on the others to its address, in milliseconds.
const BROKEN_MS: u64 = 500;

#[derive(Debug)]
struct IdleConnection {
    conn: TargetConnection,
    expires: Millis,
}

/// Why no connection is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// All connections that this node may open to the address are in use.
    AtLimit,
    /// Connecting failed or timed out.
    Failed,
}

/// Idle connections, and the number of open connections of each address.
#[derive(Debug)]
pub(crate) struct Pool {
    clock: BootClock,
    idle: RefCell<Vec<IdleConnection>>,
    /// Number of open connections of each address, sorted by address.
    open_counts: RefCell<Vec<(SocketAddr, Rc<Cell<u32>>)>>,
    /// Connections opened so far, including failed attempts.
    opened: Cell<u64>,
    /// Addresses where a connection has broken lately, and when the latest one did.
    broken: RefCell<Vec<(SocketAddr, Millis)>>,
}

impl Pool {
    pub(crate) fn new(clock: BootClock) -> Self {
        Self {
            clock,
            idle: RefCell::default(),
            open_counts: RefCell::default(),
            opened: Cell::new(0),
            broken: RefCell::default(),
        }
    }

    /// Connections opened so far, including failed attempts.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Returns an idle connection on which the response to the call can be told from others, or opens
    /// one if fewer than `limit` are open.
    pub(crate) async fn acquire(
        &self,
        (addr, incarnation): (SocketAddr, u64),
        call: CallKey,
        limit: u32,
    ) -> Result<TargetConnection, ConnectError> {
        match self.take_idle(addr, incarnation, call) {
            Some(conn) => Ok(conn),
            None => {
                self.drop_one_idle(addr);
                self.open(addr, incarnation, limit).await
            }
        }
    }

    async fn open(
        &self,
        addr: SocketAddr,
        incarnation: u64,
        limit: u32,
    ) -> Result<TargetConnection, ConnectError> {
        let count = self.open_count(addr);
        if count.get() >= limit {
            return Err(ConnectError::AtLimit);
        }
        let count = OpenCount::new(count);
        self.opened.set(self.opened.get() + 1);
        match running_timeout(CONNECT_TIMEOUT, Connection::open(addr)).await {
            Some(Ok(connection)) => {
                let key = (addr, incarnation);
                Ok(TargetConnection::new(connection, key, count))
            }
            Some(Err(_)) | None => Err(ConnectError::Failed),
        }
    }

    /// Opens a new connection, and keeps it for a later call; false if that is not possible.
    pub(crate) async fn probe(&self, addr: SocketAddr, incarnation: u64) -> bool {
        let opened = self.open(addr, incarnation, u32::MAX).await;
        let is_open = opened.is_ok();
        if let Ok(conn) = opened {
            self.release(conn, None);
        }
        is_open
    }

    /// Takes back a connection whose response was read in full; `idle_s` is the idle timeout that
    /// its target announces, in seconds.
    pub(crate) fn release(&self, conn: TargetConnection, idle_s: Option<u64>) {
        let idle = idle_s.map_or(IDLE_TIMEOUT_MS, |s| {
            (s * 1_000).saturating_sub(IDLE_MARGIN_MS)
        });
        if idle == 0 || !conn.is_idle() {
            return;
        }
        let expires = self.clock.now().plus(idle);
        self.idle
            .borrow_mut()
            .push(IdleConnection { conn, expires });
    }

    /// Drops the idle connections to an address where one has failed, because they may be broken
    /// too.
    pub(crate) fn drop_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().retain(|i| i.conn.addr() != addr);
        let now = self.clock.now();
        let mut broken = self.broken.borrow_mut();
        broken.retain(|(a, at)| *a != addr && now.since(*at) < BROKEN_MS);
        broken.push((addr, now));
    }

    /// Whether another connection to an address has just broken, or was closed by the other side, as all
    /// are when a process ends.
    pub(crate) fn has_lost_others(&self, addr: SocketAddr) -> bool {
        let now = self.clock.now();
        let broken = self.broken.borrow();
        let has_broken = broken
            .iter()
            .any(|(a, at)| *a == addr && now.since(*at) < BROKEN_MS);
        let idle = self.idle.borrow();
        has_broken
            || idle
                .iter()
                .any(|i| i.conn.addr() == addr && !i.conn.is_idle())
    }

    /// Drops an idle connection to an address where none fits a call, so that calls of one identifier
    /// don't pile them up.
    fn drop_one_idle(&self, addr: SocketAddr) {
        let mut idle = self.idle.borrow_mut();
        if let Some(i) = idle.iter().rposition(|i| i.conn.addr() == addr) {
            idle.remove(i);
        }
    }

    /// Drops expired connections, and the counters of addresses without an open connection.
    pub(crate) fn prune(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|i| now < i.expires);
        self.open_counts.borrow_mut().retain(|(_, n)| n.get() > 0);
    }

    fn take_idle(
        &self,
        addr: SocketAddr,
        incarnation: u64,
        call: CallKey,
    ) -> Option<TargetConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let fits = |i: &IdleConnection| i.conn.addr() == addr && i.conn.can_tell(call);
        while let Some(i) = idle.iter().rposition(fits) {
            let found = idle.remove(i);
            let usable = found.conn.incarnation() == incarnation && now < found.expires;
            if usable && found.conn.is_idle() {
                return Some(found.conn);
            }
        }
        None
    }

    fn open_count(&self, addr: SocketAddr) -> Rc<Cell<u32>> {
        let mut open = self.open_counts.borrow_mut();
        match open.binary_search_by_key(&addr, |(a, _)| *a) {
            Ok(i) => open[i].1.clone(),
            Err(i) => {
                let count = Rc::new(Cell::new(0));
                open.insert(i, (addr, count.clone()));
                count
            }
        }
    }
}
