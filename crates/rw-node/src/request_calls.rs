//! RPC methods for peers that concern single requests.

use crate::{
    Shell,
    claim_query::ClaimQuery,
    rpc::RpcResult,
    tickets::{TicketRequest, TicketResponse},
};
use jsonrpsee_core::{RegisterMethodError, server::RpcModule};
use jsonrpsee_types::{ErrorObjectOwned, error::INVALID_PARAMS_CODE};
use rw_core::Suspect;
use std::sync::Arc;

/// Registers the methods for claims, tickets and suspect requests.
pub(crate) fn add_request_calls(
    module: &mut RpcModule<Arc<Shell>>,
) -> Result<(), RegisterMethodError> {
    module.register_method("claim_state", |params, shell, _| {
        let ClaimQuery { boot, request } = params.one()?;
        RpcResult::Ok(shell.lock().claim_status(boot, request))
    })?;
    module.register_method("suspects", |params, shell, _| {
        RpcResult::Ok(shell.exchange_suspects(params.one::<Vec<Suspect>>()?))
    })?;
    module.register_async_method("run_ticket", |params, shell, _| async move {
        let call: TicketRequest = params.one()?;
        let response = Arc::<Shell>::clone(&shell).run_ticket(call).await;
        RpcResult::<TicketResponse>::from(response.ok_or_else(wrong_vm))
    })?;
    Ok(())
}

fn wrong_vm() -> ErrorObjectOwned {
    let text = "the ticket was minted by another VM; read the VM list again";
    ErrorObjectOwned::owned(INVALID_PARAMS_CODE, text, None::<()>)
}
