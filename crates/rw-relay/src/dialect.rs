//! What callers and targets call things in their headers and bodies.

use crate::{RequestHead, ResponseHead};
use rw_gate::{CallRequest, Dispatch, KvHandle, OrderOutcome, Role, TargetLoad};

/// What an answer's head says of the answer.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The call that it answers, if it says so.
    pub call_id: Option<String>,
    /// Whether the target says that it did not run the call.
    pub rejected: bool,
    /// Whether the target signed it as its own.
    pub signed: bool,
    /// Load told with it.
    pub load: Option<TargetLoad>,
}

/// What a target reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetReport {
    /// Its role.
    pub role: Role,
    /// Whether it carries out an order.
    pub busy: bool,
    /// Orders accepted in this life.
    pub accepted_orders: u64,
}

/// An order to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoleOrder<'a> {
    /// Target name.
    pub target: &'a str,
    /// VM that orders.
    pub holder: &'a str,
    /// Fencing token.
    pub token: u64,
    /// Role to take.
    pub role: Role,
    /// Orders that the target must have accepted before it.
    pub expected_orders: u64,
}

/// An order as it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRequest {
    /// Path.
    pub path: &'static str,
    /// Header lines with their ends.
    pub headers: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Translates between the product and one platform's callers and targets.
pub trait Dialect: 'static {
    /// The caller's identity of a call; empty if it has none.
    fn call_id<'a>(&self, head: &'a RequestHead) -> &'a str;

    /// What a caller asks for.
    fn call_request(&self, head: &RequestHead, body: &[u8]) -> CallRequest;

    /// Whether a caller's field goes on to the target.
    fn is_forwarded(&self, name: &str) -> bool;

    /// Fields that tell the target what a dispatch asks of it, each line with its end.
    fn dispatch_headers(&self, dispatch: &Dispatch) -> String;

    /// What an answer's head says.
    fn response_metadata(&self, head: &ResponseHead) -> ResponseMetadata;

    /// The handle in the answer to a prefill.
    fn parse_handle(&self, addr: &str, body: &[u8]) -> Option<KvHandle>;

    /// Method and path of the call that frees a handle.
    fn free_request(&self, handle: &KvHandle) -> (&'static str, String);

    /// Method, path and body of the call that asks a target for its state.
    fn report_path(&self) -> &'static str;

    /// What a target reports of itself.
    fn parse_report(&self, body: &[u8]) -> Option<TargetReport>;

    /// Path, fields and body of an order to take `role`, if the target's count of orders still is
    /// `orders`.
    fn order_request(&self, order: &RoleOrder<'_>) -> OrderRequest;

    /// What the status that answers an order says.
    fn order_outcome(&self, status: u16) -> OrderOutcome;

    /// Path at which the balancer asks whether this node takes calls.
    fn readiness_path(&self) -> &'static str;
}
