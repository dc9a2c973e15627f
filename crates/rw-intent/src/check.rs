//! Checks of an intent file in addition to the consistency checks of every configuration.

use crate::{IntentError, IntentErrorKind, places::Places};
use rw_types::{Account, Config, Model, Service, ServiceKind, Target, TargetKind, WorkKind};

/// Length of a key hash in hex digits.
const HASH_DIGITS: usize = 64;
/// Maximum number of key hashes of an account: the current key and, during a rotation, the next.
const MAX_KEYS: usize = 2;
/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;

/// Adds the errors of single values and of values that contradict each other.
pub(crate) fn check_values(config: &Config, places: &Places, errors: &mut Vec<IntentError>) {
    let mut check = |list: &'static str, name: &str, reason: Option<String>| {
        errors.extend(reason.map(|reason| IntentError {
            file_line: places.line_of(list, name),
            kind: IntentErrorKind::InvalidItem {
                list,
                name: name.to_owned(),
                reason,
            },
        }));
    };
    for place in places.all() {
        check(place.list, &place.name, name_error(&place.name));
    }
    for model in &config.models {
        check("model", &model.name, model_error(model));
    }
    for service in &config.services {
        check("service", &service.name, service_error(service, config));
    }
    for target in &config.targets {
        check("target", &target.name, target_error(target, config));
    }
    let mut addrs: Vec<_> = config.targets.iter().map(|t| (&t.addr, &t.name)).collect();
    addrs.sort();
    for pair in addrs.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
        let other = pair[0].1;
        let reason = format!("its address is that of target '{other}'; correct one of them");
        check("target", pair[1].1, Some(reason));
    }
    for account in &config.accounts {
        check("account", &account.name, account_error(account));
    }
    for kind in &config.kinds {
        check("kind", &kind.name, kind_error(kind));
    }
    if config.change_weight < 0.0 {
        let reason = "it is negative; give the seconds of one engine's goodput that a change costs";
        check("file", "change_weight", Some(reason.to_owned()));
    }
}

fn name_error(name: &str) -> Option<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    let valid = name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed);
    (!valid).then(|| {
        format!("the name is longer than {MAX_NAME_BYTES} bytes or has characters other than letters, digits and -_.:; rename it")
    })
}

fn model_error(model: &Model) -> Option<String> {
    let zero = model.bytes == 0;
    zero.then(|| "bytes is 0; give the number of bytes that one load fetches".to_owned())
}

fn service_error(service: &Service, config: &Config) -> Option<String> {
    let mut targets = config.targets.iter();
    if !targets.any(|t| t.service == service.name) {
        return Some("no target belongs to it; declare one or remove the service".to_owned());
    }
    let relative = service.idempotent.iter().find(|p| !p.starts_with('/'));
    relative.map(|p| format!("idempotent path '{p}' has no leading slash; write '/{p}'"))
}

fn target_error(target: &Target, config: &Config) -> Option<String> {
    let service = config.service(&target.service)?;
    let expected = match service.kind {
        ServiceKind::Engine => TargetKind::Engine,
        ServiceKind::Plain => TargetKind::Plain,
    };
    if target.kind != expected {
        return Some(format!(
            "its kind differs from that of service '{}'; use the same kind",
            service.name
        ));
    }
    if target.kind == TargetKind::Plain && !target.models.is_empty() {
        return Some("a plain service has no models; remove them".to_owned());
    }
    None
}

fn account_error(account: &Account) -> Option<String> {
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

fn kind_error(kind: &WorkKind) -> Option<String> {
    let zero = kind.deadline_ms == 0;
    zero.then(|| {
        "deadline_ms is 0; give the milliseconds from arrival to the complete response".to_owned()
    })
}
