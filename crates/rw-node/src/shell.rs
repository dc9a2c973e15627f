//! State of a node process: the reducer behind a mutex, and the clients that run its effects.

use crate::{BurnCounters, Metrics, NodeSettings, RecentChanges, accounts::Accounts};
use rw_core::{CoreSettings, Effect, Event, Node};
use rw_http::Client;
use rw_platform::HttpPlatform;
use rw_types::{Config, Millis, RequestId};
use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// State shared by all tasks of a node.
#[derive(Debug)]
pub struct Shell {
    pub(crate) settings: NodeSettings,
    pub(crate) client: Client,
    pub(crate) platform: HttpPlatform,
    pub(crate) metrics: Metrics,
    pub(crate) core: CoreSettings,
    node: Mutex<Node>,
    accounts: RwLock<Arc<Accounts>>,
    apply_lock: Mutex<()>,
    recent_changes: Mutex<RecentChanges>,
    pub(crate) burn: Mutex<BurnCounters>,
    /// Addresses of targets with a logged warning about a pause, sorted.
    pub(crate) warned_targets: Mutex<Vec<String>>,
    started: Instant,
    next_request: AtomicU64,
}

impl Shell {
    /// Creates a node that has not contacted the platform or any peer yet.
    #[must_use]
    pub fn new(settings: NodeSettings, core: CoreSettings, metrics: Metrics) -> Self {
        let client = Client::default();
        let platform = HttpPlatform::new(
            client.clone(),
            settings.platform.clone(),
            settings.platform_timeout,
        );
        Self {
            node: Mutex::new(Node::new(core.clone())),
            accounts: RwLock::default(),
            apply_lock: Mutex::default(),
            recent_changes: Mutex::default(),
            burn: Mutex::default(),
            warned_targets: Mutex::default(),
            started: Instant::now(),
            next_request: AtomicU64::new(1),
            settings,
            client,
            platform,
            metrics,
            core,
        }
    }

    /// Returns the milliseconds since the process started, by its monotonic clock.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    /// Converts a time of this process's clock to an instant.
    pub(crate) fn instant(&self, at: Millis) -> Instant {
        self.started + Duration::from_millis(at.0)
    }

    /// Feeds one event to the reducer and returns the resulting effects.
    pub(crate) fn step(&self, event: Event) -> Vec<Effect> {
        // The clock is read under the lock, so that the reducer's time never goes backwards.
        let mut node = self.lock();
        let now = self.now();
        node.step(now, event)
    }

    /// Locks the reducer for reading.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn new_request(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Arc<Config> {
        self.lock().config().clone()
    }

    /// Applies a configuration from any source if its version is higher than the one in force.
    pub(crate) fn apply_config(&self, config: Config) {
        // Serialized, so that the indexes always match the version in force.
        let _guard = self
            .apply_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (old, config) = (self.config(), Arc::new(config));
        self.step(Event::ConfigRead(config.clone()));
        // The reducer ignores a version that is not higher; then there is nothing to index.
        if !Arc::ptr_eq(&self.config(), &config) {
            return;
        }
        log::info!("configuration {} in force", config.version);
        self.record_state(format!("configuration {} in force", config.version));
        // Most changes do not affect these lists, and comparing them is cheaper than indexing.
        if old.targets != config.targets {
            self.burn().index(&config);
        }
        if old.accounts != config.accounts {
            let index = Arc::new(Accounts::index(&config));
            *self
                .accounts
                .write()
                .unwrap_or_else(PoisonError::into_inner) = index;
        }
    }

    /// Locks the recent changes kept for peers.
    pub(crate) fn recent_changes(&self) -> MutexGuard<'_, RecentChanges> {
        self.recent_changes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn accounts(&self) -> Arc<Accounts> {
        self.accounts
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
