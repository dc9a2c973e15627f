//! Intent files: what is taken, and every mistake with its line and remedy.

use rw_intent::parse_intent;

const GOOD: &str = r#"change_weight = 2.5

[[models]]
name = "small"
version = "1"
bytes = 1_000

[[services]]
name = "chat"
kind = "engine"
models = ["small"]

[[targets]]
name = "engine-1"
addr = "127.0.0.1:9000"
centre = "centre-a"
kind = "engine"
service = "chat"

[[accounts]]
name = "desk"
keys = ["0000000000000000000000000000000000000000000000000000000000000000"]

[[kinds]]
name = "quick"
deadline_ms = 2_000
objective = 0.99
"#;

#[test]
fn the_examples_are_whole() {
    struct Case {
        name: &'static str,
        text: &'static str,
        engines: usize,
        plain: usize,
    }
    let cases = [
        Case {
            name: "nilebell",
            text: include_str!("../../../examples/nilebell.toml"),
            engines: 12,
            plain: 3,
        },
        Case {
            name: "khabar-saar",
            text: include_str!("../../../examples/khabar-saar.toml"),
            engines: 20,
            plain: 3,
        },
    ];
    for case in cases {
        let config = parse_intent(case.text).expect(case.name);
        let engines = config.targets.iter().filter(|t| !t.models.is_empty());
        assert_eq!(engines.count(), case.engines, "{}", case.name);
        assert_eq!(config.targets.len(), case.engines + case.plain);
    }
}

#[test]
fn engines_hold_the_models_of_their_service() {
    let config = parse_intent(GOOD).expect("a whole file");
    assert_eq!(config.targets[0].models, ["small"]);
    assert_eq!(config.change_weight, 2.5);
}

#[test]
fn a_mistake_is_placed_and_has_a_remedy() {
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
        line: usize,
        wants: &'static str,
    }
    let cases = [
        Case {
            name: "not TOML",
            from: "bytes = 1_000",
            to: "bytes =",
            line: 6,
            wants: "not TOML",
        },
        Case {
            name: "missing field",
            from: "version = \"1\"\n",
            to: "",
            line: 3,
            wants: "'version' is missing; add version =",
        },
        Case {
            name: "wrong type",
            from: "bytes = 1_000",
            to: "bytes = \"many\"",
            line: 6,
            wants: "'bytes' is not a whole number; correct",
        },
        Case {
            name: "negative number",
            from: "deadline_ms = 2_000",
            to: "deadline_ms = -2",
            line: 26,
            wants: "'deadline_ms' is not a whole number; correct",
        },
        Case {
            name: "unknown field",
            from: "centre = \"centre-a\"",
            to: "centre = \"centre-a\"\nzone = \"x\"",
            line: 17,
            wants: "'zone' is not a field; remove it or choose one of",
        },
        Case {
            name: "unknown list",
            from: "[[kinds]]",
            to: "[[sorts]]",
            line: 24,
            wants: "'sorts' is not a field",
        },
        Case {
            name: "a table in place of a list",
            from: "[[kinds]]",
            to: "[kinds]",
            line: 24,
            wants: "'kinds' is not a list of tables",
        },
        Case {
            name: "unknown word",
            from: "kind = \"engine\"\nmodels",
            to: "kind = \"motor\"\nmodels",
            line: 10,
            wants: "'kind' is not \"engine\" or \"plain\"; correct",
        },
        Case {
            name: "undeclared service",
            from: "service = \"chat\"",
            to: "service = \"chats\"",
            line: 13,
            wants: "service 'chats', which is not declared; declare it or correct",
        },
        Case {
            name: "undeclared model",
            from: "models = [\"small\"]",
            to: "models = [\"large\"]",
            line: 13,
            wants: "model 'large', which is not declared; declare",
        },
        Case {
            name: "address without port",
            from: "127.0.0.1:9000",
            to: "127.0.0.1",
            line: 13,
            wants: "give ip:port",
        },
        Case {
            name: "objective of one",
            from: "objective = 0.99",
            to: "objective = 1.0",
            line: 24,
            wants: "give a fraction above 0 and below 1",
        },
        Case {
            name: "not a number",
            from: "objective = 0.99",
            to: "objective = nan",
            line: 27,
            wants: "'objective' is not a number",
        },
        Case {
            name: "key in place of its hash",
            from: "keys = [\"00",
            to: "keys = [\"rw-00",
            line: 20,
            wants: "run 'redwingweir key mint'",
        },
        Case {
            name: "no key",
            from: "keys = [\"0000000000000000000000000000000000000000000000000000000000000000\"]",
            to: "keys = []",
            line: 20,
            wants: "give one, or two during a rotation",
        },
        Case {
            name: "twice",
            from: "[[kinds]]",
            to: "[[models]]\nname = \"small\"\nversion = \"2\"\nbytes = 1\n\n[[kinds]]",
            line: 24,
            wants: "model 'small' is declared twice; keep one",
        },
        Case {
            name: "a name with a slash",
            from: "name = \"desk\"",
            to: "name = \"desk/1\"",
            line: 20,
            wants: "rename it",
        },
        Case {
            name: "negative weight",
            from: "change_weight = 2.5",
            to: "change_weight = -2.5",
            line: 1,
            wants: "is below zero",
        },
    ];
    for case in cases {
        assert!(GOOD.contains(case.from), "{}", case.name);
        let text = GOOD.replacen(case.from, case.to, 1);
        let found = parse_intent(&text).expect_err(case.name);
        let shown: Vec<_> = found.iter().map(ToString::to_string).collect();
        let placed = found
            .iter()
            .any(|m| m.file_line == case.line && m.kind.to_string().contains(case.wants));
        assert!(placed, "{}: {shown:?}", case.name);
    }
}

#[test]
fn all_mistakes_are_told_at_once() {
    let text = GOOD
        .replace("version = \"1\"", "version = 1")
        .replace("kind = \"engine\"\nmodels", "kind = \"motor\"\nmodels")
        .replace("objective = 0.99", "objektive = 0.99");
    let found = parse_intent(&text).expect_err("three mistakes");
    let lines: Vec<_> = found.iter().map(|m| m.file_line).collect();
    // The misspelt field is unknown, and the right one is missing.
    assert_eq!(lines, [5, 10, 24, 27], "{found:?}");
}

#[test]
fn values_are_all_checked_at_once() {
    let text = GOOD
        .replace("bytes = 1_000", "bytes = 0")
        .replace("127.0.0.1:9000", "nowhere")
        .replace("deadline_ms = 2_000", "deadline_ms = 0");
    let found = parse_intent(&text).expect_err("three mistakes");
    let lines: Vec<_> = found.iter().map(|m| m.file_line).collect();
    assert_eq!(lines, [3, 13, 24], "{found:?}");
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() })]

    /// Whatever is cut out of a file, reading it ends with a configuration or placed mistakes.
    #[test]
    fn no_file_stops_the_reader(from in 0usize..500, len in 0usize..200) {
        let (from, to) = (from.min(GOOD.len()), (from + len).min(GOOD.len()));
        let text = format!("{}{}", &GOOD[..from], &GOOD[to..]);
        let lines = text.lines().count().max(1) + 1;
        if let Err(found) = parse_intent(&text) {
            proptest::prop_assert!(!found.is_empty());
            proptest::prop_assert!(found.iter().all(|m| (1..=lines).contains(&m.file_line)));
        }
    }
}
