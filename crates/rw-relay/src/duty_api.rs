//! Interface to the platform's API of duties.

use crate::OrderRequest;
use rw_gate::DutyOutcome;
use std::{future::Future, net::SocketAddr};

/// What a call to the platform's API is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyCall<'a> {
    /// Reports the usage of a window.
    Usage {
        /// Number of the window.
        window: u64,
        /// Calls that began to run in it, by name of the client account.
        counts: &'a [(String, u64)],
    },
    /// Orders the number of targets of a service in a data centre.
    Size {
        /// Name of the service.
        service: &'a str,
        /// Data centre.
        centre: &'a str,
        /// Number of targets of this kind.
        count: u32,
        /// Whether the order is for spot targets.
        spot: bool,
    },
}

/// A call to the platform's API, with the right to make it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DutyRequest<'a> {
    /// Node that holds the lease.
    pub holder: &'a str,
    /// Fencing token.
    pub token: u64,
    /// What the call is about.
    pub call: DutyCall<'a>,
}

/// The platform's API of duties, and how it is spoken to. It decides nothing.
pub trait DutyApi: 'static {
    /// `ip:port` of the API; `None` if there is none.
    fn addr(&self) -> Option<SocketAddr>;

    /// Builds the HTTP request of a call, which is a POST with a body in JSON.
    fn request(&self, request: &DutyRequest<'_>) -> OrderRequest;

    /// Outcome of a call, by the status of its response. Where the status alone does not tell, more
    /// is found out.
    fn outcome(&self, request: &DutyRequest<'_>, status: u16) -> impl Future<Output = DutyOutcome>;
}
