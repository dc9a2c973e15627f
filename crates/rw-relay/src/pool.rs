//! Connections to targets.

use crate::{BootClock, Connection, within::within};
use rw_types::Millis;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// Longest wait for a connection to open.
const CONNECT: Duration = Duration::from_millis(400);
/// Longest wait for one that only tells whether anything listens.
const PROBE: Duration = Duration::from_millis(100);
/// Idle time after which a connection is not used again, in milliseconds, where its target
/// doesn't name one.
const IDLE_MS: u64 = 2_000;
/// How much earlier than its target says a connection is given up, in milliseconds.
const EARLY_MS: u64 = 500;

/// An open connection, counted until it is dropped.
#[derive(Debug)]
pub(crate) struct TargetLink {
    pub(crate) link: Connection,
    /// Whether it carried a call before.
    pub(crate) reused: bool,
    addr: SocketAddr,
    life: u64,
    _counted: Counted,
}

#[derive(Debug)]
struct Counted(Rc<Cell<u32>>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[derive(Debug)]
struct Idle {
    link: TargetLink,
    until: Millis,
}

/// Why there is no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoLink {
    /// All that this node may open are busy.
    Full,
    /// None could be opened.
    Failed,
}

/// Idle connections and counts of the open ones, by address.
#[derive(Debug)]
pub(crate) struct Pool {
    clock: BootClock,
    idle: RefCell<Vec<Idle>>,
    /// Open connections by address, sorted.
    open: RefCell<Vec<(SocketAddr, Rc<Cell<u32>>)>>,
    /// Connections opened so far.
    opened: Cell<u64>,
}

impl Pool {
    pub(crate) fn new(clock: BootClock) -> Self {
        Self {
            clock,
            idle: RefCell::default(),
            open: RefCell::default(),
            opened: Cell::new(0),
        }
    }

    /// Connections opened so far.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// An idle connection, or a new one if fewer than `most` are open.
    pub(crate) async fn get(
        &self,
        addr: SocketAddr,
        life: u64,
        most: u32,
    ) -> Result<TargetLink, NoLink> {
        if let Some(link) = self.pop(addr, life) {
            return Ok(link);
        }
        let count = self.count(addr);
        if count.get() >= most {
            return Err(NoLink::Full);
        }
        count.set(count.get() + 1);
        let counted = Counted(count);
        self.opened.set(self.opened.get() + 1);
        match within(CONNECT, Connection::open(addr)).await {
            Some(Ok(link)) => Ok(TargetLink {
                link,
                reused: false,
                addr,
                life,
                _counted: counted,
            }),
            _ => Err(NoLink::Failed),
        }
    }

    /// Keeps a connection whose answer was read to its end; `keep_s` is the idle time that its
    /// target names.
    pub(crate) fn put(&self, mut link: TargetLink, keep_s: Option<u64>) {
        let idle = keep_s.map_or(IDLE_MS, |s| (s * 1_000).saturating_sub(EARLY_MS));
        if idle == 0 || !link.link.is_idle() {
            return;
        }
        link.reused = true;
        let until = self.clock.now().plus(idle);
        self.idle.borrow_mut().push(Idle { link, until });
    }

    /// Drops the idle connections to an address, which may be as broken as one that was.
    pub(crate) fn forget(&self, addr: SocketAddr) {
        self.idle.borrow_mut().retain(|i| i.link.addr != addr);
    }

    /// Drops what was idle too long, and counts of addresses without a connection.
    pub(crate) fn prune(&self) {
        let now = self.clock.now();
        self.idle.borrow_mut().retain(|i| now < i.until);
        self.open.borrow_mut().retain(|(_, n)| n.get() > 0);
    }

    /// Whether nothing listens at `addr`.
    pub(crate) async fn is_down(&self, addr: SocketAddr) -> bool {
        !matches!(within(PROBE, Connection::open(addr)).await, Some(Ok(_)))
    }

    fn pop(&self, addr: SocketAddr, life: u64) -> Option<TargetLink> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        while let Some(i) = idle.iter().rposition(|i| i.link.addr == addr) {
            let found = idle.remove(i);
            let usable = found.link.life == life && now < found.until;
            if usable && found.link.link.is_idle() {
                return Some(found.link);
            }
        }
        None
    }

    fn count(&self, addr: SocketAddr) -> Rc<Cell<u32>> {
        let mut open = self.open.borrow_mut();
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
