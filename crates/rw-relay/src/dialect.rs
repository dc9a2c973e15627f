//! Translation to and from a platform's headers, paths and bodies.

use crate::{NamedCall, RequestHead, ResponseHead};
use rw_gate::{CallRequest, Dispatch, KvHandle, OrderOutcome, Role, TargetLoad};
use rw_http::RetryAfter;
use rw_types::RequestRate;

/// Metadata in the head of a target's response.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Call that it responds to.
    pub named_call: NamedCall,
    /// Whether the target reports that it did not run the call.
    pub rejected: bool,
    /// Whether the response carries the target's signature; one without it is not forwarded.
    pub signed: bool,
    /// Load that the target reports with the response.
    pub load: Option<TargetLoad>,
    /// Whether the target says that it is leaving.
    pub is_leaving: bool,
    /// Pause that the target asks for.
    pub pause: Option<RetryAfter>,
    /// Rate limit that the target names; `None` if the response may be another target's.
    pub rate_limit: Option<NamedLimit>,
}

/// Limit that a target names on the requests that it takes from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamedLimit {
    /// A number of requests per second.
    Rate(RequestRate),
    /// The header holds no number of requests per second.
    Invalid,
    /// There is no header, so that no limit is in force.
    Unlimited,
}

impl NamedLimit {
    /// Parses the header's value: a decimal number of requests per second.
    #[must_use]
    pub fn parse(value: &str) -> Self {
        RequestRate::parse(value).map_or(Self::Invalid, Self::Rate)
    }
}

/// State that a target reports when asked, before it gets an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetReport {
    /// Current role.
    pub role: Role,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders accepted in the current incarnation.
    pub accepted_orders: u64,
}

/// An order to a target to change its role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleOrder<'a> {
    /// Target name.
    pub target: &'a str,
    /// VM that sends the order, as lease holder.
    pub holder: &'a str,
    /// Fencing token.
    pub token: u64,
    /// Role to change to.
    pub role: Role,
    /// Number of orders that the target must have accepted before this one.
    pub expected_orders: u64,
}

/// HTTP request that carries an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRequest {
    /// Request path.
    pub path: &'static str,
    /// Header lines, each with its CR LF.
    pub headers: String,
    /// Request body.
    pub body: Vec<u8>,
}

/// Translates between the relay and the HTTP conventions of a platform's callers and targets.
///
/// A platform implements it to name the headers, paths and bodies that carry a call, a dispatch, a
/// load report or an order. It decides nothing: which target gets a call, and whether it is
/// retried, is up to [`rw_gate::Gate`], and [`Relay`](crate::Relay) sends and receives the bytes.
pub trait Dialect: 'static {
    /// Identifier that the caller gave the call; empty if it gave none.
    fn call_id<'a>(&self, head: &'a RequestHead) -> &'a str;

    /// Parses a caller's request.
    fn call_request(&self, head: &RequestHead, body: &[u8]) -> CallRequest;

    /// Whether a caller's header is forwarded to the target of `dispatch`.
    fn is_forwarded(&self, name: &str, dispatch: &Dispatch) -> bool;

    /// Header lines that a dispatch adds to the request, each with its CR LF.
    fn dispatch_headers(&self, dispatch: &Dispatch) -> String;

    /// Extracts the metadata from the head of a response.
    fn response_metadata(&self, head: &ResponseHead) -> ResponseMetadata;

    /// Extracts the handle from the response to a prefill; `None` if it has none.
    fn parse_handle(&self, addr: &str, body: &[u8]) -> Option<KvHandle>;

    /// Method and path of the request that releases a handle.
    fn release_request(&self, handle: &KvHandle) -> (&'static str, String);

    /// Path of the request for a target's report.
    fn report_path(&self) -> &'static str;

    /// Parses a target's report; `None` if it can't be parsed.
    fn parse_report(&self, body: &[u8]) -> Option<TargetReport>;

    /// Builds the request for a role change, which applies only if the target's number of accepted
    /// orders still is [`RoleOrder::expected_orders`].
    fn order_request(&self, order: &RoleOrder<'_>) -> OrderRequest;

    /// Outcome of an order, by the status of its response.
    fn order_outcome(&self, status: u16) -> OrderOutcome;

    /// Path of the load balancer's readiness check.
    fn readiness_path(&self) -> &'static str;
}
