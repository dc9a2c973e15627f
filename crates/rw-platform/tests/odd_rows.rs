//! Rows and responses with values that no node writes.

use rw_http::{Client, Limits, Listener, raw};
use rw_platform::{HttpPlatform, Table, VmList};
use std::{net::SocketAddr, time::Duration};

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
