//! Calls of operators.

use crate::{Shell, rpc::RpcResult};
use jsonrpsee_core::{RegisterMethodError, server::RpcModule};
use rw_types::Version;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What a node reports to operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The node asked.
    pub vm: VmStatus,
    /// Requests without a final answer.
    pub requests: usize,
    /// Targets, by name: requests of this node that run on it, and whether it gets new work.
    pub targets: Vec<(String, u32, bool)>,
}

/// One VM's configuration.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmStatus {
    /// VM name.
    pub name: String,
    /// Version of the configuration in force.
    pub version: Version,
    /// Whether it takes new requests.
    pub ready: bool,
}

impl Shell {
    fn status(&self) -> Status {
        let node = self.lock();
        let now = self.now();
        let targets = node.targets().all().iter();
        Status {
            vm: VmStatus {
                name: self.settings.vm.clone(),
                version: node.config().version,
                ready: node.is_offered(now),
            },
            requests: node.open_requests(),
            targets: targets
                .map(|t| (t.spec.name.clone(), t.running, t.is_open(now)))
                .collect(),
        }
    }
}

/// The methods that operators may call.
pub(crate) fn operator_module(
    shell: Arc<Shell>,
) -> Result<RpcModule<Arc<Shell>>, RegisterMethodError> {
    let mut module = RpcModule::new(shell);
    module.register_method("status", |_, shell, _| RpcResult::Ok(shell.status()))?;
    Ok(module)
}
