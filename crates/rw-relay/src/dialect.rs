//! What callers and targets call things in their headers and bodies.

use crate::{AnswerHead, RequestHead};
use rw_gate::{Ask, Dispatch, Handle, Load, OrderEnd, Role};

/// What an answer's head says of the answer.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct AnswerNotes {
    /// The call that it answers, if it says so.
    pub call: Option<String>,
    /// Whether the target says that it did not run the call.
    pub declined: bool,
    /// Whether the target signed it as its own.
    pub signed: bool,
    /// Load told with it.
    pub load: Option<Load>,
}

/// What a target reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Its role.
    pub role: Role,
    /// Whether it carries out an order.
    pub busy: bool,
    /// Orders accepted in this life.
    pub orders: u64,
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
    pub orders: u64,
}

/// An order as it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderCall {
    /// Path.
    pub path: &'static str,
    /// Header lines with their ends.
    pub fields: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Translates between the product and one platform's callers and targets.
pub trait Dialect: 'static {
    /// The caller's identity of a call; empty if it has none.
    fn call_name<'a>(&self, head: &'a RequestHead) -> &'a str;

    /// What a caller asks for.
    fn ask(&self, head: &RequestHead, body: &[u8]) -> Ask;

    /// Whether a caller's field goes on to the target.
    fn passes(&self, name: &str) -> bool;

    /// Fields that tell the target what a dispatch asks of it, each line with its end.
    fn fields(&self, dispatch: &Dispatch) -> String;

    /// What an answer's head says.
    fn notes(&self, head: &AnswerHead) -> AnswerNotes;

    /// The handle in the answer to a prefill.
    fn handle(&self, addr: &str, body: &[u8]) -> Option<Handle>;

    /// Method and path of the call that frees a handle.
    fn free(&self, handle: &Handle) -> (&'static str, String);

    /// Method, path and body of the call that asks a target for its state.
    fn report_path(&self) -> &'static str;

    /// What a target reports of itself.
    fn read_report(&self, body: &[u8]) -> Option<Report>;

    /// Path, fields and body of an order to take `role`, if the target's count of orders still is
    /// `orders`.
    fn order(&self, order: &RoleOrder<'_>) -> OrderCall;

    /// What the status that answers an order says.
    fn order_end(&self, status: u16) -> OrderEnd;

    /// Path at which the balancer asks whether this node takes calls.
    fn ready_path(&self) -> &'static str;
}
