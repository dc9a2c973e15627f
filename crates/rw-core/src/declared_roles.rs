//! Roles that operators changed: each is ordered once, and the role planner may move it on later.

use crate::{Node, ProposedOrder, TargetState};
use rw_types::{Config, LoadReport, Millis, OrderKind, Role, TargetKind};

/// Time after which a changed role that no engine took is given up, in milliseconds.
const GIVE_UP_MS: u64 = 600_000;

/// A role that a configuration changed and the engine has not reported yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct DeclaredRole {
    target: String,
    service: String,
    role: Role,
    until: Millis,
}

impl Node {
    /// Takes note of engines whose role differs between the configuration in force and `new`.
    ///
    /// Every node does, so that a successor goes on where a lease holder died.
    pub(crate) fn note_roles(&mut self, now: Millis, new: &Config) {
        let engines = new.targets.iter().filter(|t| t.kind == TargetKind::Engine);
        for target in engines {
            let before = self.config.target(&target.name).map(|t| t.role);
            if before.is_none_or(|role| role == target.role) {
                continue;
            }
            self.roles.retain(|r| r.target != target.name);
            self.roles.push(DeclaredRole {
                target: target.name.clone(),
                service: target.service.clone(),
                role: target.role,
                until: now.plus(GIVE_UP_MS),
            });
        }
        self.roles.retain(|r| new.target(&r.target).is_some());
    }

    /// Forgets a changed role once the engine reports it.
    pub(crate) fn role_reported(&mut self, target: &str, report: &LoadReport) {
        self.roles
            .retain(|r| r.target != target || r.role != report.role);
    }

    /// Changes of role to order now: one engine of a service at a time, none while objectives burn.
    pub(crate) fn role_wishes(&self, now: Millis, engines: &[&TargetState]) -> Vec<ProposedOrder> {
        if self.sync.is_burning(now) {
            return Vec::new();
        }
        let mut services: Vec<&str> = Vec::new();
        let mut wishes = Vec::new();
        for declared in self.roles.iter().filter(|r| r.until > now) {
            let engine = engines.iter().find(|t| t.spec.name == declared.target);
            let stays = engine.is_some_and(|t| !t.spec.leaving);
            if !stays || services.contains(&declared.service.as_str()) {
                continue;
            }
            services.push(&declared.service);
            wishes.push(ProposedOrder {
                target: declared.target.clone(),
                kind: OrderKind::Role {
                    role: declared.role,
                },
                reason: "another role is declared".to_owned(),
            });
        }
        wishes
    }
}
