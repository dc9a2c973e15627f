//! Reads and writes claims in the table.

use crate::Shell;
use rw_core::{Claim, ClaimResult, ClaimState, Event};
use rw_platform::{PlatformError, Row, Table as _, Txn};
use rw_types::{RequestId, Version};
use std::{sync::Arc, time::Duration};

/// Initial backoff before the final state of a claim is written again; doubles with each attempt.
const SETTLE_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff before the final state of a claim is written again.
const MAX_SETTLE_BACKOFF: Duration = Duration::from_secs(5);
/// Maximum number of attempts to settle a claim. After that, only the claimant's memory has its
/// outcome.
const MAX_SETTLE_ATTEMPTS: u32 = 120;

impl Shell {
    pub(crate) async fn write_claim(
        &self,
        key: &str,
        version: Version,
        claim: &Claim,
    ) -> ClaimResult {
        let Ok(value) = serde_json::to_string(claim) else {
            return ClaimResult::NotApplied;
        };
        let txn = Txn::new().check(key, version).put(key, value);
        match self.platform.txn(&txn).await {
            Ok(response) if response.applied() => ClaimResult::Written(response.version),
            Ok(response) => parse_claim(response.conflicts.first()),
            Err(PlatformError::NotApplied) => ClaimResult::NotApplied,
            Err(_) => ClaimResult::Unknown,
        }
    }

    pub(crate) async fn read_claim(&self, key: &str) -> ClaimResult {
        match self.platform.get(vec![key.to_owned()]).await {
            Ok(rows) => parse_claim(rows.rows.first()),
            Err(_) => ClaimResult::Unreadable,
        }
    }

    /// Writes the final state of a claim, with retries until the table has it.
    pub(crate) async fn settle_claim(
        self: Arc<Self>,
        id: RequestId,
        key: String,
        version: Version,
        claim: Claim,
    ) {
        let mut backoff = SETTLE_BACKOFF;
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            match self.write_claim(&key, version, &claim).await {
                ClaimResult::Written(_) | ClaimResult::Found(_) => {
                    self.step(Event::ClaimSettled { id });
                    return;
                }
                _ => {}
            }
            smol::Timer::after(backoff).await;
            backoff = (backoff * 2).min(MAX_SETTLE_BACKOFF);
        }
        log::warn!(
            "claim not settled after {MAX_SETTLE_ATTEMPTS} attempts; a retry of its idempotency key may be refused with outcome unknown"
        );
    }

    /// Releases a claim that may have been written, if its row still holds this claim.
    ///
    /// If the write is applied after the last attempt, peers get the outcome from this process's
    /// memory.
    pub(crate) async fn release_claim(self: Arc<Self>, id: RequestId, key: String, claim: Claim) {
        let mut backoff = SETTLE_BACKOFF;
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            match self.read_claim(&key).await {
                ClaimResult::Found(Some((found, version))) if found == claim => {
                    let released = Claim {
                        state: ClaimState::Released,
                        ..claim
                    };
                    return self.settle_claim(id, key, version, released).await;
                }
                ClaimResult::Found(Some(_)) => return,
                _ => {}
            }
            smol::Timer::after(backoff).await;
            backoff = (backoff * 2).min(MAX_SETTLE_BACKOFF);
        }
    }
}

fn parse_claim(row: Option<&Row>) -> ClaimResult {
    let Some(row) = row else {
        return ClaimResult::Unreadable;
    };
    if row.value.is_empty() {
        return ClaimResult::Found(None);
    }
    match serde_json::from_str(&row.value) {
        Ok(claim) => ClaimResult::Found(Some((claim, row.version))),
        Err(_) => ClaimResult::Unreadable,
    }
}
