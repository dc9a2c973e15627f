//! Duties in the settings file of `relay`, as the template renders it with and without them.

use rw_test::run;
use std::{fs, path::PathBuf};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");
const TEMPLATE: &str = include_str!("../deploy/settings.toml.tmpl");

/// Values that every deployment has.
const VALUES: &[(&str, &str)] = &[
    ("node-name", "vm-1"),
    ("zone", "x"),
    ("listen-addresses.front", "127.0.0.1:1"),
    ("listen-addresses.ready", "127.0.0.1:2"),
    ("listen-addresses.control", "127.0.0.1:3"),
    ("ip-address", "127.0.0.1"),
    ("internal-port-range.0", "4"),
    ("platform.address", "127.0.0.1:5"),
    ("limits.file-descriptors", "4096"),
    ("limits.link-mbps", "100"),
    ("limits.memory-mb", "260"),
    ("bounds.drain-ms", "2000"),
    ("bounds.grace-s", "8"),
    ("bounds.retry-budget-ratio", "0.2"),
    ("bounds.retry-slack", "50"),
    ("bounds.budget-window-s", "10"),
];

struct Case {
    name: &'static str,
    values: &'static [(&'static str, &'static str)],
    code: i32,
    /// Parts of the output, or of the error.
    expected: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "no API",
        values: &[],
        code: 0,
        expected: &[
            "usage_window_ms: None",
            "sizes_fleet: false",
            "body_bytes: 65000000",
        ],
    },
    Case {
        name: "both duties, with the defaults",
        values: &[
            ("cloud.address", "127.0.0.1:6"),
            ("cloud.duties", "usage_reporting,autoscaling"),
        ],
        code: 0,
        expected: &[
            "usage_window_ms: Some(5000)",
            "usage_late_ms: 10000",
            "sizes_fleet: true",
            "calls_per_s: 50.0",
            "requires_fencing: false",
        ],
    },
    Case {
        name: "one duty, with other bounds",
        values: &[
            ("cloud.address", "127.0.0.1:6"),
            ("cloud.duties", "usage_reporting"),
            ("cloud.duties-per-s", "20"),
            ("bounds.require-fencing", "true"),
            ("bounds.report-window-s", "2.5"),
            ("bounds.usage-late-s", "7"),
        ],
        code: 0,
        expected: &[
            "usage_window_ms: Some(2500)",
            "usage_late_ms: 7000",
            "sizes_fleet: false",
            "calls_per_s: 20.0",
            "requires_fencing: true",
        ],
    },
    Case {
        name: "an unknown duty",
        values: &[("cloud.address", "127.0.0.1:6"), ("cloud.duties", "dance")],
        code: 2,
        expected: &["duties.names", "'dance'", "give"],
    },
    Case {
        name: "not an address",
        values: &[("cloud.address", "here")],
        code: 2,
        expected: &["duties.address", "'here'", "ip:port"],
    },
    Case {
        name: "a window of no length",
        values: &[
            ("cloud.address", "127.0.0.1:6"),
            ("bounds.report-window-s", "0"),
        ],
        code: 2,
        expected: &["duties.report-window-s", "'0'", "greater than 0"],
    },
];

/// Fills in the values of the template; what has none is empty, and sections are left out.
fn render(case: &Case) -> String {
    let mut text = String::new();
    for line in TEMPLATE.lines() {
        let mut line = line.to_owned();
        while let Some((start, rest)) = line.clone().split_once("{{#") {
            let (name, rest) = rest.split_once("}}").expect("the end of a tag");
            let end = format!("{{{{/{name}}}}}");
            let (_, rest) = rest.split_once(&end).expect("the end of a section");
            line = format!("{start}{rest}");
        }
        while let Some((start, rest)) = line.clone().split_once("{{") {
            let (name, rest) = rest.split_once("}}").expect("the end of a tag");
            let mut values = case.values.iter().chain(VALUES);
            let value = values.find(|(n, _)| *n == name).map_or("", |(_, v)| v);
            line = format!("{start}{value}{rest}");
        }
        text.push_str(&line);
        text.push('\n');
    }
    text
}

/// Guards against a settings file that can't be read where the deployment has no duties, and against
/// duties that are ignored or misread where it has.
#[test]
fn duties_are_read_as_the_template_renders_them() {
    for (i, case) in CASES.iter().enumerate() {
        let file = format!("duty-settings-{}-{i}.toml", std::process::id());
        let path: PathBuf = std::env::temp_dir().join(file);
        fs::write(&path, render(case)).expect("the file is written");
        let arg = path.display().to_string();
        let output = run(BINARY, &["check", "--relay", &arg], &[]).expect("it runs");
        fs::remove_file(&path).expect("the file is removed");
        assert_eq!(output.code, case.code, "{}: {output:?}", case.name);
        for part in case.expected {
            let text = format!("{}{}", output.stdout, output.stderr);
            assert!(text.contains(part), "{}: {part}: {output:?}", case.name);
        }
    }
}
