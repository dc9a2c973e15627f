//! Which node a call is passed to.

use crate::{DIGEST_FANOUT, Digest, FleetNode, roles::PEER_TIMEOUT_MS};
use rw_types::Millis;

/// Time for which a node that failed to take a call gets none, in milliseconds.
const BACKOFF_MS: u64 = 1_000;
/// Number of known delegates from which on no node is tried that sends this one no digests.
const MIN_HEARD: usize = 4;
/// Cost of a delegate in another data centre, in open delegations.
const REMOTE_COST: f64 = 1.5;

/// State of another node as a delegate.
#[derive(Debug, Clone)]
struct Delegate {
    node: FleetNode,
    /// Time of its latest digest; `None` if it has sent none, because it sends them to others.
    heard_at: Option<Millis>,
    /// Services that it said it doesn't reach, sorted.
    unreachable: Vec<String>,
    /// Time until which it gets no call, after it failed to take one.
    backoff_until: Millis,
    /// Open delegations of this node to it.
    open: u32,
}

impl Delegate {
    fn new(node: FleetNode) -> Self {
        Self {
            node,
            heard_at: None,
            unreachable: Vec::new(),
            backoff_until: Millis(0),
            open: 0,
        }
    }

    fn takes(&self, now: Millis, service: &str) -> bool {
        let is_reaching = !self.unreachable.iter().any(|s| s == service);
        is_reaching && now >= self.backoff_until
    }

    fn is_recent(&self, now: Millis) -> bool {
        self.heard_at
            .is_some_and(|at| now.since(at) < PEER_TIMEOUT_MS)
    }
}

/// The other nodes, sorted by VM name.
#[derive(Debug, Clone, Default)]
pub(crate) struct Delegates {
    list: Vec<Delegate>,
}

impl Delegates {
    /// Replaces the list of nodes, of which `own` is this one.
    pub(crate) fn set_nodes(&mut self, own: &str, nodes: Vec<FleetNode>) {
        let old = std::mem::take(&mut self.list);
        let others = nodes.into_iter().filter(|n| n.vm != own);
        self.list = others.map(Delegate::new).collect();
        self.list.sort_by(|a, b| a.node.vm.cmp(&b.node.vm));
        for known in old {
            if let Some(delegate) = self.find(&known.node.vm) {
                let node = delegate.node.clone();
                *delegate = Delegate { node, ..known };
            }
        }
    }

    /// Takes over what a node says about itself.
    pub(crate) fn digest_received(&mut self, now: Millis, digest: &Digest) {
        if let Some(delegate) = self.find(&digest.vm) {
            delegate.heard_at = Some(now);
            delegate.unreachable.clone_from(&digest.unreachable);
        }
    }

    /// The node to pass a call for `service` to, none of those in `tried`: the one with the fewest open
    /// delegations of this node, where one in another data centre than `centre` counts as having
    /// more.
    pub(crate) fn choose(
        &self,
        now: Millis,
        service: &str,
        centre: &str,
        tried: &[String],
        rng: &mut fastrand::Rng,
    ) -> Option<String> {
        let usable = self
            .list
            .iter()
            .filter(|d| d.takes(now, service) && !tried.contains(&d.node.vm));
        let recent = usable.clone().filter(|d| d.is_recent(now)).count();
        // In a large fleet, most nodes send their digests to others.
        let tries_unknown = recent < MIN_HEARD && self.list.len() > DIGEST_FANOUT;
        let cost = |d: &&Delegate| {
            let remote = match d.node.centre == centre {
                true => 0.0,
                false => REMOTE_COST,
            };
            f64::from(d.open) + remote
        };
        let candidates =
            usable.filter(|d| d.is_recent(now) || (tries_unknown && d.heard_at.is_none()));
        let costs = candidates.map(|d| (cost(&d) + rng.f64(), d));
        let cheapest = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        cheapest.map(|(_, d)| d.node.vm.clone())
    }

    /// A call was passed to `vm`.
    pub(crate) fn begun(&mut self, vm: &str) {
        if let Some(delegate) = self.find(vm) {
            delegate.open += 1;
        }
    }

    /// A call that was passed to `vm` has ended.
    pub(crate) fn ended(&mut self, vm: &str) {
        if let Some(delegate) = self.find(vm) {
            delegate.open = delegate.open.saturating_sub(1);
        }
    }

    /// The node `vm` failed to take a call.
    pub(crate) fn failed(&mut self, now: Millis, vm: &str) {
        if let Some(delegate) = self.find(vm) {
            delegate.backoff_until = now.plus(BACKOFF_MS);
        }
    }

    fn find(&mut self, vm: &str) -> Option<&mut Delegate> {
        let found = self
            .list
            .binary_search_by(|d| d.node.vm.as_str().cmp(vm))
            .ok()?;
        Some(&mut self.list[found])
    }
}
