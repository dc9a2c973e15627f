//! Runs the effects for leases and orders: transactions on the table and calls of targets.

use crate::Shell;
use rw_core::{
    AuthorityEffect, AuthorityEvent, Effect, Event, Heartbeat, Holder, LeaseRows, OrderRow,
    WriteOutcome, heartbeat_key, lease_key, order_key,
};
use rw_http::{Method, Pooling, Request, Url, post_json};
use rw_platform::{PlatformError, Row, Table as _, Txn, TxnResponse};
use rw_types::{FencingToken, Millis, Order, OrderResponse, OrderState, Version};
use serde::{Serialize, de::DeserializeOwned};
use std::{sync::Arc, time::Duration};

/// Ticks of the reducer during one lease duration.
const TICKS_PER_LEASE: u64 = 40;
/// Bounds of the interval between ticks.
const MIN_TICK: Duration = Duration::from_millis(5);
const MAX_TICK: Duration = Duration::from_millis(250);

impl Shell {
    /// Ticks the reducer's lease and order logic until the process ends.
    pub(crate) async fn run_authority(self: Arc<Self>) {
        let interval =
            Duration::from_millis(self.core.lease_ms / TICKS_PER_LEASE).clamp(MIN_TICK, MAX_TICK);
        let mut held = Vec::new();
        loop {
            self.clone().step_authority(AuthorityEvent::Tick);
            self.log_lease_changes(&mut held);
            smol::Timer::after(interval).await;
        }
    }

    /// Feeds one event to the reducer and runs each resulting effect in its own task.
    fn step_authority(self: Arc<Self>, event: AuthorityEvent) {
        for effect in self.step(Event::Authority(event)) {
            if let Effect::Authority(effect) = effect {
                let shell = self.clone();
                rw_http::spawn(async move {
                    let event = shell.run_effect(effect).await;
                    shell.step_authority(event);
                })
                .detach();
            }
        }
    }

    fn log_lease_changes(&self, held: &mut Vec<(String, FencingToken)>) {
        let now: Vec<(String, FencingToken)> = {
            let node = self.lock();
            let groups = node.held_groups(self.now());
            groups.map(|(g, f)| (g.to_owned(), f)).collect()
        };
        if now == *held {
            return;
        }
        for (group, fence) in now.iter().filter(|g| !held.contains(g)) {
            log::info!("lease of {group} held with fencing token {fence}");
            self.count_authority("lease", "gained");
        }
        for (group, fence) in held.iter().filter(|g| !now.contains(g)) {
            log::info!("lease of {group} with fencing token {fence} ended");
            self.count_authority("lease", "ended");
        }
        *held = now;
    }

    async fn run_effect(&self, effect: AuthorityEffect) -> AuthorityEvent {
        match effect {
            AuthorityEffect::ReadLeases { call, groups } => AuthorityEvent::LeasesRead {
                call,
                rows: self.read_leases(groups).await,
            },
            AuthorityEffect::AcquireLease {
                call,
                group,
                lease,
                heartbeat,
            } => AuthorityEvent::LeaseWritten {
                call,
                outcome: self.acquire_lease(&group, lease, heartbeat).await,
            },
            AuthorityEffect::RenewLease {
                call,
                group,
                fence,
                count,
                released,
            } => AuthorityEvent::LeaseWritten {
                call,
                outcome: self
                    .renew_lease(&group, fence, Heartbeat { count, released })
                    .await,
            },
            AuthorityEffect::ReadOrders { call, targets } => AuthorityEvent::OrdersRead {
                call,
                rows: self.read_orders(targets).await,
            },
            AuthorityEffect::WriteOrder {
                call,
                group,
                fence,
                version,
                order,
            } => AuthorityEvent::OrderWritten {
                call,
                outcome: self.write_order(&group, fence, version, &order).await,
            },
            AuthorityEffect::SendOrder {
                call,
                addr,
                order,
                deadline,
            } => AuthorityEvent::TargetResponded {
                call,
                response: self.send_order(&addr, &order, deadline).await,
            },
            AuthorityEffect::ReadTarget { call, addr } => AuthorityEvent::TargetResponded {
                call,
                response: self.read_target(&addr).await,
            },
        }
    }

    async fn read_leases(&self, groups: Vec<String>) -> Option<Vec<LeaseRows>> {
        let keys = groups.iter().flat_map(|g| [lease_key(g), heartbeat_key(g)]);
        let rows = self.platform.get(keys.collect()).await;
        self.count_authority("read-leases", if rows.is_ok() { "ok" } else { "failed" });
        let rows = rows.ok()?.rows;
        let pairs = groups.into_iter().zip(rows.chunks_exact(2));
        let parsed = pairs.map(|(group, pair)| {
            let heartbeat: Option<Heartbeat> = parse(&pair[1]);
            LeaseRows {
                group,
                holder: parse(&pair[0]),
                lease: pair[0].version,
                heartbeat: pair[1].version,
                released: heartbeat.is_some_and(|b| b.released),
            }
        });
        Some(parsed.collect())
    }

    async fn acquire_lease(&self, group: &str, lease: Version, heartbeat: Version) -> WriteOutcome {
        let holder = Holder {
            vm: self.core.vm.clone(),
            boot: self.core.boot,
        };
        let first = Heartbeat {
            count: 0,
            released: false,
        };
        let txn = Txn::new()
            .check(lease_key(group), lease)
            .check(heartbeat_key(group), heartbeat)
            .put(lease_key(group), json(&holder))
            .put(heartbeat_key(group), json(&first));
        self.write("take-lease", &txn).await
    }

    async fn renew_lease(
        &self,
        group: &str,
        fence: FencingToken,
        heartbeat: Heartbeat,
    ) -> WriteOutcome {
        let txn = Txn::new()
            .check(lease_key(group), Version(fence.0))
            .put(heartbeat_key(group), json(&heartbeat));
        self.write("renew-lease", &txn).await
    }

    async fn read_orders(&self, targets: Vec<String>) -> Option<Vec<OrderRow>> {
        let keys = targets.iter().map(|t| order_key(t)).collect();
        let rows = self.platform.get(keys).await;
        self.count_authority("read-orders", if rows.is_ok() { "ok" } else { "failed" });
        let pairs = targets.into_iter().zip(rows.ok()?.rows);
        // A row that cannot be parsed is skipped, so the reducer gives its target no new order.
        let readable = pairs.filter_map(|(target, row)| {
            let order: Option<Order> = parse(&row);
            let known = order.is_some() || row.value.is_empty();
            known.then_some(OrderRow {
                target,
                order,
                version: row.version,
            })
        });
        Some(readable.collect())
    }

    async fn write_order(
        &self,
        group: &str,
        fence: FencingToken,
        version: Version,
        order: &Order,
    ) -> WriteOutcome {
        let key = order_key(&order.target);
        let txn = Txn::new()
            .check(lease_key(group), Version(fence.0))
            .check(key.as_str(), version)
            .put(key.as_str(), json(order));
        let outcome = self.write("write-order", &txn).await;
        if let WriteOutcome::Written(_) = outcome {
            let Order { target, reason, .. } = order;
            let (kind, state) = (json(&order.kind), state_name(order.state));
            log::info!(
                "order {} of {target} is {state}: {kind} because {reason}",
                order.seq
            );
            self.count_authority("order", state);
        }
        outcome
    }

    async fn write(&self, what: &str, txn: &Txn) -> WriteOutcome {
        let outcome = self.platform.txn(txn).await;
        let (outcome, name) = match outcome {
            Ok(TxnResponse { version, .. }) if version != Version(0) => {
                (WriteOutcome::Written(version), "ok")
            }
            Ok(_) => (WriteOutcome::Conflict, "conflict"),
            Err(PlatformError::NotApplied) => (WriteOutcome::NotApplied, "untaken"),
            Err(_) => (WriteOutcome::Unknown, "lost"),
        };
        self.count_authority(what, name);
        outcome
    }

    async fn send_order(
        &self,
        addr: &str,
        order: &Order,
        deadline: Millis,
    ) -> Option<OrderResponse> {
        let request = post_json(addr, "/order", json(order).into_bytes()).ok()?;
        let (deadline, timeout) = (self.instant(deadline), self.order_timeout());
        let sent = self
            .client
            .send_before(addr, request, deadline, timeout)
            .await;
        let response = match sent {
            Ok(response) => {
                parse_order_response(response.status(), response.bytes(timeout).await.ok())
            }
            Err(_) => None,
        };
        self.count_authority(
            "send-order",
            if response.is_some() { "ok" } else { "failed" },
        );
        response
    }

    async fn read_target(&self, addr: &str) -> Option<OrderResponse> {
        let url = Url::parse(&format!("http://{addr}/order")).ok()?;
        let request = Request::new(Method::Get, url);
        let timeout = self.order_timeout();
        let response = self
            .client
            .send(addr, request, Pooling::Reuse, timeout)
            .await;
        let response = response.ok()?;
        parse_order_response(response.status(), response.bytes(timeout).await.ok())
    }

    /// Timeout of sending an order and of reading the response. Each gets half of the time that an
    /// order may be in flight, so that the connection is closed before the order expires.
    fn order_timeout(&self) -> Duration {
        Duration::from_millis(self.core.order_ttl_ms / 2)
    }

    fn count_authority(&self, call: &str, end: &str) {
        self.metrics
            .platform_calls
            .with_label_values(&[call, end])
            .inc();
    }
}

fn parse_order_response(status: u16, body: Option<Vec<u8>>) -> Option<OrderResponse> {
    let body = body.filter(|_| status == 200)?;
    serde_json::from_slice(&body).ok()
}

fn state_name(state: OrderState) -> &'static str {
    match state {
        OrderState::Open => "open",
        OrderState::Done => "done",
        OrderState::Failed => "failed",
    }
}

fn parse<T: DeserializeOwned>(row: &Row) -> Option<T> {
    serde_json::from_str(&row.value).ok()
}

fn json<T: Serialize>(value: &T) -> String {
    // Serialization of plain data with string keys does not fail.
    serde_json::to_string(value).unwrap_or_default()
}
