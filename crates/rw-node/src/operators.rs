//! RPC methods for operators.

use crate::{ConfirmRequest, PlanRequest, Shell, rpc::RpcResult};
use futures_util::{StreamExt as _, stream};
use jsonrpsee_core::{RegisterMethodError, server::RpcModule};
use rw_types::{Digest, Version, Vm};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};

/// Timeout of a call to a peer on behalf of an operator.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of concurrent calls to peers.
const MAX_CONCURRENT: usize = 32;

/// Status of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// Status of the node's own VM.
    pub vm: VmStatus,
    /// Number of requests without a final response.
    pub requests: usize,
    /// For each target: its name, the number of requests of this node that it runs, and whether it
    /// accepts new ones.
    pub targets: Vec<(String, u32, bool)>,
}

/// Configuration version and readiness of one VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmStatus {
    /// VM name.
    pub name: String,
    /// Configuration version in force; zero if the VM did not respond.
    pub version: Version,
    /// Whether it accepts new requests.
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
                ready: node.is_available(now),
            },
            requests: node.open_requests(),
            targets: targets
                .map(|t| (t.spec.name.clone(), t.running, t.is_open(now)))
                .collect(),
        }
    }

    /// Returns the status of this VM, then of the other listed VMs sorted by name.
    async fn fleet(&self) -> Vec<VmStatus> {
        let mut all = vec![self.status().vm];
        let peers = self.listed_peers();
        let queries = stream::iter(peers).map(|vm| self.query_vm(vm));
        let mut statuses: Vec<_> = queries.buffer_unordered(MAX_CONCURRENT).collect().await;
        statuses.sort_by(|a, b| a.name.cmp(&b.name));
        all.extend(statuses);
        all
    }

    /// Returns all VMs on the list except this one.
    pub(crate) fn listed_peers(&self) -> Vec<Vm> {
        let node = self.lock();
        let listed = node.members().all().iter();
        let others = listed.filter(|vm| vm.name != self.settings.vm);
        others.cloned().collect()
    }

    async fn query_vm(&self, vm: Vm) -> VmStatus {
        let call = self.call_peer::<_, Digest>(&vm.peer, "digest", &(), PEER_TIMEOUT);
        let digest = call.await.unwrap_or_default();
        VmStatus {
            name: vm.name,
            version: digest.version,
            ready: digest.ready,
        }
    }
}

/// Builds the module of methods that operators may call.
pub(crate) fn operator_module(
    shell: Arc<Shell>,
) -> Result<RpcModule<Arc<Shell>>, RegisterMethodError> {
    let mut module = RpcModule::new(shell);
    module.register_method("status", |_, shell, _| RpcResult::Ok(shell.status()))?;
    module.register_async_method("fleet", |_, shell, _| async move {
        RpcResult::Ok(shell.fleet().await)
    })?;
    module.register_async_method("burn", |_, shell, _| async move {
        let kinds = shell.config().kinds.clone();
        RpcResult::Ok((kinds, shell.fleet_burn().await))
    })?;
    module.register_async_method("plan", |params, shell, _| async move {
        let request: PlanRequest = params.one()?;
        RpcResult::Ok(shell.plan(request).await?)
    })?;
    module.register_async_method("confirm", |params, shell, _| async move {
        let request: ConfirmRequest = params.one()?;
        RpcResult::Ok(shell.confirm(request).await?)
    })?;
    module.register_async_method("explain", |params, shell, _| async move {
        let target: String = params.one()?;
        RpcResult::Ok(shell.explain(&target).await?)
    })?;
    Ok(module)
}
