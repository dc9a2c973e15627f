//! The open connections of a listener.

use crate::conn::Conn;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Open connections, sorted by id.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    conns: Mutex<Vec<Arc<Conn>>>,
}

impl Registry {
    /// Adds a connection, whose id must be the highest so far, and returns how many are now open.
    pub(crate) fn add(&self, conn: Arc<Conn>) -> usize {
        let mut conns = self.lock();
        conns.push(conn);
        conns.len()
    }

    /// Removes a connection; does nothing if it has been removed already.
    pub(crate) fn remove(&self, id: u64) {
        let mut conns = self.lock();
        if let Ok(i) = conns.binary_search_by_key(&id, |c| c.id) {
            conns.remove(i);
        }
    }

    /// Closes the connection that has been idle longest; false if none is idle.
    pub(crate) fn close_idle(&self) -> bool {
        let conns = self.lock();
        let idle = conns.iter().filter_map(|c| Some((c.idle_since()?, c)));
        let Some((_, conn)) = idle.min_by_key(|(since, _)| *since) else {
            return false;
        };
        conn.close_idle();
        true
    }

    /// Shuts down every connection that has exceeded a time limit.
    pub(crate) fn sweep(&self) {
        // Copied, so that the lock is not held during the system calls.
        let conns = self.lock().clone();
        conns.iter().for_each(|c| c.sweep());
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Conn>>> {
        self.conns.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
