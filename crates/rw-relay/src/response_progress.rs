//! State of the response to a call.

use crate::{Framing, ResponseHead, response_writer::ResponseWriter};
use rw_gate::Delivered;

/// A response received in full.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) head: ResponseHead,
    pub(crate) body: Vec<u8>,
}

/// State of the response to a call, over all its dispatches.
#[derive(Debug)]
pub(crate) struct ResponseProgress {
    /// Writes the response to the caller.
    pub(crate) out: ResponseWriter,
    /// Full response, held until the gate decides whether to deliver it.
    pub(crate) buffered: Option<BufferedResponse>,
    /// Framing of the response to the latest dispatch, if its head was read.
    pub(crate) framing: Option<Framing>,
    /// Identifier of the last event sent to the caller.
    pub(crate) last_event: Option<u64>,
}

impl ResponseProgress {
    pub(crate) fn new(out: ResponseWriter) -> Self {
        Self {
            out,
            buffered: None,
            framing: None,
            last_event: None,
        }
    }

    /// What the caller has got by now.
    pub(crate) fn delivered(&self) -> Delivered {
        match self.out.is_started() {
            true => Delivered::Events(self.last_event.unwrap_or(0)),
            false => Delivered::Nothing,
        }
    }
}
