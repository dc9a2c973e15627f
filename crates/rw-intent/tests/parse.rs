//! Parsing of intent files: valid files, and errors with their line and remedy.

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
fn the_examples_are_valid() {
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
fn engines_default_to_the_models_of_their_service() {
    let config = parse_intent(GOOD).expect("a valid file");
    assert_eq!(config.targets[0].models, ["small"]);
    assert_eq!(config.change_weight, 2.5);
}

#[test]
fn an_error_names_its_line_and_remedy() {
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
        line: usize,
        expected: &'static str,
    }
    let cases = [
        Case {
            name: "not TOML",
            from: "bytes = 1_000",
            to: "bytes =",
            line: 6,
            expected: "not TOML",
        },
        Case {
            name: "missing field",
            from: "version = \"1\"\n",
            to: "",
            line: 3,
            expected: "'version' is missing; add version =",
        },
        Case {
            name: "wrong type",
            from: "bytes = 1_000",
            to: "bytes = \"many\"",
            line: 6,
            expected: "'bytes' is not a non-negative integer; correct",
        },
        Case {
            name: "negative number",
            from: "deadline_ms = 2_000",
            to: "deadline_ms = -2",
            line: 26,
            expected: "'deadline_ms' is not a non-negative integer; correct",
        },
        Case {
            name: "unknown field",
            from: "centre = \"centre-a\"",
            to: "centre = \"centre-a\"\nzone = \"x\"",
            line: 17,
            expected: "'zone' is not a known field; remove it or use one of",
        },
        Case {
            name: "unknown list",
            from: "[[kinds]]",
            to: "[[sorts]]",
            line: 24,
            expected: "'sorts' is not a known field",
        },
        Case {
            name: "a table in place of a list",
            from: "[[kinds]]",
            to: "[kinds]",
            line: 24,
            expected: "'kinds' is not a list of tables",
        },
        Case {
            name: "unknown choice",
            from: "kind = \"engine\"\nmodels",
            to: "kind = \"motor\"\nmodels",
            line: 10,
            expected: "'kind' is not \"engine\" or \"plain\"; correct",
        },
        Case {
            name: "undeclared service",
            from: "service = \"chat\"",
            to: "service = \"chats\"",
            line: 13,
            expected: "service 'chats', which is not declared; declare it or correct",
        },
        Case {
            name: "undeclared model",
            from: "models = [\"small\"]",
            to: "models = [\"large\"]",
            line: 13,
            expected: "model 'large', which is not declared; declare",
        },
        Case {
            name: "address without port",
            from: "127.0.0.1:9000",
            to: "127.0.0.1",
            line: 13,
            expected: "give ip:port",
        },
        Case {
            name: "objective of one",
            from: "objective = 0.99",
            to: "objective = 1.0",
            line: 24,
            expected: "give a fraction above 0 and below 1",
        },
        Case {
            name: "not a number",
            from: "objective = 0.99",
            to: "objective = nan",
            line: 27,
            expected: "'objective' is not a number",
        },
        Case {
            name: "key in place of its hash",
            from: "keys = [\"00",
            to: "keys = [\"rw-00",
            line: 20,
            expected: "run 'redwingweir key mint'",
        },
        Case {
            name: "no key",
            from: "keys = [\"0000000000000000000000000000000000000000000000000000000000000000\"]",
            to: "keys = []",
            line: 20,
            expected: "give one, or two during a rotation",
        },
        Case {
            name: "duplicate",
            from: "[[kinds]]",
            to: "[[models]]\nname = \"small\"\nversion = \"2\"\nbytes = 1\n\n[[kinds]]",
            line: 24,
            expected: "model 'small' is declared twice; keep one",
        },
        Case {
            name: "a name with a slash",
            from: "name = \"desk\"",
            to: "name = \"desk/1\"",
            line: 20,
            expected: "rename it",
        },
        Case {
            name: "negative weight",
            from: "change_weight = 2.5",
            to: "change_weight = -2.5",
            line: 1,
            expected: "it is negative",
        },
    ];
    for case in cases {
        assert!(GOOD.contains(case.from), "{}", case.name);
        let text = GOOD.replacen(case.from, case.to, 1);
        let errors = parse_intent(&text).expect_err(case.name);
        let shown: Vec<_> = errors.iter().map(ToString::to_string).collect();
        let reported = errors
            .iter()
            .any(|m| m.file_line == case.line && m.kind.to_string().contains(case.expected));
        assert!(reported, "{}: {shown:?}", case.name);
    }
}

#[test]
fn all_errors_are_reported_at_once() {
    let text = GOOD
        .replace("version = \"1\"", "version = 1")
        .replace("kind = \"engine\"\nmodels", "kind = \"motor\"\nmodels")
        .replace("objective = 0.99", "objektive = 0.99");
    let errors = parse_intent(&text).expect_err("three errors");
    let lines: Vec<_> = errors.iter().map(|m| m.file_line).collect();
    // The misspelt field counts twice: as unknown, and the correct one as missing.
    assert_eq!(lines, [5, 10, 24, 27], "{errors:?}");
}

#[test]
fn all_invalid_values_are_reported_at_once() {
    let text = GOOD
        .replace("bytes = 1_000", "bytes = 0")
        .replace("127.0.0.1:9000", "nowhere")
        .replace("deadline_ms = 2_000", "deadline_ms = 0");
    let errors = parse_intent(&text).expect_err("three errors");
    let lines: Vec<_> = errors.iter().map(|m| m.file_line).collect();
    assert_eq!(lines, [3, 13, 24], "{errors:?}");
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() })]

    /// Whatever part of a file is missing, parsing gives a configuration or errors with valid lines.
    #[test]
    fn a_damaged_file_gives_a_configuration_or_errors_with_lines(from in 0usize..500, len in 0usize..200) {
        let (from, to) = (from.min(GOOD.len()), (from + len).min(GOOD.len()));
        let text = format!("{}{}", &GOOD[..from], &GOOD[to..]);
        let lines = text.lines().count().max(1) + 1;
        if let Err(errors) = parse_intent(&text) {
            proptest::prop_assert!(!errors.is_empty());
            proptest::prop_assert!(errors.iter().all(|m| (1..=lines).contains(&m.file_line)));
        }
    }
}
