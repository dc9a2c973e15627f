//! A target and its estimated state.

use crate::{
    Availability, Health, LeavingSource, PrefillQueue, PrefillSize, PrefixCache, ProcessDoubt,
    Prompt, Reservation, SendWindow, SoftwareId, TargetLoad, TargetSpeed, digest::REPORT_TTL_MS,
};
use rw_types::{Millis, Role};
use serde::{Deserialize, Serialize};

/// Entry that a target registers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetSpec {
    /// Its name.
    pub name: String,
    /// Start time, which identifies the incarnation. A target with another value has been restarted
    /// and has lost its state.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Service that the target belongs to.
    pub service: String,
    /// `ip:port`.
    pub addr: String,
    /// Data centre that the target is in.
    pub centre: String,
    /// Calls that the target can run concurrently.
    pub slots: u32,
    /// Phases of a generation that the target runs.
    pub role: Role,
    /// Whether the target is draining and accepts no new work.
    pub leaving: bool,
    /// Names of the loaded models; empty for a plain service.
    pub models: Vec<String>,
    /// Version of its software; empty if it isn't known.
    #[serde(default)]
    pub software: String,
    /// Whether the platform may take it back at short notice.
    #[serde(default)]
    pub spot: bool,
    /// Milliseconds until it ends, as of its entry, if that is known.
    #[serde(default)]
    pub leaves_ms: Option<u64>,
}

/// A known target and its estimated state.
#[derive(Debug, Clone)]
pub struct Target {
    /// Registered entry.
    pub spec: TargetSpec,
    /// Set if the entry lapsed during a store outage: time at which the target is removed unless
    /// the entry is renewed.
    pub remove_at: Option<Millis>,
    /// Set if it said, or other nodes did, that it is leaving.
    pub leaving: Option<LeavingSource>,
    /// End of the pause that it asked this node for.
    pub paused_until: Option<Millis>,
    /// Set if it has named a rate limit: when this node may send the next request.
    pub send_window: Option<SendWindow>,
    /// Load from the latest response, and the time of that response.
    pub load: Option<(Millis, TargetLoad)>,
    /// Prefills that are queued or running on the target.
    pub queue: PrefillQueue,
    /// Estimated contents of its prefix cache.
    pub cache: PrefixCache,
    /// Failure rate and slowdown.
    pub health: Health,
    /// Whether another process may run by now.
    pub doubt: ProcessDoubt,
    /// How long work takes, relative to the other targets of the service.
    pub speed: TargetSpeed,
    /// Open calls of this node on the target.
    pub open_calls: u32,
    /// Tokens held by open generations of this node.
    pub open_tokens: u64,
    /// Running generations of other nodes: VM, time of the report, number of generations, and
    /// tokens that they hold.
    pub remote_usage: Vec<(String, Millis, u32, u64)>,
    /// Places that this node granted to calls of other nodes, as a scheduler.
    pub reservations: Vec<Reservation>,
    /// Set during a role change: time by which it ends at the latest, and the new role.
    pub role_change: Option<(Millis, Role)>,
}

impl Target {
    /// Creates a target without any known state.
    #[must_use]
    pub fn new(spec: TargetSpec) -> Self {
        Self {
            spec,
            remove_at: None,
            leaving: None,
            paused_until: None,
            send_window: None,
            load: None,
            queue: PrefillQueue::default(),
            cache: PrefixCache::default(),
            health: Health::default(),
            doubt: ProcessDoubt::default(),
            speed: TargetSpeed::default(),
            open_calls: 0,
            open_tokens: 0,
            remote_usage: Vec::new(),
            reservations: Vec::new(),
            role_change: None,
        }
    }

    /// The version of its software. In doubt which process runs, it is one that no other target has and
    /// no stream began at.
    #[must_use]
    pub fn software_id(&self) -> SoftwareId {
        if !self.doubt.is_open() {
            return SoftwareId::of_target(&self.spec);
        }
        self.unknown_software()
    }

    /// The version at which streams have begun here while it was in doubt which process runs. Once that
    /// doubt is over, it stands for the version of the entry.
    pub(crate) fn unknown_software(&self) -> SoftwareId {
        let unknown = format!("after {} of {}", self.spec.incarnation, self.spec.name);
        SoftwareId::of(&self.spec.service, &unknown)
    }

    /// Whether a role change is under way.
    #[must_use]
    pub fn is_changing_role(&self, now: Millis) -> bool {
        self.role_change.is_some_and(|(until, _)| now < until)
    }

    /// Role after the role change under way, if any.
    #[must_use]
    pub fn next_role(&self, now: Millis) -> Role {
        let change = self.role_change.filter(|(until, _)| now < *until);
        change.map_or(self.spec.role, |(_, role)| role)
    }

    /// Forgets what other nodes reported and have not repeated in time.
    pub fn expire_reports(&mut self, now: Millis) {
        self.queue.expire_remote(now);
        self.remote_usage.retain(|u| now.since(u.1) < REPORT_TTL_MS);
        self.reservations.retain(|r| now < r.until);
    }

    /// Number of running generations of all nodes, as far as known.
    #[must_use]
    pub fn running_calls(&self) -> u32 {
        let remote = self.remote_usage.iter().map(|u| {
            let granted = self.reservations.iter().filter(|r| r.vm == u.0).count();
            u.2.saturating_sub(granted as u32)
        });
        let local = self.open_calls + self.reservations.len() as u32;
        remote.fold(local, u32::saturating_add)
    }

    /// Tokens held by the running generations of all nodes.
    #[must_use]
    pub fn running_tokens(&self) -> u64 {
        let remote = self.remote_usage.iter().map(|u| {
            let granted = self.reservations.iter().filter(|r| r.vm == u.0);
            u.3.saturating_sub(granted.map(|r| r.tokens).sum())
        });
        let granted: u64 = self.reservations.iter().map(|r| r.tokens).sum();
        remote.fold(self.open_tokens + granted, u64::saturating_add)
    }

    /// Whether the target may get new work, and if not, why.
    #[must_use]
    pub fn availability(&self, now: Millis) -> Availability {
        if self.remove_at.is_some_and(|at| at <= now) {
            return Availability::Gone;
        }
        let entry = self.spec.leaving.then_some(LeavingSource::Entry);
        if let Some(source) = entry.or(self.leaving) {
            return Availability::Leaving(source);
        }
        match self.paused_until {
            Some(until) if now < until => return Availability::Paused { until },
            _ => {}
        }
        match self.send_window.map(|w| w.next(now)) {
            Some(until) if now < until => Availability::RateLimited { until },
            _ => Availability::Open,
        }
    }

    /// Whether the target may get new work.
    #[must_use]
    pub fn is_available(&self, now: Millis) -> bool {
        self.availability(now) == Availability::Open
    }

    /// Whether the target will get work, now or later.
    #[must_use]
    pub fn is_staying(&self, now: Millis) -> bool {
        match self.availability(now) {
            Availability::Open | Availability::Paused { .. } | Availability::RateLimited { .. } => {
                true
            }
            Availability::Gone | Availability::Leaving(_) => false,
        }
    }

    /// Prefill work for `prompt`, given the prefix cache.
    #[must_use]
    pub fn prefill_size(&self, prompt: &Prompt) -> PrefillSize {
        let cached = self.cache.cached_tokens(&prompt.parts);
        let tokens = u64::from(prompt.tokens).saturating_sub(cached).max(1);
        PrefillSize { tokens, cached }
    }

    /// Whether `model` is loaded.
    #[must_use]
    pub fn has_model(&self, model: &str) -> bool {
        self.spec.models.iter().any(|m| m == model)
    }
}
