//! Queues of the effects that belong to duties towards the platform.

use crate::UsageRequest;
use async_channel::{Receiver, Sender, bounded};
use rw_gate::{Effect, UsageQuery};

/// Maximum number of usage reports, reads and writes that wait; the gate has one of each in flight.
const USAGE_QUEUE: usize = 4;
/// Maximum number of size orders that wait. One that waits longer than its lease isn't sent.
const SIZE_QUEUE: usize = 256;

/// Senders of the queues.
#[derive(Debug)]
pub(crate) struct DutySenders {
    reports: Sender<Effect>,
    sizes: Sender<Effect>,
    queries: Sender<UsageQuery>,
    records: Sender<UsageRequest>,
}

/// Receivers of the queues.
#[derive(Debug)]
pub(crate) struct DutyReceivers {
    /// Usage reports to send.
    pub(crate) reports: Receiver<Effect>,
    /// Size orders to send.
    pub(crate) sizes: Receiver<Effect>,
    /// Windows to collect counts of.
    pub(crate) queries: Receiver<UsageQuery>,
    /// Reads and writes of the store's record of usage reports.
    pub(crate) records: Receiver<UsageRequest>,
}

/// Creates the queues.
pub(crate) fn duty_queues() -> (DutySenders, DutyReceivers) {
    let (report_sender, reports) = bounded(USAGE_QUEUE);
    let (size_sender, sizes) = bounded(SIZE_QUEUE);
    let (query_sender, queries) = bounded(USAGE_QUEUE);
    let (record_sender, records) = bounded(USAGE_QUEUE);
    let senders = DutySenders {
        reports: report_sender,
        sizes: size_sender,
        queries: query_sender,
        records: record_sender,
    };
    let receivers = DutyReceivers {
        reports,
        sizes,
        queries,
        records,
    };
    (senders, receivers)
}

impl DutySenders {
    /// Queues an effect that belongs to a duty; ignores others.
    pub(crate) fn enqueue(&self, effect: &Effect) {
        let is_queued = match effect {
            Effect::ReportUsage { .. } => self.reports.try_send(effect.clone()).is_ok(),
            Effect::OrderSize { .. } => self.sizes.try_send(effect.clone()).is_ok(),
            Effect::CollectUsage(query) => self.queries.try_send(query.clone()).is_ok(),
            Effect::ReadUsage => self.records.try_send(UsageRequest::Read).is_ok(),
            Effect::WriteUsage(stored) => {
                let write = UsageRequest::Write(stored.clone());
                self.records.try_send(write).is_ok()
            }
            _ => true,
        };
        if !is_queued {
            log::warn!("duty dropped because its queue is full; the gate plans it again");
        }
    }
}
