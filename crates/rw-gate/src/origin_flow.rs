//! Streams that callers take up again, and where they may go on.

use crate::{
    CallRequest, Digest, Effect, Gate, RecordChange, RecordRequest, RefusalKind, Route, Routing,
    SoftwareId, StreamId, VersionRecord, roles::PEER_TIMEOUT_MS, software_history::MAX_AGE_MS,
};
use rw_types::{Millis, RequestId};

/// Time beyond a route's timeout after which no caller takes up a stream any more, in milliseconds.
const RESUME_MARGIN_MS: u64 = 2_000;
/// Minimum time for which origins and versions are remembered, in milliseconds.
const MIN_ORIGIN_TTL_MS: u64 = 30_000;

impl Gate {
    /// The stream that a call takes up, if other nodes must be queried for its origin.
    #[must_use]
    pub fn missing_origin(&self, now: Millis, request: &CallRequest) -> Option<StreamId> {
        let stream = resumed_stream(request)?;
        if request.delegated.is_some() {
            return None;
        }
        let route = self.routing.find_route(&request.host, &request.path)?;
        if !route.retry_policy.is_resumable() || self.origins.find(stream).is_some() {
            return None;
        }
        // A call that is refused for its key is worth no query.
        self.identify(now, route, request).ok()?;
        let is_known = self.software.is_fresh(now) || self.is_store_away(now);
        let is_known = is_known && self.only_version(now, route).is_some();
        (!is_known).then_some(stream)
    }

    /// Whether a call takes up a stream that can go on once this node knows which versions there are now,
    /// whoever knows where the stream began.
    #[must_use]
    pub fn needs_versions(&self, now: Millis, request: &CallRequest) -> bool {
        if self.software.is_fresh(now) || self.missing_origin(now, request).is_none() {
            return false;
        }
        let route = self.routing.find_route(&request.host, &request.path);
        route.is_some_and(|route| !self.has_several_versions(now, route))
    }

    /// Whether streams of `route` that callers still take up may have begun at several versions.
    pub(crate) fn has_several_versions(&self, now: Millis, route: &Route) -> bool {
        let [only] = route.traffic_split.as_slice() else {
            return true;
        };
        let window_ms = route.timeout_ms + RESUME_MARGIN_MS;
        self.software.is_mixed(now, &only.service, window_ms)
    }

    /// Whether this node doesn't know which versions there are now, so that its answer to a query helps
    /// nobody who doesn't know that either.
    #[must_use]
    pub fn is_outdated(&self, now: Millis) -> bool {
        !self.software.is_fresh(now)
    }

    /// The service of `route` that a call must go to because the stream that it takes up began there.
    pub(crate) fn origin_service<'a>(
        &self,
        route: &'a Route,
        request: &CallRequest,
    ) -> Option<&'a str> {
        let software = self.origins.find(resumed_stream(request)?)?;
        let software = self.settled_version(software);
        let has_version = |service: &str| {
            let mut targets = self.targets.all().iter();
            targets.any(|t| t.spec.service == service && SoftwareId::of_target(&t.spec) == software)
        };
        let mut services = route.traffic_split.iter().map(|s| s.service.as_str());
        services.find(|service| has_version(service))
    }

    /// The version at which a call on `route` must go on: `None` if it begins a new stream.
    ///
    /// # Errors
    ///
    /// [`RefusalKind::UnknownOrigin`] if it isn't known where the stream began.
    pub(crate) fn required_version(
        &self,
        now: Millis,
        route: &Route,
        request: &CallRequest,
    ) -> Result<Option<SoftwareId>, RefusalKind> {
        if let Some(delegated) = &request.delegated {
            return Ok(delegated.software.map(|s| self.settled_version(s)));
        }
        let is_resumed = request.last_event.is_some() || request.resumes.is_some();
        if !is_resumed || !route.retry_policy.is_resumable() {
            return Ok(None);
        }
        let stream = resumed_stream(request);
        let known = stream.and_then(|s| self.origins.find(s));
        let known = known.map(|s| self.settled_version(s));
        let version = known.or_else(|| self.only_version(now, route));
        version.map(Some).ok_or(RefusalKind::UnknownOrigin)
    }

    /// The version at which a stream began that is recorded as begun at `software`. A target that was in
    /// doubt then may be known by now.
    pub(crate) fn settled_version(&self, software: SoftwareId) -> SoftwareId {
        if let Some((_, settled)) = self.settled.iter().find(|(begun, _)| *begun == software) {
            return *settled;
        }
        let mut known = self.targets.all().iter().filter(|t| !t.doubt.is_open());
        let target = known.find(|t| t.unknown_software() == software);
        target.map_or(software, |t| SoftwareId::of_target(&t.spec))
    }

    /// An event of a stream is about to be delivered: from now on it may go on only at the version
    /// that made this event.
    pub(crate) fn stream_begun(&mut self, now: Millis, id: RequestId) {
        let Some(i) = self.call_index(id) else {
            return;
        };
        if let Some(software) = self.calls[i].active.as_ref().map(|a| a.software) {
            self.record_origin(now, i, software);
        }
    }

    /// Records the version that makes the events of a stream which may be resumed.
    pub(crate) fn record_origin(&mut self, now: Millis, i: usize, software: SoftwareId) {
        let call = &mut self.calls[i];
        if !call.retry_policy.is_resumable() {
            return;
        }
        call.software = Some(software);
        let request = &call.request;
        let began = request.resumes.as_ref().unwrap_or(&request.call_id);
        let stream = StreamId::of_call(began);
        self.origins.record(now, stream, software);
    }

    /// The digest that queries other nodes for the origins of streams.
    #[must_use]
    pub fn ask_origins(&self, now: Millis, streams: Vec<StreamId>) -> Digest {
        Digest {
            asks: streams,
            asked_ms: Some(now.0),
            ..self.empty_digest(now)
        }
    }

    /// The digest that answers such a query, as far as this node knows.
    #[must_use]
    pub fn answer_origins(&self, now: Millis, query: &Digest) -> Digest {
        Digest {
            origins: self.origins.answer(&query.asks),
            asked_ms: query.asked_ms,
            history: Some(self.software.report(now)),
            ..self.empty_digest(now)
        }
    }

    pub(crate) fn merge_origins(&mut self, now: Millis, digest: &Digest) {
        for report in &digest.origins {
            self.origins.merge(now, report);
        }
        if let Some(history) = &digest.history {
            let asked_at = answered_question(now, digest);
            self.software.merge(now, history, asked_at);
        }
    }

    /// Records at intervals which versions are there, forgets those of long ago, and lets the leader
    /// keep the registry's records up to date.
    pub(crate) fn check_software(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if self.software.is_due(now) {
            self.observe_software(now);
            self.software.prune(now, self.origin_ttl_ms);
            self.origins.prune(now, self.origin_ttl_ms);
        }
        if self.is_leader(now) {
            self.update_records(now, effects);
            self.confirm_records(now, effects);
        } else {
            // Another node may change the records.
            self.records.clear();
        }
    }

    /// Requests a new record for each service whose versions differ from those of its record, or whose
    /// record isn't known as another node was the leader.
    fn update_records(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let routing = self.routing.clone();
        let routes = routing.routes.iter();
        let resumable = routes.filter(|r| r.retry_policy.is_resumable());
        let services = resumable.flat_map(|r| r.traffic_split.iter());
        let mut services: Vec<&str> = services.map(|s| s.service.as_str()).collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            let Some(record) = self.software.record(now, service, self.origin_ttl_ms) else {
                continue;
            };
            let known = self
                .records
                .iter()
                .position(|r| r.service == record.service);
            match known {
                Some(i) if self.records[i] == record => continue,
                Some(i) => self.records[i] = record.clone(),
                None => self.records.push(record.clone()),
            }
            effects.push(Effect::RecordVersions(RecordRequest {
                change: RecordChange::Replace(record),
                reads: self.record_reads,
            }));
        }
    }

    /// Has the store's rows confirmed once those that it may have lost are written again. Until then, a node
    /// that starts relies on none of them.
    fn confirm_records(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let is_due = self.confirmed_ms.is_none() && !self.may_read_old(now);
        if let Some(known_ms) = self.software.recorded_ms(now).filter(|_| is_due) {
            self.confirmed_ms = Some(known_ms);
            effects.push(Effect::RecordVersions(RecordRequest {
                change: RecordChange::Confirm { known_ms },
                reads: self.record_reads,
            }));
        }
    }

    /// Takes over the registry's records of versions. Requests that were made before don't apply any
    /// more, so that the leader requests those anew that differ.
    pub(crate) fn merge_records(&mut self, now: Millis, records: &[VersionRecord]) {
        let confirmed_ms = self.confirmed_ms.unwrap_or_default();
        self.software.merge_records(now, records, confirmed_ms);
        self.records = records.to_vec();
        self.record_reads += 1;
    }

    /// Records the versions of all known targets as seen now.
    pub(crate) fn observe_software(&mut self, now: Millis) {
        for target in self.targets.all() {
            let spec = &target.spec;
            self.software.observe(now, &spec.service, &spec.software);
        }
    }

    /// Records the version of a target as seen now.
    pub(crate) fn observe_target(&mut self, now: Millis, name: &str) {
        if let Some(target) = self.targets.find(name) {
            let spec = &target.spec;
            self.software.observe(now, &spec.service, &spec.software);
        }
    }

    /// The only version at which a stream of `route` can have begun that callers still take up;
    /// `None` if there are several, or if this node can't know.
    fn only_version(&self, now: Millis, route: &Route) -> Option<SoftwareId> {
        let [only] = route.traffic_split.as_slice() else {
            return None;
        };
        if !self.software.is_current(now) && !self.is_store_away(now) {
            return None;
        }
        let window_ms = route.timeout_ms + RESUME_MARGIN_MS;
        self.software.only_version(now, &only.service, window_ms)
    }

    /// Whether neither this node nor any that is heard reaches the store, and at least half of the others
    /// have just said what they know. Then new targets can hardly have become known to any node.
    fn is_store_away(&self, now: Millis) -> bool {
        let peers = self.roles.peers.iter();
        let mut heard = peers.filter(|p| now.since(p.received_at) < PEER_TIMEOUT_MS);
        let is_away = self.roles.connected_since.is_none() && heard.all(|p| p.connected_ms == 0);
        let is_recent = |at: Millis| now.since(at) < MAX_AGE_MS;
        let peers = self.roles.peers.iter();
        let answers = peers.filter(|p| p.answered.is_some_and(is_recent)).count();
        is_away && answers > 0 && answers * 2 >= self.nodes.saturating_sub(1)
    }
}

/// When this node sent the query that a digest answers, if it does.
pub(crate) fn answered_question(now: Millis, digest: &Digest) -> Option<Millis> {
    let asked_at = digest.asked_ms.filter(|_| digest.asks.is_empty());
    asked_at.map(Millis).filter(|at| *at <= now)
}

/// Time for which origins and versions matter: as long as callers of any route take up streams.
pub(crate) fn origin_ttl_ms(routing: &Routing) -> u64 {
    let routes = routing.routes.iter();
    let resumable = routes.filter(|r| r.retry_policy.is_resumable());
    let longest_ms = resumable.map(|r| r.timeout_ms).max().unwrap_or_default();
    longest_ms
        .saturating_add(RESUME_MARGIN_MS)
        .max(MIN_ORIGIN_TTL_MS)
}

/// The stream that a call takes up, if it says which.
fn resumed_stream(request: &CallRequest) -> Option<StreamId> {
    request.resumes.as_deref().map(StreamId::of_call)
}
