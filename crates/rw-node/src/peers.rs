//! RPC methods for peers.

use crate::{Shell, request_calls::add_request_calls, rpc::RpcResult};
use jsonrpsee_core::{RegisterMethodError, server::RpcModule};
use rw_core::SyncEvent;
use rw_types::{Config, Digest, Version};
use std::sync::Arc;

/// Builds the module of methods that peers may call.
pub(crate) fn peer_module(shell: Arc<Shell>) -> Result<RpcModule<Arc<Shell>>, RegisterMethodError> {
    let mut module = RpcModule::new(shell);
    add_request_calls(&mut module)?;
    module.register_method("digest", |_, shell, _| RpcResult::Ok(shell.digest()))?;
    module.register_method("exchange", |params, shell, _| {
        let digest: Digest = params.one()?;
        shell.step_sync(SyncEvent::DigestReceived(digest));
        RpcResult::Ok(shell.digest())
    })?;
    module.register_method("changes", |params, shell, _| {
        let since: Version = params.one()?;
        RpcResult::Ok(shell.changes_since(since))
    })?;
    module.register_method("burn", |_, shell, _| RpcResult::Ok(shell.burn_report()))?;
    module.register_method("config", |_, shell, _| {
        RpcResult::Ok(Config::clone(&shell.config()))
    })?;
    Ok(module)
}
