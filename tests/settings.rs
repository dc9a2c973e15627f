//! An invalid setting is reported in one line that names it and the remedy, with exit code 2.

use rw_test::{SECRET_HEX, TOKEN, run};

const BINARY: &str = env!("CARGO_BIN_EXE_redwingweir");

struct Case {
    name: &'static str,
    command: &'static str,
    args: &'static [&'static str],
    expected: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        name: "not an address",
        command: "check",
        args: &["--listen", "here"],
        expected: &["--listen", "'here'", "ip:port"],
    },
    Case {
        name: "not a number",
        command: "check",
        args: &["--poll-ms", "soon"],
        expected: &["--poll-ms", "'soon'"],
    },
    Case {
        name: "an interval of zero",
        command: "check",
        args: &["--report-poll-ms", "0"],
        expected: &["--report-poll-ms", "'0'", "1 to"],
    },
    Case {
        name: "a lease no longer than twice its drift",
        command: "check",
        args: &["--lease-ms", "1000", "--drift-ms", "500"],
        expected: &["--lease-ms", "'1000'", "twice --drift-ms"],
    },
    Case {
        name: "a short token",
        command: "check",
        args: &["--token", "short"],
        expected: &["--token", "16 bytes"],
    },
    Case {
        name: "an unknown setting",
        command: "serve",
        args: &["--colour", "red"],
        expected: &["--colour", "--help"],
    },
    Case {
        name: "an unknown log level",
        command: "serve",
        args: &["--log", "loud"],
        expected: &["--log", "'loud'", "debug"],
    },
];

/// The required settings with valid values, without those in `args`.
fn required_except(args: &[&'static str]) -> Vec<&'static str> {
    let rest = [
        ["--vm", "vm-1"],
        ["--centre", "centre-a"],
        ["--platform", "127.0.0.1:1"],
        ["--token", TOKEN],
        ["--secret", SECRET_HEX],
    ];
    let missing = rest.iter().filter(|pair| !args.contains(&pair[0]));
    missing.flatten().copied().collect()
}

#[test]
fn an_invalid_setting_is_reported_in_one_line_with_its_remedy() {
    for case in CASES {
        let rest = required_except(case.args);
        let args = [&[case.command], case.args, &rest].concat();
        let output = run(BINARY, &args, &[]).expect("it runs");
        assert_eq!(output.code, 2, "{}: {output:?}", case.name);
        assert_eq!(
            output.stderr.lines().count(),
            1,
            "{}: {output:?}",
            case.name
        );
        for word in case.expected {
            assert!(output.stderr.contains(word), "{}: {output:?}", case.name);
        }
        assert!(!output.stderr.contains("short"), "{}: a secret", case.name);
    }
}

#[test]
fn a_port_in_use_is_reported_with_its_setting() {
    let held = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = held.local_addr().expect("its address").to_string();
    let rest = required_except(&[]);
    let args = [&["serve", "--peer-listen", &addr][..], &rest].concat();
    let args = [&args[..], &["--listen", "127.0.0.1:0"]].concat();
    let output = run(BINARY, &args, &[]).expect("it runs");
    assert_eq!(output.code, 2, "{output:?}");
    assert_eq!(output.stderr.lines().count(), 1, "{output:?}");
    assert!(
        output.stderr.contains(&format!("--peer-listen {addr}")),
        "{output:?}"
    );
}

#[test]
fn valid_settings_are_shown_with_their_source() {
    let args = [&["check"][..], &required_except(&["--vm"])].concat();
    let env = [("REDWINGWEIR_VM", "vm-9")];
    let output = run(BINARY, &args, &env).expect("it runs");
    assert_eq!(output.code, 0, "{output:?}");
    let vm = output.stdout.lines().find(|l| l.starts_with("vm "));
    let vm = vm.expect("a line of the setting");
    assert!(vm.contains("vm-9") && vm.contains("REDWINGWEIR_VM"), "{vm}");
    assert!(!output.stdout.contains(TOKEN), "{output:?}");
    assert!(!output.stdout.contains(SECRET_HEX), "{output:?}");
}
