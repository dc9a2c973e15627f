//! Prompt work that waits on a target.

use rw_types::{Millis, RequestId};

/// A prompt of this node that its target has not finished filling.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    /// Call.
    pub id: RequestId,
    /// When it was sent.
    pub at: Millis,
    /// Its priority; zero goes first.
    pub priority: u8,
    /// Tokens to fill.
    pub tokens: u64,
}

/// What another node told of its own work here.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Foreign {
    vm: String,
    at: Millis,
    tokens: u64,
    urgent: u64,
}

/// How long another node's word is believed, in milliseconds; digests come far more often.
const BELIEVED_MS: u64 = 1_000;

/// Prompt work of this node and of the others.
#[derive(Debug, Clone, Default)]
pub struct Work {
    /// Own prompts, in the order in which they were sent.
    sent: Vec<Sent>,
    foreign: Vec<Foreign>,
    /// When the target last finished a prompt of this node.
    moved: Millis,
}

impl Work {
    /// Counts a prompt.
    pub fn add(&mut self, sent: Sent) {
        self.sent.push(sent);
    }

    /// A prompt is filled, or its call is over.
    pub fn done(&mut self, now: Millis, id: RequestId) -> Option<Sent> {
        let i = self.sent.iter().position(|s| s.id == id)?;
        self.moved = now;
        Some(self.sent.remove(i))
    }

    /// Own tokens that wait, and those of the most urgent priority among them.
    #[must_use]
    pub fn own(&self) -> (u64, u64) {
        let all = self.sent.iter().map(|s| s.tokens).sum();
        let urgent = self.sent.iter().filter(|s| s.priority == 0);
        (all, urgent.map(|s| s.tokens).sum())
    }

    /// Takes over what another node says.
    pub fn hear(&mut self, now: Millis, vm: &str, tokens: u64, urgent: u64) {
        self.foreign
            .retain(|f| f.vm != vm && now.since(f.at) < BELIEVED_MS);
        if tokens > 0 {
            self.foreign.push(Foreign {
                vm: vm.to_owned(),
                at: now,
                tokens,
                urgent,
            });
        }
    }

    /// Whether anything waits, as far as known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty() && self.foreign.is_empty()
    }

    /// Milliseconds until a new prompt of `priority` is begun, at `rate` tokens a millisecond.
    #[must_use]
    pub fn wait(&self, now: Millis, priority: u8, rate: f64) -> f64 {
        let ahead = self.sent.iter().filter(|s| s.priority <= priority);
        let own: u64 = ahead.map(|s| s.tokens).sum();
        // What the target has done since it last finished one of ours.
        let oldest = self.sent.first().map_or(now, |s| s.at.max(self.moved));
        let own = (own as f64 - rate * now.since(oldest) as f64).max(0.0);
        let foreign = self.foreign.iter().map(|f| {
            let tokens = if priority == 0 { f.urgent } else { f.tokens };
            let left = tokens as f64 - rate * now.since(f.at) as f64;
            let believed = now.since(f.at) < BELIEVED_MS;
            if believed { left.max(0.0) } else { 0.0 }
        });
        (own + foreign.sum::<f64>()) / rate
    }
}
