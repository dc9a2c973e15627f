//! A change turns one configuration version into the next, and applies to no other version.

use proptest::prelude::*;
use rw_types::{Account, Config, ConfigChange, Version, WorkKind};

fn config(accounts: &[(u8, u32)], kinds: &[u8], weight: u8) -> Config {
    let account = |&(name, share): &(u8, u32)| Account {
        name: format!("account-{name:03}"),
        keys: Vec::new(),
        share,
    };
    let kind = |name: &u8| WorkKind {
        name: format!("kind-{name}"),
        priority: 1,
        deadline_ms: 1,
        objective: 0.9,
    };
    let mut config = Config {
        version: Version(7),
        accounts: accounts.iter().map(account).collect(),
        kinds: kinds.iter().map(kind).collect(),
        change_weight: f64::from(weight),
        ..Config::default()
    };
    config.sort();
    config.accounts.dedup_by(|a, b| a.name == b.name);
    config.kinds.dedup_by(|a, b| a.name == b.name);
    config
}

fn configs() -> impl Strategy<Value = Config> {
    let accounts = prop::collection::vec((0u8..40, 1u32..3), 0..30);
    let kinds = prop::collection::vec(0u8..6, 0..6);
    (accounts, kinds, 0u8..3).prop_map(|(a, k, w)| config(&a, &k, w))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn applying_a_change_gives_the_new_configuration(old in configs(), new in configs()) {
        let change = ConfigChange::between(&old, &new);
        let mut applied = old.clone();
        prop_assert!(applied.apply(&change));
        let expected = Config { version: Version(8), ..new };
        prop_assert_eq!(&applied, &expected);
        let unchanged = ConfigChange::between(&applied, &expected);
        prop_assert!(unchanged.is_empty());
    }
}

#[test]
fn a_change_that_does_not_follow_is_rejected() {
    struct Case {
        name: &'static str,
        version: u64,
        accepted: bool,
    }
    let cases = [
        Case {
            name: "same version",
            version: 7,
            accepted: false,
        },
        Case {
            name: "next version",
            version: 8,
            accepted: true,
        },
        Case {
            name: "one version skipped",
            version: 9,
            accepted: false,
        },
    ];
    for case in cases {
        let mut old = config(&[(1, 1)], &[], 0);
        let before = old.clone();
        let mut change = ConfigChange::between(&old, &config(&[(2, 1)], &[], 0));
        change.version = Version(case.version);
        assert_eq!(old.apply(&change), case.accepted, "{}", case.name);
        assert_eq!(old == before, !case.accepted, "{}", case.name);
    }
}

/// Guards against a process that ends because a configuration has the highest version.
#[test]
fn the_highest_version_has_no_successor() {
    for (version, next) in [
        (u64::MAX, 0),
        (u64::MAX, u64::MAX),
        (u64::MAX - 1, 0),
        (u64::MAX - 1, u64::MAX - 1),
    ] {
        let mut config = Config {
            version: Version(version),
            ..Config::default()
        };
        let mut change = ConfigChange::between(&config, &config);
        change.version = Version(next);
        assert!(!config.apply(&change), "{version} to {next}");
        assert_eq!(config.version, Version(version));
    }
}
