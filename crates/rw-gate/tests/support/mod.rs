//! A gate with a small fleet, and helpers to drive it.

#![allow(
    dead_code,
    missing_docs,
    reason = "each test file uses its part of what the files share"
)]

use rw_gate::{
    CallLimits, CallRequest, Credential, Delivered, Dispatch, DispatchMode, DispatchOutcome,
    Effect, EngineSpec, Event, FleetNode, Gate, GateSettings, Prompt, PromptPart, Refusal,
    RefusalKind, RetryPolicy, Role, Route, Routing, Service, ServiceWeight, TargetSpec,
};
use rw_types::{Millis, RequestId};
use std::sync::Arc;

pub const HOST: &str = "a.example";
pub const ENGINES: &str = "engines";
pub const PLAIN: &str = "plain";
/// Time for which the records of a deployment that has run for long are complete.
pub const DAY_MS: u64 = 86_400_000;

pub struct World {
    pub gate: Gate,
    pub now: u64,
    next: u64,
}

pub fn route(prefix: &str, retry_policy: RetryPolicy, service: &str, max_attempts: u32) -> Route {
    Route {
        name: prefix.to_owned(),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        retry_policy,
        timeout_ms: 5_000,
        objective_ms: 300,
        max_gap_ms: 250,
        client_timeout_ms: 2_000,
        priority: 1,
        traffic_split: vec![ServiceWeight {
            service: service.to_owned(),
            weight: 1,
        }],
        max_attempts,
        public: false,
    }
}

pub fn routing(version: u64) -> Routing {
    let engine = EngineSpec {
        slots: 48,
        kv_tokens: 400_000,
        token_bytes: 131_072,
        link_mbps: 950_000.0,
        handle_ttl_ms: 5_000,
        role_switch_ms: 3_000,
    };
    let service = |name: &str, engine| Service {
        name: name.to_owned(),
        max_connections: 300,
        engine,
        scaling: None,
    };
    Routing {
        has_accounts: false,
        accounts: Vec::new(),
        version,
        routes: vec![
            route("/once/", RetryPolicy::AtMostOnce, PLAIN, 1),
            route("/safe/", RetryPolicy::Idempotent, PLAIN, 2),
            route(
                "/chat/",
                RetryPolicy::Stream { resumable: false },
                ENGINES,
                1,
            ),
            route(
                "/brief/",
                RetryPolicy::Stream { resumable: true },
                ENGINES,
                2,
            ),
        ],
        services: vec![service(ENGINES, Some(engine)), service(PLAIN, None)],
        limits: CallLimits::default(),
    }
    .sorted()
}

pub fn target(name: &str, service: &str, role: Role) -> TargetSpec {
    TargetSpec {
        name: name.to_owned(),
        incarnation: 1,
        service: service.to_owned(),
        addr: format!("127.0.0.1:{}", 1_000 + name.len()),
        centre: "x".to_owned(),
        slots: 6,
        role,
        leaving: false,
        models: vec!["m".to_owned()],
        software: "v1".to_owned(),
        spot: false,
        leaves_ms: None,
    }
}

pub fn fleet() -> Vec<TargetSpec> {
    vec![
        target("d1", ENGINES, Role::Decode),
        target("d2", ENGINES, Role::Decode),
        target("f1", ENGINES, Role::Prefill),
        target("f2", ENGINES, Role::Prefill),
        target("p1", PLAIN, Role::Mixed),
        target("p2", PLAIN, Role::Mixed),
        target("p3", PLAIN, Role::Mixed),
    ]
}

pub fn request(path: &str) -> CallRequest {
    CallRequest {
        call_id: "c".to_owned(),
        host: HOST.to_owned(),
        path: path.to_owned(),
        fingerprint: 7,
        deadline_ms: Some(5_000),
        last_event: None,
        resumes: None,
        credential: Credential::Missing,
        prompt: None,
        delegated: None,
    }
}

/// A generation whose prompt has one shared segment and one of its own.
pub fn generation(path: &str, shared: (u64, u32), own: (u64, u32)) -> CallRequest {
    let part = |(id, tokens)| PromptPart { id, tokens };
    let prompt = Prompt {
        model: "m".to_owned(),
        tokens: shared.1 + own.1,
        max_output: 100,
        parts: vec![part(shared), part(own)],
    };
    CallRequest {
        prompt: Some(prompt),
        fingerprint: own.0,
        ..request(path)
    }
}

impl World {
    pub fn new() -> Self {
        Self::with(GateSettings::default())
    }

    /// A node that has read the configuration alone.
    pub fn starting(settings: GateSettings) -> Self {
        let mut world = Self {
            gate: Gate::new(settings),
            now: 1_000,
            next: 1,
        };
        world.step(Event::Routing(Arc::new(routing(1))));
        world
    }

    pub fn with(settings: GateSettings) -> Self {
        let mut world = Self::starting(settings);
        world.step(Event::RowsRead {
            confirmed_ms: Some(DAY_MS),
        });
        world.step(Event::TargetsListed(fleet()));
        world.step(nodes_listed(1));
        world
    }

    pub fn step(&mut self, event: Event) -> Vec<Effect> {
        self.gate.step(Millis(self.now), event)
    }

    pub fn arrive(&mut self, request: CallRequest) -> (RequestId, Vec<Effect>) {
        let id = RequestId(self.next);
        self.next += 1;
        let effects = self.step(Event::CallArrived { id, request });
        (id, effects)
    }

    pub fn end(&mut self, id: RequestId, outcome: DispatchOutcome) -> Vec<Effect> {
        self.step(Event::DispatchEnded { id, outcome })
    }
}

/// A fleet of `count` nodes.
pub fn nodes_listed(count: usize) -> Event {
    let node = |n| FleetNode {
        vm: format!("vm-{n:03}"),
        centre: "x".to_owned(),
    };
    Event::NodesListed((0..count).map(node).collect())
}

pub fn dispatch(effects: &[Effect]) -> Option<&Dispatch> {
    effects.iter().find_map(|e| match e {
        Effect::Dispatch { dispatch, .. } => Some(dispatch),
        _ => None,
    })
}

pub fn sent_to(effects: &[Effect]) -> &str {
    dispatch(effects).map_or("", |d| &d.target)
}

pub fn mode(effects: &[Effect]) -> Option<&DispatchMode> {
    dispatch(effects).map(|d| &d.mode)
}

pub fn refusal(effects: &[Effect]) -> Option<Refusal> {
    effects.iter().find_map(|e| match e {
        Effect::Refuse { refusal, .. } => Some(*refusal),
        _ => None,
    })
}

pub fn refused(effects: &[Effect]) -> Option<RefusalKind> {
    refusal(effects).map(|r| r.kind)
}

pub const BROKEN: DispatchOutcome = DispatchOutcome::Broken {
    crashed: false,
    delivered: Delivered::Nothing,
};
pub const CRASHED: DispatchOutcome = DispatchOutcome::Broken {
    crashed: true,
    delivered: Delivered::Nothing,
};
