//! Runs the reducer's effects that synchronize the configuration.

use crate::{RpcError, Shell, call_rpc, config_update::ConfigUpdate, history::unix_now};
use rw_core::{Effect, Event, SyncEffect, SyncEvent};
use rw_platform::{PlatformError, VmList as _, read_changes, read_config, read_head};
use rw_types::{Config, ConfigChange, Digest, Version};
use serde::{Serialize, de::DeserializeOwned};
use std::{sync::Arc, time::Duration};

/// Timeout of a digest exchange with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of fetching changes or the full configuration.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum interval between reads of the VM list, per VM on it, so that the bytes read per second
/// do not grow with the fleet.
const LIST_INTERVAL_PER_VM: Duration = Duration::from_millis(25);

impl Shell {
    /// Exchanges digests and reads the head of the configuration until the process ends.
    pub(crate) async fn sync_config(self: Arc<Self>) {
        loop {
            let effects = self.step(Event::Sync(SyncEvent::Tick));
            self.run_sync(effects);
            self.step_sync(SyncEvent::Burning(self.is_burning_fast()));
            self.record_states();
            smol::Timer::after(self.settings.poll_interval).await;
        }
    }

    /// Records state changes of this node.
    fn record_states(&self) {
        let now = self.now();
        let (ready, paused) = {
            let node = self.lock();
            (node.is_available(now), node.sync().is_burning(now))
        };
        let (at, vm) = (unix_now(), &self.settings.vm);
        let mut burn = self.burn();
        burn.record_ready(at, vm, ready);
        burn.record_paused(at, vm, paused);
    }

    /// Reads the VM list until the process ends.
    pub(crate) async fn poll_vms(self: Arc<Self>) {
        loop {
            let read = self.platform.vms().await;
            self.count_platform("vms", read.is_ok());
            if let Ok(vms) = read {
                self.step(Event::VmsRead(vms));
            }
            let listed = self.lock().members().all().len() as u32;
            let pause = self
                .settings
                .poll_interval
                .max(LIST_INTERVAL_PER_VM * listed);
            smol::Timer::after(pause).await;
        }
    }

    /// Feeds an event to the reducer and runs the resulting effects.
    pub(crate) fn step_sync(self: &Arc<Self>, event: SyncEvent) {
        let effects = self.step(Event::Sync(event));
        self.run_sync(effects);
    }

    fn run_sync(self: &Arc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            if let Effect::Sync(effect) = effect {
                rw_http::spawn(self.clone().run_sync_effect(effect)).detach();
            }
        }
    }

    async fn run_sync_effect(self: Arc<Self>, effect: SyncEffect) {
        let sent = self.now();
        let event = match effect {
            SyncEffect::ReadHead => {
                let read = read_head(&self.platform).await;
                self.count_platform("head", read.is_ok());
                self.burn()
                    .record_table(unix_now(), &self.settings.vm, read.is_ok());
                let head = read.ok().map(|(version, _)| version);
                SyncEvent::HeadRead { sent, head }
            }
            SyncEffect::Exchange { addr } => {
                let own = self.digest();
                let call = self.call_peer(&addr, "exchange", &own, EXCHANGE_TIMEOUT);
                let digest = call.await.ok();
                SyncEvent::ExchangeEnded { sent, addr, digest }
            }
            SyncEffect::Fetch { peer } => {
                match peer {
                    Some(addr) => self.fetch_from_peer(&addr).await,
                    None => self.count_platform("changes", self.fetch_from_table().await.is_ok()),
                }
                SyncEvent::FetchEnded
            }
        };
        self.step_sync(event);
    }

    /// Calls a method of a peer once.
    pub(crate) async fn call_peer<P: Serialize, R: DeserializeOwned>(
        &self,
        addr: &str,
        method: &str,
        params: &P,
        timeout: Duration,
    ) -> Result<R, RpcError> {
        let token = &self.settings.token;
        call_rpc(&self.client, addr, token, method, params, timeout).await
    }

    async fn fetch_from_peer(&self, addr: &str) {
        let since = self.config().version;
        let call = self.call_peer::<_, ConfigUpdate>(addr, "changes", &since, FETCH_TIMEOUT);
        match call.await {
            Ok(ConfigUpdate::Incremental(changes)) => self.apply_changes(changes),
            Ok(ConfigUpdate::Full(config)) => self.apply_config(*config),
            Err(_) => {}
        }
    }

    pub(crate) async fn fetch_from_table(&self) -> Result<(), PlatformError> {
        let since = self.config().version;
        let (head, _) = read_head(&self.platform).await?;
        // At version zero the snapshot is read, because it holds more than the changes that are
        // still stored.
        let changes = match since {
            Version(0) => None,
            _ => read_changes(&self.platform, since, head).await?,
        };
        match changes {
            Some(changes) => self.apply_changes(changes),
            None => {
                if let Some(config) = read_config(&self.platform, head).await? {
                    self.apply_config(config);
                }
            }
        }
        Ok(())
    }

    /// Applies, as one update, all changes that continue the version in force.
    pub(crate) fn apply_changes(&self, changes: Vec<ConfigChange>) {
        let mut config = Config::clone(&self.config());
        let applied: Vec<_> = changes.into_iter().filter(|c| config.apply(c)).collect();
        if !applied.is_empty() {
            self.apply_config(config);
            self.recent_changes().push(applied);
        }
    }

    /// Returns what a peer at version `since` needs to reach the version in force.
    pub(crate) fn changes_since(&self, since: Version) -> ConfigUpdate {
        let config = self.config();
        let changes = self.recent_changes().between(since, config.version);
        match changes {
            Some(changes) => ConfigUpdate::Incremental(changes),
            None => ConfigUpdate::Full(Box::new(Config::clone(&config))),
        }
    }

    /// Returns this node's digest for peers.
    pub(crate) fn digest(&self) -> Digest {
        let burning = self.is_burning_fast();
        let node = self.lock();
        let now = self.now();
        Digest {
            vm: self.settings.vm.clone(),
            boot: self.core.boot,
            version: node.config().version,
            age_ms: node.sync().head_age(now),
            ready: node.is_available(now),
            burning,
            suspects: node.digest_suspects(now),
        }
    }

    pub(crate) fn count_platform(&self, call: &str, ok: bool) {
        let end = if ok { "ok" } else { "failed" };
        self.metrics
            .platform_calls
            .with_label_values(&[call, end])
            .inc();
    }
}
