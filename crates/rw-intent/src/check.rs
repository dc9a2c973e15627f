//! Checks of an intent beyond those that hold for every configuration.

use crate::{
    IntentError, IntentErrorKind,
    parse::{Place, line_of},
};
use rw_types::{Account, Config, Model, Service, ServiceKind, Target, TargetKind, WorkKind};

/// Hex digits of a key's hash.
const HASH_DIGITS: usize = 64;
/// Hashes of one account: the key in use and, during a rotation, the next one.
const MAX_KEYS: usize = 2;
/// Longest name, in bytes.
const MAX_NAME: usize = 64;

/// Adds the mistakes of single values and of what the fixed fleet can't hold together.
pub(crate) fn check_values(config: &Config, places: &[Place], found: &mut Vec<IntentError>) {
    let mut note = |list: &'static str, name: &str, reason: Option<String>| {
        found.extend(reason.map(|reason| IntentError {
            file_line: line_of(places, list, name),
            kind: IntentErrorKind::InvalidItem {
                list,
                name: name.to_owned(),
                reason,
            },
        }));
    };
    for place in places {
        note(place.list, &place.name, bad_name(&place.name));
    }
    for model in &config.models {
        note("model", &model.name, bad_model(model));
    }
    for service in &config.services {
        note("service", &service.name, bad_service(service, config));
    }
    for target in &config.targets {
        note("target", &target.name, bad_target(target, config));
    }
    let mut addrs: Vec<_> = config.targets.iter().map(|t| (&t.addr, &t.name)).collect();
    addrs.sort();
    for pair in addrs.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
        let twin = pair[0].1;
        let reason = format!("its address is that of target '{twin}'; correct one of them");
        note("target", pair[1].1, Some(reason));
    }
    for account in &config.accounts {
        note("account", &account.name, bad_account(account));
    }
    for kind in &config.kinds {
        note("kind", &kind.name, bad_kind(kind));
    }
    if config.change_weight < 0.0 {
        let reason = "is below zero; give the seconds of one engine's goodput that a change costs";
        note("file", "change_weight", Some(reason.to_owned()));
    }
}

fn bad_name(name: &str) -> Option<String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    let fits = name.len() <= MAX_NAME && name.chars().all(plain);
    (!fits).then(|| {
        format!("the name is over {MAX_NAME} bytes or has other characters than letters, digits and -_.:; rename it")
    })
}

fn bad_model(model: &Model) -> Option<String> {
    let zero = model.bytes == 0;
    zero.then(|| "bytes is 0; give the bytes that one load fetches".to_owned())
}

fn bad_service(service: &Service, config: &Config) -> Option<String> {
    let mut targets = config.targets.iter();
    if !targets.any(|t| t.service == service.name) {
        return Some("no target belongs to it; declare one or remove the service".to_owned());
    }
    let odd = service.idempotent.iter().find(|p| !p.starts_with('/'));
    odd.map(|p| format!("idempotent path '{p}' has no leading slash; write '/{p}'"))
}

fn bad_target(target: &Target, config: &Config) -> Option<String> {
    let service = config.service(&target.service)?;
    let wanted = match service.kind {
        ServiceKind::Engine => TargetKind::Engine,
        ServiceKind::Plain => TargetKind::Plain,
    };
    if target.kind != wanted {
        return Some(format!(
            "its kind differs from that of service '{}'; use the same kind",
            service.name
        ));
    }
    if target.kind == TargetKind::Plain && !target.models.is_empty() {
        return Some("a plain service holds no models; remove them".to_owned());
    }
    None
}

fn bad_account(account: &Account) -> Option<String> {
    if account.keys.is_empty() || account.keys.len() > MAX_KEYS {
        return Some(format!(
            "it has {} key hashes; give one, or two during a rotation",
            account.keys.len()
        ));
    }
    let is_hash = |k: &&String| k.len() == HASH_DIGITS && k.chars().all(|c| c.is_ascii_hexdigit());
    if !account.keys.iter().all(|k| is_hash(&k)) {
        return Some(
            "a key hash is not 64 hex digits; run 'redwingweir key mint' and copy the hash"
                .to_owned(),
        );
    }
    (account.share == 0).then(|| "share is 0; give at least 1".to_owned())
}

fn bad_kind(kind: &WorkKind) -> Option<String> {
    let zero = kind.deadline_ms == 0;
    zero.then(|| "deadline_ms is 0; give the milliseconds until the whole answer is due".to_owned())
}
