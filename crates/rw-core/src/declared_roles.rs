//! Role changes made in the configuration. Each is ordered once; the role planner may change the
//! role again later.

use crate::{Node, ProposedOrder, TargetState};
use rw_types::{Config, LoadReport, Millis, OrderKind, Role, TargetKind};

/// Time after which a changed role that the engine did not take on is dropped, in milliseconds.
const ROLE_CHANGE_TIMEOUT_MS: u64 = 600_000;

/// A role that the configuration changed and that the engine has not reported yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PendingRole {
    target: String,
    service: String,
    role: Role,
    expires_at: Millis,
}

impl Node {
    /// Records the engines whose role differs between the configuration in force and `new`.
    ///
    /// All nodes do so, not only the lease holder, so that a successor can continue if the
    /// holder fails.
    pub(crate) fn record_role_changes(&mut self, now: Millis, new: &Config) {
        let engines = new.targets.iter().filter(|t| t.kind == TargetKind::Engine);
        for target in engines {
            let before = self.config.target(&target.name).map(|t| t.role);
            if before.is_none_or(|role| role == target.role) {
                continue;
            }
            self.pending_roles.retain(|r| r.target != target.name);
            self.pending_roles.push(PendingRole {
                target: target.name.clone(),
                service: target.service.clone(),
                role: target.role,
                expires_at: now.plus(ROLE_CHANGE_TIMEOUT_MS),
            });
        }
        self.pending_roles
            .retain(|r| new.target(&r.target).is_some());
    }

    /// Removes a changed role once the engine reports it.
    pub(crate) fn role_reported(&mut self, target: &str, report: &LoadReport) {
        self.pending_roles
            .retain(|r| r.target != target || r.role != report.role);
    }

    /// Role changes to order now: one engine per service at a time, none while the burn rate is
    /// high.
    pub(crate) fn role_proposals(
        &self,
        now: Millis,
        engines: &[&TargetState],
    ) -> Vec<ProposedOrder> {
        if self.sync.is_burning(now) {
            return Vec::new();
        }
        let mut services: Vec<&str> = Vec::new();
        let mut proposals = Vec::new();
        for pending in self.pending_roles.iter().filter(|r| r.expires_at > now) {
            let engine = engines.iter().find(|t| t.spec.name == pending.target);
            let available = engine.is_some_and(|t| !t.spec.leaving);
            if !available || services.contains(&pending.service.as_str()) {
                continue;
            }
            services.push(&pending.service);
            proposals.push(ProposedOrder {
                target: pending.target.clone(),
                kind: OrderKind::Role { role: pending.role },
                reason: "the configuration declares another role".to_owned(),
            });
        }
        proposals
    }
}
