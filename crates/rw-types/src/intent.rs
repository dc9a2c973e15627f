//! Checks that hold for every configuration, whoever wrote it.

use crate::{Config, TargetKind};
use displaydoc::Display;

/// A mistake in a configuration. The text names the place and the remedy.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum ConfigError {
    /// {list} '{name}' is declared twice; keep one
    Duplicate {
        /// List it stands in.
        list: &'static str,
        /// Name declared twice.
        name: String,
    },
    /// target '{target}' belongs to service '{service}', which is not declared; declare it or correct the name
    UnknownService {
        /// Target name.
        target: String,
        /// Service name.
        service: String,
    },
    /// target '{target}' holds model '{model}', which is not declared; declare it or correct the name
    UnknownModel {
        /// Target name.
        target: String,
        /// Model name.
        model: String,
    },
    /// target '{target}' has address '{addr}'; give ip:port
    InvalidAddr {
        /// Target name.
        target: String,
        /// Address as written.
        addr: String,
    },
    /// kind '{kind}' has objective {objective}; give a fraction above 0 and below 1
    InvalidObjective {
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
    pub fn item(&self) -> (&'static str, &str) {
        match self {
            Self::Duplicate { list, name } => (list, name),
            Self::UnknownService { target, .. }
            | Self::UnknownModel { target, .. }
            | Self::InvalidAddr { target, .. } => ("target", target),
            Self::InvalidObjective { kind, .. } => ("kind", kind),
        }
    }
}

/// All mistakes of `config`, whose lists must be sorted.
#[must_use]
pub fn check_config(config: &Config) -> Vec<ConfigError> {
    let mut found = Vec::new();
    duplicates(&mut found, "model", config.models.iter().map(|m| &m.name));
    duplicates(
        &mut found,
        "service",
        config.services.iter().map(|s| &s.name),
    );
    duplicates(&mut found, "target", config.targets.iter().map(|t| &t.name));
    duplicates(
        &mut found,
        "account",
        config.accounts.iter().map(|a| &a.name),
    );
    duplicates(&mut found, "kind", config.kinds.iter().map(|k| &k.name));
    for target in &config.targets {
        if config.service(&target.service).is_none() {
            found.push(ConfigError::UnknownService {
                target: target.name.clone(),
                service: target.service.clone(),
            });
        }
        if target.addr.parse::<std::net::SocketAddr>().is_err() {
            found.push(ConfigError::InvalidAddr {
                target: target.name.clone(),
                addr: target.addr.clone(),
            });
        }
        let unknown = target
            .models
            .iter()
            .filter(|m| target.kind == TargetKind::Engine && config.model(m).is_none());
        found.extend(unknown.map(|m| ConfigError::UnknownModel {
            target: target.name.clone(),
            model: m.clone(),
        }));
    }
    let invalid = config
        .kinds
        .iter()
        .filter(|k| !(k.objective > 0.0 && k.objective < 1.0));
    found.extend(invalid.map(|k| ConfigError::InvalidObjective {
        kind: k.name.clone(),
        objective: k.objective.to_string(),
    }));
    found
}

fn duplicates<'a>(
    found: &mut Vec<ConfigError>,
    list: &'static str,
    names: impl Iterator<Item = &'a String> + Clone,
) {
    let pairs = names.clone().zip(names.skip(1));
    found.extend(
        pairs
            .filter(|(a, b)| a == b)
            .map(|(a, _)| ConfigError::Duplicate {
                list,
                name: a.clone(),
            }),
    );
}
