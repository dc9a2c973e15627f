//! Consistency checks that every configuration must pass.

use crate::{Config, TargetKind};
use displaydoc::Display;

/// An error in a configuration. The message names the item and the remedy.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum ConfigError {
    /// {list} '{name}' is declared twice; keep one
    Duplicate {
        /// Singular name of the list.
        list: &'static str,
        /// Duplicated name.
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
        /// Address as given.
        addr: String,
    },
    /// kind '{kind}' has objective {objective}; give a fraction above 0 and below 1
    InvalidObjective {
        /// Kind name.
        kind: String,
        /// Objective as given.
        objective: String,
    },
}

impl std::error::Error for ConfigError {}

impl ConfigError {
    /// List and name of the invalid item.
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

/// Returns all errors in `config`. Its lists must be sorted by name.
#[must_use]
pub fn check_config(config: &Config) -> Vec<ConfigError> {
    let mut errors = Vec::new();
    duplicates(&mut errors, "model", config.models.iter().map(|m| &m.name));
    duplicates(
        &mut errors,
        "service",
        config.services.iter().map(|s| &s.name),
    );
    duplicates(
        &mut errors,
        "target",
        config.targets.iter().map(|t| &t.name),
    );
    duplicates(
        &mut errors,
        "account",
        config.accounts.iter().map(|a| &a.name),
    );
    duplicates(&mut errors, "kind", config.kinds.iter().map(|k| &k.name));
    for target in &config.targets {
        if config.service(&target.service).is_none() {
            errors.push(ConfigError::UnknownService {
                target: target.name.clone(),
                service: target.service.clone(),
            });
        }
        if target.addr.parse::<std::net::SocketAddr>().is_err() {
            errors.push(ConfigError::InvalidAddr {
                target: target.name.clone(),
                addr: target.addr.clone(),
            });
        }
        let unknown = target
            .models
            .iter()
            .filter(|m| target.kind == TargetKind::Engine && config.model(m).is_none());
        errors.extend(unknown.map(|m| ConfigError::UnknownModel {
            target: target.name.clone(),
            model: m.clone(),
        }));
    }
    let invalid = config
        .kinds
        .iter()
        .filter(|k| !(k.objective > 0.0 && k.objective < 1.0));
    errors.extend(invalid.map(|k| ConfigError::InvalidObjective {
        kind: k.name.clone(),
        objective: k.objective.to_string(),
    }));
    errors
}

fn duplicates<'a>(
    errors: &mut Vec<ConfigError>,
    list: &'static str,
    names: impl Iterator<Item = &'a String> + Clone,
) {
    let pairs = names.clone().zip(names.skip(1));
    errors.extend(
        pairs
            .filter(|(a, b)| a == b)
            .map(|(a, _)| ConfigError::Duplicate {
                list,
                name: a.clone(),
            }),
    );
}
