//! Demand that arrives at this node, by service.

use crate::Prompt;
use rw_types::Millis;
use serde::{Deserialize, Serialize};

/// Length of a bucket in which arrivals are summed, in milliseconds.
const BUCKET_MS: u64 = 250;
/// Buckets that are kept. A rate covers all but the incomplete one, 1.75 s; a longer window would hide
/// that demand doubles within seconds.
const BUCKETS: usize = 8;
/// Maximum number of services that one digest reports; those with the least work are left out.
const MAX_REPORTS: usize = 8;
/// Estimated milliseconds per output token until the first stream has ended.
const INITIAL_TOKEN_MS: f64 = 5.0;
/// Estimated milliseconds of a plain call until the first one has ended.
const INITIAL_CALL_MS: f64 = 50.0;
/// Factor applied to earlier durations when a call ends: the latest hundred count.
const DURATION_DECAY: f64 = 0.99;

/// Serialized form of a [`DemandReport`], its fields in order.
type DemandFields = (String, u32, u32, u32, u64, u32, u32);

/// Rates of what arrived at one node for a service over the last 1.75 s, refused calls
/// included, and what runs there.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "DemandFields", into = "DemandFields")]
pub struct DemandReport {
    /// Name of the service.
    pub service: String,
    /// Calls in 1,000 s.
    pub calls: u32,
    /// Milliseconds per second for which the prompts occupy a prefill engine, without cached tokens.
    pub prefill_ms: u32,
    /// Thousandths of streams or plain calls that will run at the same time.
    pub streams: u32,
    /// Tokens that these hold in KV caches.
    pub tokens: u64,
    /// Refused calls in 1,000 s.
    pub refused: u32,
    /// Streams or plain calls that run now.
    pub running: u32,
}

impl From<DemandFields> for DemandReport {
    fn from(fields: DemandFields) -> Self {
        let (service, calls, prefill_ms, streams, tokens, refused, running) = fields;
        Self {
            service,
            calls,
            prefill_ms,
            streams,
            tokens,
            refused,
            running,
        }
    }
}

impl From<DemandReport> for DemandFields {
    fn from(r: DemandReport) -> Self {
        (
            r.service,
            r.calls,
            r.prefill_ms,
            r.streams,
            r.tokens,
            r.refused,
            r.running,
        )
    }
}

/// Sums over the arrivals of one bucket.
#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    /// Number of the bucket since the clock began.
    number: u64,
    calls: f64,
    refused: f64,
    prefill_ms: f64,
    /// Expected milliseconds for which the calls will run.
    run_ms: f64,
    /// Tokens held, times the milliseconds for which they are.
    token_ms: f64,
}

/// Arrivals of one service, and how long its calls run.
#[derive(Debug, Clone, Default)]
struct ServiceMeter {
    service: String,
    buckets: [Bucket; BUCKETS],
    /// Decayed sums over ended calls: number of output tokens, or of plain calls, and milliseconds.
    ended: (f64, f64),
}

impl ServiceMeter {
    /// Expected milliseconds for which a call runs, the wait for its prefill not included.
    fn run_ms(&self, prompt: Option<&Prompt>) -> f64 {
        let initial_ms = match prompt {
            Some(_) => INITIAL_TOKEN_MS,
            None => INITIAL_CALL_MS,
        };
        let (units, ms) = self.ended;
        let unit_ms = if units > 0.0 { ms / units } else { initial_ms };
        unit_ms * units_of(prompt)
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let number = now.0 / BUCKET_MS;
        let bucket = &mut self.buckets[number as usize % BUCKETS];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }

    /// Sums over the window that ends with the bucket before the present one, which is not complete.
    fn window(&self, now: Millis) -> Bucket {
        let current = now.0 / BUCKET_MS;
        let is_recent = |b: &&Bucket| b.number < current && b.number + BUCKETS as u64 > current;
        let recent = self.buckets.iter().filter(is_recent);
        recent.fold(Bucket::default(), |sum, b| Bucket {
            number: current,
            calls: sum.calls + b.calls,
            refused: sum.refused + b.refused,
            prefill_ms: sum.prefill_ms + b.prefill_ms,
            run_ms: sum.run_ms + b.run_ms,
            token_ms: sum.token_ms + b.token_ms,
        })
    }

    fn report(&self, now: Millis, running: u32) -> DemandReport {
        let sums = self.window(now);
        let window_ms = (BUCKET_MS * (BUCKETS as u64 - 1)) as f64;
        let rate = |sum: f64, unit: f64| (sum * unit / window_ms).round() as u32;
        DemandReport {
            service: self.service.clone(),
            calls: rate(sums.calls, 1e6),
            prefill_ms: rate(sums.prefill_ms, 1e3),
            streams: rate(sums.run_ms, 1e3),
            tokens: (sums.token_ms / window_ms).round() as u64,
            refused: rate(sums.refused, 1e6),
            running,
        }
    }
}

/// Units by which the duration of a call is estimated: its output tokens, or one for a plain call.
fn units_of(prompt: Option<&Prompt>) -> f64 {
    prompt.map_or(1.0, |p| f64::from(p.max_output.max(1)))
}

/// Arrivals at this node by service, sorted by name.
#[derive(Debug, Clone, Default)]
pub(crate) struct DemandMeter {
    services: Vec<ServiceMeter>,
    /// Time of the latest arrival. Calls are refused on arrival or within the window after it.
    latest: Millis,
}

impl DemandMeter {
    /// Records an arrival whose prompt occupies a prefill engine for `prefill_ms` milliseconds.
    pub(crate) fn record_call(
        &mut self,
        now: Millis,
        service: &str,
        prompt: Option<&Prompt>,
        prefill_ms: f64,
    ) {
        self.latest = now;
        let meter = self.meter(service);
        let run_ms = meter.run_ms(prompt);
        let held = prompt.map_or(0.0, |p| f64::from(p.tokens) + f64::from(p.max_output));
        let bucket = meter.bucket(now);
        bucket.calls += 1.0;
        bucket.prefill_ms += prefill_ms;
        bucket.run_ms += run_ms;
        bucket.token_ms += run_ms * held;
    }

    /// Records that a call was refused because there was no room for it.
    pub(crate) fn record_refused(&mut self, service: &str) {
        let now = self.latest;
        self.meter(service).bucket(now).refused += 1.0;
    }

    /// Records that a call ended which ran for `ms` milliseconds.
    pub(crate) fn record_end(&mut self, service: &str, prompt: Option<&Prompt>, ms: u64) {
        let ended = &mut self.meter(service).ended;
        ended.0 = ended.0 * DURATION_DECAY + units_of(prompt);
        ended.1 = ended.1 * DURATION_DECAY + ms as f64;
    }

    /// Reports on the given services, without calls as well; at most [`MAX_REPORTS`], those with the
    /// most work. `running` returns the number of calls that run now.
    pub(crate) fn reports(
        &self,
        now: Millis,
        services: &[&str],
        running: impl Fn(&str) -> u32,
    ) -> Vec<DemandReport> {
        let report = |service: &&str| {
            let found = self
                .services
                .binary_search_by(|m| m.service.as_str().cmp(service));
            let running = running(service);
            match found {
                Ok(i) => self.services[i].report(now, running),
                Err(_) => DemandReport {
                    service: (*service).to_owned(),
                    running,
                    ..DemandReport::default()
                },
            }
        };
        let mut reports: Vec<DemandReport> = services.iter().map(report).collect();
        if reports.len() > MAX_REPORTS {
            reports.sort_by_key(|r| std::cmp::Reverse(r.prefill_ms + r.streams));
            reports.truncate(MAX_REPORTS);
        }
        reports
    }

    fn meter(&mut self, service: &str) -> &mut ServiceMeter {
        let found = self
            .services
            .binary_search_by(|m| m.service.as_str().cmp(service));
        let i = found.unwrap_or_else(|i| {
            let new = ServiceMeter {
                service: service.to_owned(),
                ..ServiceMeter::default()
            };
            self.services.insert(i, new);
            i
        });
        &mut self.services[i]
    }
}
