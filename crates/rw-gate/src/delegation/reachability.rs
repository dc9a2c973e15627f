//! Which services this node reaches, by its attempts to connect to their targets.

use super::ProbeTarget;
use rw_types::Millis;

/// Number of targets that a node fails to connect to, one after the other, before it takes the whole
/// service for unreachable; all of them if there are fewer.
const MIN_FAILED_TARGETS: usize = 3;
/// Time without a response after which a dispatch makes its target due for a probe, in milliseconds.
pub(crate) const SILENCE_MS: u64 = 500;
/// Time for which a failed connection makes further targets due for a probe, in milliseconds.
const SUSPICION_MS: u64 = 3_000;

/// Evidence about one service.
#[derive(Debug, Clone, Default)]
struct ServiceEvidence {
    service: String,
    /// Targets that could not be connected to since one was reached, sorted.
    failed: Vec<String>,
    failed_at: Millis,
    reached_at: Millis,
    is_unreachable: bool,
    /// Name of the target probed last.
    last_probe: String,
}

impl ServiceEvidence {
    fn is_suspect(&self, now: Millis) -> bool {
        !self.failed.is_empty() && now.since(self.failed_at) < SUSPICION_MS
    }
}

/// Evidence about all services, sorted by name.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reachability {
    services: Vec<ServiceEvidence>,
}

impl Reachability {
    /// A target of `service`, which has `targets` available ones, could not be connected to. Returns
    /// whether the service is now found to be unreachable.
    pub(crate) fn connect_failed(
        &mut self,
        now: Millis,
        service: &str,
        target: &str,
        targets: usize,
    ) -> bool {
        let evidence = self.evidence_mut(service);
        evidence.failed_at = now;
        if let Err(i) = evidence
            .failed
            .binary_search_by(|name| name.as_str().cmp(target))
        {
            evidence.failed.insert(i, target.to_owned());
        }
        let was_unreachable = evidence.is_unreachable;
        evidence.is_unreachable |= evidence.failed.len() >= MIN_FAILED_TARGETS.min(targets.max(1));
        evidence.is_unreachable && !was_unreachable
    }

    /// A target of `service` was reached. Returns whether the service was unreachable.
    pub(crate) fn reached(&mut self, now: Millis, service: &str) -> bool {
        let evidence = self.evidence_mut(service);
        evidence.reached_at = now;
        evidence.failed.clear();
        std::mem::take(&mut evidence.is_unreachable)
    }

    /// Whether no target of `service` can be reached.
    pub(crate) fn is_unreachable(&self, service: &str) -> bool {
        self.evidence(service).is_some_and(|e| e.is_unreachable)
    }

    /// Time at which a connection to a target of `service` failed last.
    pub(crate) fn failed_at(&self, service: &str) -> Millis {
        self.evidence(service).map_or(Millis(0), |e| e.failed_at)
    }

    /// Time at which a target of `service` was reached last.
    pub(crate) fn reached_at(&self, service: &str) -> Millis {
        self.evidence(service).map_or(Millis(0), |e| e.reached_at)
    }

    /// The services that can't be reached, sorted.
    pub(crate) fn unreachable(&self) -> Vec<String> {
        let unreachable = self.services.iter().filter(|e| e.is_unreachable);
        unreachable.map(|e| e.service.clone()).collect()
    }

    /// The services with a target due for a probe.
    pub(crate) fn suspects(&self, now: Millis) -> Vec<String> {
        let suspects = self.services.iter();
        let suspects = suspects.filter(|e| e.is_unreachable || e.is_suspect(now));
        suspects.map(|e| e.service.clone()).collect()
    }

    /// The next of `targets`, which are sorted by name, to be probed: while the service is only
    /// suspected to be unreachable, one that hasn't failed yet.
    pub(crate) fn next_probe(
        &mut self,
        service: &str,
        targets: &[ProbeTarget],
    ) -> Option<ProbeTarget> {
        let evidence = self.evidence_mut(service);
        let start = targets.partition_point(|t| t.name <= evidence.last_probe);
        let mut following = targets[start..].iter().chain(&targets[..start]);
        let is_new = |t: &&ProbeTarget| evidence.failed.binary_search(&t.name).is_err();
        let next = match evidence.is_unreachable {
            true => following.next(),
            false => following.find(is_new),
        };
        let next = next?.clone();
        evidence.last_probe.clone_from(&next.name);
        Some(next)
    }

    fn evidence(&self, service: &str) -> Option<&ServiceEvidence> {
        Some(&self.services[self.index(service).ok()?])
    }

    fn evidence_mut(&mut self, service: &str) -> &mut ServiceEvidence {
        let i = match self.index(service) {
            Ok(i) => i,
            Err(i) => {
                let new = ServiceEvidence {
                    service: service.to_owned(),
                    ..ServiceEvidence::default()
                };
                self.services.insert(i, new);
                i
            }
        };
        &mut self.services[i]
    }

    fn index(&self, service: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|e| e.service.as_str().cmp(service))
    }
}
