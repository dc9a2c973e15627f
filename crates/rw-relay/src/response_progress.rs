//! State of the response to a call.

use crate::{
    Framing, ResponseHead, ResponseWriter, caller_stream::CallerStream, delegation::DelegateNote,
    response_body::HeldBody,
};

/// A response received in full.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) head: ResponseHead,
    pub(crate) body: HeldBody,
    /// What another node, to which the response goes, must know of it.
    pub(crate) note: Option<DelegateNote>,
}

/// State of the response to a call, over all its dispatches.
#[derive(Debug)]
pub(crate) struct ResponseProgress {
    /// Writes the response to the caller.
    pub(crate) out: ResponseWriter<CallerStream>,
    /// Full response, held until the gate decides whether to deliver it.
    pub(crate) buffered: Option<BufferedResponse>,
    /// Framing of the response to the latest dispatch, if its head was read.
    pub(crate) framing: Option<Framing>,
}

impl ResponseProgress {
    pub(crate) fn new(out: ResponseWriter<CallerStream>) -> Self {
        Self {
            out,
            buffered: None,
            framing: None,
        }
    }
}
