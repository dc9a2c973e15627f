//! Checks that hold for every configuration, whoever wrote it.

use crate::{Config, TargetKind};
use displaydoc::Display;

/// A mistake in a configuration. The text names the place and the remedy.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum ConfigError {
    /// {list} '{name}' is declared twice; keep one
    Twice {
        /// List it stands in.
        list: &'static str,
        /// Name declared twice.
        name: String,
    },
    /// target '{target}' belongs to service '{service}', which is not declared; declare it or correct the name
    NoService {
        /// Target name.
        target: String,
        /// Service name.
        service: String,
    },
    /// target '{target}' holds model '{model}', which is not declared; declare it or correct the name
    NoModel {
        /// Target name.
        target: String,
        /// Model name.
        model: String,
    },
    /// target '{target}' has address '{addr}'; give ip:port
    BadAddr {
        /// Target name.
        target: String,
        /// Address as written.
        addr: String,
    },
    /// kind '{kind}' has objective {objective}; give a fraction above 0 and below 1
    BadObjective {
        /// Kind name.
        kind: String,
        /// Objective as written.
        objective: String,
    },
}

impl std::error::Error for ConfigError {}

impl ConfigError {
    /// List and name of the item that is wrong.
    #[must_use]
    pub fn place(&self) -> (&'static str, &str) {
        match self {
            Self::Twice { list, name } => (list, name),
            Self::NoService { target, .. }
            | Self::NoModel { target, .. }
            | Self::BadAddr { target, .. } => ("target", target),
            Self::BadObjective { kind, .. } => ("kind", kind),
        }
    }
}

/// All mistakes of `config`, whose lists must be sorted.
#[must_use]
pub fn check_config(config: &Config) -> Vec<ConfigError> {
    let mut found = Vec::new();
    twice(&mut found, "model", config.models.iter().map(|m| &m.name));
    twice(
        &mut found,
        "service",
        config.services.iter().map(|s| &s.name),
    );
    twice(&mut found, "target", config.targets.iter().map(|t| &t.name));
    twice(
        &mut found,
        "account",
        config.accounts.iter().map(|a| &a.name),
    );
    twice(&mut found, "kind", config.kinds.iter().map(|k| &k.name));
    for target in &config.targets {
        if config.service(&target.service).is_none() {
            found.push(ConfigError::NoService {
                target: target.name.clone(),
                service: target.service.clone(),
            });
        }
        if target.addr.parse::<std::net::SocketAddr>().is_err() {
            found.push(ConfigError::BadAddr {
                target: target.name.clone(),
                addr: target.addr.clone(),
            });
        }
        let unknown = target
            .models
            .iter()
            .filter(|m| target.kind == TargetKind::Engine && config.model(m).is_none());
        found.extend(unknown.map(|m| ConfigError::NoModel {
            target: target.name.clone(),
            model: m.clone(),
        }));
    }
    let bad = config
        .kinds
        .iter()
        .filter(|k| !(k.objective > 0.0 && k.objective < 1.0));
    found.extend(bad.map(|k| ConfigError::BadObjective {
        kind: k.name.clone(),
        objective: k.objective.to_string(),
    }));
    found
}

fn twice<'a>(
    found: &mut Vec<ConfigError>,
    list: &'static str,
    names: impl Iterator<Item = &'a String> + Clone,
) {
    let pairs = names.clone().zip(names.skip(1));
    found.extend(
        pairs
            .filter(|(a, b)| a == b)
            .map(|(a, _)| ConfigError::Twice {
                list,
                name: a.clone(),
            }),
    );
}
