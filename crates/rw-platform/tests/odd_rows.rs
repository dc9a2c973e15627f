//! Rows and responses with values that no node writes.

use rw_http::{Client, Limits, Listener, raw};
use rw_platform::{
    HttpPlatform, ObjectStore, PlatformError, Row, Rows, Table, Txn, TxnResponse, VmList,
    read_changes, read_head, write_snapshot,
};
use rw_types::{Config, Version};
use std::{
    net::SocketAddr,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Number of calls from which on a reader would go on without end.
const MAX_CALLS: u64 = 1_000;
/// Writes that one transaction may have.
const MAX_WRITES: usize = 1_000;

/// A table whose rows all have the same value.
#[derive(Default)]
struct Fake {
    value: &'static str,
    /// Whether a response lacks the rows.
    is_short: bool,
    calls: AtomicU64,
    written: Mutex<Vec<Txn>>,
}

impl Fake {
    fn with(value: &'static str) -> Self {
        Self {
            value,
            ..Self::default()
        }
    }

    fn written(&self) -> Vec<Txn> {
        let written = self.written.lock();
        written.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Table for Fake {
    async fn txn(&self, txn: &Txn) -> Result<TxnResponse, PlatformError> {
        let written = self.written.lock();
        written
            .unwrap_or_else(PoisonError::into_inner)
            .push(txn.clone());
        Ok(TxnResponse {
            version: Version(9),
            conflicts: Vec::new(),
        })
    }

    async fn get(&self, keys: Vec<String>) -> Result<Rows, PlatformError> {
        let calls = self.calls.fetch_add(1, Ordering::SeqCst);
        assert!(calls < MAX_CALLS, "the reader goes on without end");
        let row = |key| Row {
            key,
            value: self.value.to_owned(),
            version: Version(7),
        };
        let rows = keys.into_iter().filter(|_| !self.is_short).map(row);
        Ok(Rows {
            rows: rows.collect(),
        })
    }

    async fn scan(&self, _prefix: &str, _since: Version) -> Result<Rows, PlatformError> {
        Ok(Rows::default())
    }
}

impl ObjectStore for Fake {
    async fn read(&self, _key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        Ok(None)
    }

    async fn write(&self, _key: &str, _bytes: Vec<u8>) -> Result<(), PlatformError> {
        Ok(())
    }
}

/// Guards against a node that ends, or reads on without end, because of a version near the highest
/// number.
#[test]
fn changes_between_extreme_versions_are_read_to_an_end() {
    struct Case {
        since: u64,
        to: u64,
        is_short: bool,
        expected: Result<Option<usize>, PlatformError>,
    }
    let case = |since, to, is_short, expected| Case {
        since,
        to,
        is_short,
        expected,
    };
    let malformed = Err(PlatformError::Malformed);
    for case in [
        case(u64::MAX, u64::MAX, false, Ok(Some(0))),
        case(u64::MAX, 3, false, Ok(Some(0))),
        case(u64::MAX - 1, u64::MAX, false, Ok(None)),
        case(1, u64::MAX, false, Ok(None)),
        case(1, u64::MAX, true, malformed),
        case(1, 3, true, malformed),
    ] {
        let table = Fake {
            is_short: case.is_short,
            ..Fake::default()
        };
        let read = smol::block_on(read_changes(&table, Version(case.since), Version(case.to)));
        let read = read.map(|changes| changes.map(|c| c.len()));
        assert_eq!(read, case.expected, "{} to {}", case.since, case.to);
    }
}

/// Guards against a node that ends, and against a transaction without a bound, because of the version
/// of the latest snapshot.
#[test]
fn a_snapshot_is_written_whatever_the_version_of_the_latest_one() {
    struct Case {
        latest: &'static str,
        version: u64,
        is_written: bool,
    }
    let case = |latest, version, is_written| Case {
        latest,
        version,
        is_written,
    };
    for case in [
        case("", 10, false),
        case("", 64, true),
        case("64", 127, false),
        case("64", 128, true),
        case("18446744073709551615", 10, true),
        case("18446744073709551560", 200, true),
        case("18446744073709551616", 200, true),
        case("x", 200, true),
        case("", 1_000_000, true),
        case("", u64::MAX, true),
        case("64", u64::MAX, true),
    ] {
        let name = format!("{:?} to {}", case.latest, case.version);
        let table = Fake::with(case.latest);
        let config = Config {
            version: Version(case.version),
            ..Config::default()
        };
        let result = smol::block_on(write_snapshot(&table, &config));
        assert_eq!(result, Ok(()), "{name}");
        let written = table.written();
        assert_eq!(written.len(), usize::from(case.is_written), "{name}");
        for txn in written {
            assert!(txn.puts.len() <= MAX_WRITES, "{name}: {}", txn.puts.len());
            assert_eq!(txn.puts[0].value, case.version.to_string(), "{name}");
            assert_eq!(txn.checks[0].version, Version(7), "{name}");
        }
    }
}

/// Guards against versions that begin anew because the row with the latest one can't be read.
#[test]
fn an_odd_head_row_is_no_first_version() {
    for value in ["x", "-1", "18446744073709551616", "1e3", "{}", " "] {
        let head = smol::block_on(read_head(&Fake::with(value)));
        assert_eq!(head.err(), Some(PlatformError::Malformed), "{value}");
    }
    let head = smol::block_on(read_head(&Fake::with("")));
    assert_eq!(head.map(|(version, _)| version), Ok(Version(0)));
}

/// A platform that answers every call with `body`.
fn platform(body: &str) -> HttpPlatform {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::bind(any, Limits::default()).expect("a free port");
    let addr = listener.addr().expect("an address");
    let body = body.to_owned();
    smol::spawn(async move {
        let handler = move |_| {
            let body = body.clone();
            async move { raw(200, body.into_bytes(), "application/json") }
        };
        listener.run(handler).await;
    })
    .detach();
    HttpPlatform::new(Client::default(), addr.to_string(), Duration::from_secs(5))
}

/// JSON texts that are neither a row nor a VM. `KEY` stands for the key or name.
fn odd_entries() -> Vec<String> {
    let deep = format!("{}{}", "[".repeat(10_000), "]".repeat(10_000));
    let entries = [
        "7",
        "null",
        "{}",
        "1e400",
        "{\"key\":\"KEY\",\"value\":\"2\",\"version\":18446744073709551616}",
        "{\"key\":\"KEY\",\"value\":\"2\",\"version\":-1}",
        "{\"key\":\"KEY\",\"value\":7,\"version\":3}",
        "{\"key\":\"KEY\",\"value\":\"\\ud800\",\"version\":3}",
        "{\"name\":\"KEY\",\"centre\":\"x\",\"peer\":7}",
        "{\"name\":\"KEY\",\"centre\":\"x\",\"peer\":\"127.0.0.1:9\",\"leaving\":1e400}",
    ];
    let mut entries: Vec<String> = entries.iter().map(|e| (*e).to_owned()).collect();
    entries.push(format!(
        "{{\"key\":\"KEY\",\"value\":{deep},\"version\":3}}"
    ));
    entries.push(format!(
        "{{\"name\":\"KEY\",\"centre\":{deep},\"peer\":\"127.0.0.1:9\"}}"
    ));
    entries
}

/// Guards against sound rows that are lost because of an odd one, and against an odd one that is taken
/// for no row.
#[test]
fn an_odd_row_takes_no_other_row_with_it() {
    let sound = |key: &str| format!("{{\"key\":\"{key}\",\"value\":\"1\",\"version\":5}}");
    for odd in odd_entries() {
        let (first, last) = (sound("a"), sound("c"));
        let odd = odd.replace("KEY", "b");
        let platform = platform(&format!("{{\"rows\":[{first},{odd},{last}]}}"));
        let keys = ["a", "b", "c"].map(str::to_owned).to_vec();
        let rows = smol::block_on(platform.get(keys)).map(|rows| rows.rows);
        let rows = rows.unwrap_or_else(|error| panic!("{odd:.80}: {error}"));
        let values: Vec<&str> = rows.iter().map(|r| r.value.as_str()).collect();
        assert_eq!(
            (values.len(), values[0], values[2]),
            (3, "1", "1"),
            "{odd:.80}"
        );
        let is_json = serde_json::from_str::<serde_json::Value>(values[1]).is_ok();
        assert!(
            !values[1].is_empty() && !is_json,
            "{odd:.80}: {}",
            values[1]
        );
    }
}

/// Guards against a node that follows the list of VMs no more because of an odd entry.
#[test]
fn an_odd_vm_takes_no_other_vm_with_it() {
    let sound =
        |name: &str| format!("{{\"name\":\"{name}\",\"centre\":\"x\",\"peer\":\"127.0.0.1:9\"}}");
    for odd in odd_entries() {
        let (first, last) = (sound("a"), sound("c"));
        let platform = platform(&format!("[{first},{odd},{last}]"));
        let vms = smol::block_on(platform.vms());
        let vms = vms.unwrap_or_else(|error| panic!("{odd:.80}: {error}"));
        let names: Vec<&str> = vms.iter().map(|vm| vm.name.as_str()).collect();
        assert_eq!(names, ["a", "c"], "{odd:.80}");
    }
}
