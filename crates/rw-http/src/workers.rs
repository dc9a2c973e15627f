//! Worker threads, each with its own executor.

use smol::{Executor, Task, block_on, future};
use std::{
    cell::OnceCell,
    fmt,
    future::{Future, pending},
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

thread_local! {
    static EXECUTOR: OnceCell<Arc<Executor<'static>>> = const { OnceCell::new() };
}

/// Spawns a task on this thread's executor, or on the global one if the thread has none.
pub fn spawn<T: Send + 'static>(work: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.with(|local| match local.get() {
        Some(executor) => executor.spawn(work),
        None => smol::spawn(work),
    })
}

/// Threads that share no tasks: running a small request on one thread costs less than handing it
/// over to another.
#[derive(Clone, Default)]
pub struct Workers {
    executors: Arc<Vec<Arc<Executor<'static>>>>,
    next: Arc<AtomicUsize>,
}

impl Workers {
    /// Starts `threads` threads, which run until the process exits; with zero, tasks run on the
    /// global executor.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn start(threads: usize) -> io::Result<Self> {
        let executors: io::Result<Vec<_>> = (0..threads).map(start_thread).collect();
        Ok(Self {
            executors: Arc::new(executors?),
            next: Arc::default(),
        })
    }

    /// Spawns a task on one of the threads, in round-robin order.
    pub fn spawn<T: Send + 'static>(
        &self,
        work: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        if self.executors.is_empty() {
            return spawn(work);
        }
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        self.executors[turn % self.executors.len()].spawn(work)
    }

    /// Runs `work` on the first thread and blocks until it completes, without polling for I/O here.
    ///
    /// If this thread polled too, it would receive events that belong to the workers and hand them
    /// over, at the cost of two thread switches for each.
    pub fn block_on<T: Send + 'static>(&self, work: impl Future<Output = T> + Send + 'static) -> T {
        match self.executors.first() {
            Some(executor) => future::block_on(executor.spawn(work)),
            None => block_on(work),
        }
    }
}

impl fmt::Debug for Workers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Workers")
            .field("threads", &self.executors.len())
            .finish()
    }
}

fn start_thread(n: usize) -> io::Result<Arc<Executor<'static>>> {
    let executor = Arc::new(Executor::new());
    let local = executor.clone();
    thread::Builder::new()
        .name(format!("worker-{n}"))
        .spawn(move || {
            EXECUTOR.with(|cell| {
                // Cannot fail: the thread is new, so the cell is empty.
                let _ = cell.set(local.clone());
            });
            block_on(local.run(pending::<()>()));
        })?;
    Ok(executor)
}
