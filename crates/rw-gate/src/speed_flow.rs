//! Measures the speed of targets by this node's calls, and exchanges it with other nodes.

use crate::{
    DispatchOutcome, Gate, SpeedReport, SpeedSample, Target, TargetIncarnation, TargetSpeed,
    TargetSpeeds, WorkKind, call_state::ActiveDispatch, lasting_speed::DueSpeed,
};
use rw_types::Millis;
use std::cmp::Reverse;

/// Maximum number of reports on speeds that one digest carries: about 250 bytes.
const MAX_SPEEDS: usize = 4;
/// Interval in which speeds are updated by the age of their samples, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 1_000;

/// A report that is due to be published.
#[derive(Debug, Clone)]
pub(crate) struct DueReport {
    target: TargetIncarnation,
    kind: WorkKind,
    due: DueSpeed,
    /// Whether it was never published.
    pub(crate) is_news: bool,
}

impl Gate {
    /// Time that work takes at a target, relative to the mean of its service; 1 if it isn't known.
    #[must_use]
    pub fn speed_factor(&self, target: &str, kind: WorkKind) -> f64 {
        let target = self.targets.find(target);
        target.map_or(1.0, |t| t.speed.factor(kind))
    }

    /// Number of targets of mean speed that do as much work of a kind as all targets of a service
    /// that stay.
    #[must_use]
    pub fn relative_capacity(&self, now: Millis, service: &str, kind: WorkKind) -> f64 {
        let targets = self.targets.all().iter();
        let staying = targets.filter(|t| t.spec.service == service && t.is_staying(now));
        staying.map(|t| 1.0 / t.speed.factor(kind)).sum()
    }

    /// Sets the speed of a target that is known by other means, such as the parameters of a
    /// simulation, for all kinds of work. It is used instead of what is learned.
    pub fn pin_speed(&mut self, target: &str, factor: f64) {
        if let Some(target) = self.targets.find_mut(target) {
            target.speed.pin(factor);
        }
    }

    pub(crate) fn learns_speeds(&self) -> bool {
        match self.settings.target_speeds {
            TargetSpeeds::Auto => self.pace_reported,
            TargetSpeeds::Learned => true,
            TargetSpeeds::Fixed => false,
        }
    }

    /// The part of a measured prefill time that the speed of the target explains, in milliseconds.
    pub(crate) fn excess_ms(&self, service: &str, current: &ActiveDispatch, took_ms: f64) -> f64 {
        let Some(target) = self.targets.find(&current.target) else {
            return 0.0;
        };
        let factor = target.speed.factor(WorkKind::Prefill);
        let model = self.estimates(service).cost_model;
        let scaled_ms = (took_ms - model.fixed_ms(target.spec.role)).max(0.0);
        scaled_ms * (1.0 - 1.0 / factor)
    }

    /// Records the time of a prefill; one that has not ended takes at least the time until now.
    pub(crate) fn record_prefill_speed(
        &mut self,
        now: Millis,
        service: &str,
        current: &ActiveDispatch,
        is_minimum: bool,
    ) {
        let took_ms = now.since(current.sent_at) as f64 - current.overhead_ms;
        let (kind, expected_ms) = (WorkKind::Prefill, current.model_ms);
        self.record_sample(
            now,
            service,
            current,
            (kind, took_ms, expected_ms),
            is_minimum,
        );
    }

    /// Records what the end of a dispatch shows of the speed of its target.
    pub(crate) fn record_speed(
        &mut self,
        now: Millis,
        i: usize,
        current: &ActiveDispatch,
        outcome: &DispatchOutcome,
    ) {
        let call = &self.calls[i];
        let service = call.service.clone();
        let max_output = call.request.prompt.as_ref().map(|p| p.max_output);
        match (outcome, current.began_at, max_output) {
            (DispatchOutcome::Stalled | DispatchOutcome::TimedOut { .. }, None, Some(_))
                if current.model_ms > 0.0 =>
            {
                self.record_prefill_speed(now, &service, current, true);
            }
            (DispatchOutcome::Delivered, Some(first_at), Some(tokens)) => {
                let took_ms = now.since(first_at) as f64;
                let measured = (WorkKind::Decode, took_ms, f64::from(tokens));
                self.record_sample(now, &service, current, measured, false);
            }
            (DispatchOutcome::Complete { status }, _, None) if *status < 500 => {
                let took_ms = now.since(current.sent_at) as f64;
                let measured = (WorkKind::Plain, took_ms, 1.0);
                self.record_sample(now, &service, current, measured, false);
            }
            _ => {}
        }
    }

    fn record_sample(
        &mut self,
        now: Millis,
        service: &str,
        current: &ActiveDispatch,
        (kind, took_ms, expected_ms): (WorkKind, f64, f64),
        is_minimum: bool,
    ) {
        if !self.learns_speeds() {
            return;
        }
        let mut baseline = self.estimates(service).baselines[kind.index()];
        let target = self
            .targets
            .find_incarnation(&current.target, current.incarnation);
        let Some(target) = target else {
            return;
        };
        let sample = SpeedSample {
            kind,
            took_ms,
            expected_ms,
            running: current.running,
            slots: target.spec.slots,
            is_minimum,
        };
        target.speed.record(now, &sample, &mut baseline);
        self.estimates_mut(service).baselines[kind.index()] = baseline;
    }

    /// Records what other nodes have measured; reports about another incarnation are ignored.
    pub(crate) fn merge_speeds(&mut self, now: Millis, reports: &[SpeedReport]) {
        if !self.learns_speeds() {
            return;
        }
        let own = self.speed_source();
        for report in reports.iter().filter(|r| r.source != own) {
            let Some(kind) = WorkKind::ALL.get(usize::from(report.kind)) else {
                continue;
            };
            let SpeedReport { target, age_ms, .. } = report;
            let Some(known) = self
                .targets
                .find_incarnation(&target.name, target.incarnation)
            else {
                continue;
            };
            let service = known.spec.service.clone();
            let baseline = self.estimates(&service).baselines[kind.index()];
            let factor = f64::from(report.percent) / 100.0;
            let measured = (report.source, factor, f64::from(report.samples), *age_ms);
            if let Some(known) = self.targets.find_mut(&target.name) {
                known.speed.merge(now, *kind, measured, &baseline);
            }
        }
    }

    /// Updates all speeds by the age of their samples, once per [`UPDATE_INTERVAL_MS`].
    pub(crate) fn update_speeds(&mut self, now: Millis) {
        if now < self.speeds_due || !self.learns_speeds() {
            return;
        }
        self.speeds_due = now.plus(UPDATE_INTERVAL_MS);
        let estimates = self.estimates.clone();
        for target in self.targets.iter_mut() {
            let service = target.spec.service.as_str();
            let found = estimates.binary_search_by(|(name, _)| name.as_str().cmp(service));
            if let Ok(i) = found {
                target.speed.tick(now, &estimates[i].1.baselines);
                target.speed.forget_saturation();
            }
        }
    }

    /// Forgets all speeds if they are not to be learned.
    pub(crate) fn reset_fixed_speeds(&mut self) {
        if !self.learns_speeds() {
            let targets = self.targets.iter_mut();
            targets.for_each(|t| t.speed = TargetSpeed::default());
        }
    }

    /// The reports that are due to be published, the newest first, at most [`MAX_SPEEDS`].
    pub(crate) fn due_speeds(&self, now: Millis) -> Vec<DueReport> {
        let mut due: Vec<DueReport> = Vec::new();
        if !self.learns_speeds() {
            return due;
        }
        for (service, estimates) in &self.estimates {
            let targets = self.targets.all().iter();
            for target in targets.filter(|t| t.spec.service == *service) {
                for (kind, baseline) in WorkKind::ALL.iter().zip(&estimates.baselines) {
                    let of_kind = target.speed.due(now, *kind, baseline);
                    due.extend(
                        of_kind
                            .into_iter()
                            .map(|due| due_report(target, *kind, due)),
                    );
                }
            }
        }
        due.sort_by_key(|d| (Reverse(d.is_news), Reverse(d.due.measured_at)));
        due.truncate(MAX_SPEEDS);
        due
    }

    /// Turns reports into their published form; they count as published.
    pub(crate) fn take_speeds(&mut self, now: Millis, due: Vec<DueReport>) -> Vec<SpeedReport> {
        let own = self.speed_source();
        for d in &due {
            if let Some(target) = self.targets.find_mut(&d.target.name) {
                target.speed.published(now, d.kind, d.due.source);
            }
        }
        let reports = due.into_iter().map(|d| SpeedReport {
            target: d.target,
            kind: d.kind.index() as u8,
            source: d.due.source.unwrap_or(own),
            percent: (d.due.factor * 100.0).round() as u16,
            samples: d.due.samples.round() as u8,
            age_ms: now.since(d.due.measured_at),
        });
        reports.collect()
    }

    fn speed_source(&self) -> u32 {
        rw_core::hash(&self.settings.vm) as u32
    }
}

fn due_report(target: &Target, kind: WorkKind, due: DueSpeed) -> DueReport {
    DueReport {
        target: TargetIncarnation {
            name: target.spec.name.clone(),
            incarnation: target.spec.incarnation,
        },
        kind,
        due,
        is_news: due.is_news,
    }
}
