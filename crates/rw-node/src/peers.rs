//! Calls between nodes.

use crate::{Shell, request_calls::add_request_calls, rpc::RpcResult};
use jsonrpsee_core::{RegisterMethodError, server::RpcModule};
use rw_types::{BootId, Config, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a node tells its peers of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Digest {
    /// VM.
    pub vm: String,
    /// Boot.
    pub boot: BootId,
    /// Version of the configuration in force.
    pub version: Version,
}

impl Shell {
    /// This node's digest.
    pub(crate) fn digest(&self) -> Digest {
        Digest {
            vm: self.settings.vm.clone(),
            boot: self.core.boot,
            version: self.config().version,
        }
    }
}

/// The methods that peers may call.
pub(crate) fn peer_module(shell: Arc<Shell>) -> Result<RpcModule<Arc<Shell>>, RegisterMethodError> {
    let mut module = RpcModule::new(shell);
    add_request_calls(&mut module)?;
    module.register_method("digest", |_, shell, _| RpcResult::Ok(shell.digest()))?;
    module.register_method("config", |_, shell, _| {
        RpcResult::Ok(Config::clone(&shell.config()))
    })?;
    Ok(module)
}
