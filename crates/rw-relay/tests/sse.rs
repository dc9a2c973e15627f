//! The splitter returns complete events, wherever the stream is split into reads.

use proptest::prelude::*;
use rw_relay::EventSplitter;
use std::time::{Duration, Instant};

/// Time that the bytes of an event of [`LONG_EVENT_BYTES`] may take, one at a time.
const LONG_EVENT_TIME: Duration = Duration::from_secs(2);
const LONG_EVENT_BYTES: usize = 256 << 10;

/// A stream of events 1 to `n` whose lines end in `end`.
fn stream(n: u64, end: &str) -> Vec<u8> {
    let event = |id| format!("id: {id}{end}data: some text {id}{end}{end}");
    (1..=n).map(event).collect::<String>().into_bytes()
}

proptest! {
    #[test]
    fn events_are_complete_for_any_read_boundaries(n in 1_u64..12, cuts in prop::collection::vec(0_usize..400, 0..20), crlf in any::<bool>()) {
        let bytes = stream(n, if crlf { "\r\n" } else { "\n" });
        let mut cuts: Vec<usize> = cuts.into_iter().filter(|c| *c < bytes.len()).collect();
        cuts.push(bytes.len());
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let (mut out, mut from) = (Vec::new(), 0);
        for cut in cuts {
            let events = splitter.push(&bytes[from..cut]);
            // Output must end at an event boundary, because it is forwarded to the caller at once.
            prop_assert!(events.is_empty() || events.ends_with(b"\n\n") || events.ends_with(b"\r\n\r\n"));
            out.extend(events);
            from = cut;
        }
        prop_assert_eq!(out, bytes);
        prop_assert_eq!(splitter.last_id(), Some(n));
        prop_assert!(splitter.incomplete().is_empty());
    }

    #[test]
    fn events_up_to_last_id_are_dropped(n in 1_u64..12, last in 0_u64..15) {
        let mut splitter = EventSplitter::after(Some(last));
        let out = splitter.push(&stream(n, "\n"));
        let returned = String::from_utf8(out).expect("text").matches("id: ").count() as u64;
        prop_assert_eq!(returned, n.saturating_sub(last));
    }
}

#[test]
fn incomplete_event_is_buffered() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b"id: 1\ndata: half").is_empty());
    assert_eq!(splitter.incomplete(), b"id: 1\ndata: half");
    assert_eq!(splitter.push(b"\n\n"), b"id: 1\ndata: half\n\n");
}

#[test]
fn events_without_identifiers_leave_no_place_to_go_on_from() {
    struct Case {
        name: &'static str,
        text: &'static str,
        position: Option<u64>,
        is_unplaced: bool,
    }
    let cases = [
        Case {
            name: "identifiers",
            text: "id: 3\ndata: d\n\n",
            position: Some(3),
            is_unplaced: false,
        },
        Case {
            name: "a repeated event",
            text: "id: 2\ndata: d\n\n",
            position: Some(2),
            is_unplaced: false,
        },
        Case {
            name: "none",
            text: "data: d\n\n",
            position: None,
            is_unplaced: true,
        },
        Case {
            name: "none before the first",
            text: "data: d\n\nid: 3\ndata: d\n\n",
            position: Some(3),
            is_unplaced: true,
        },
        Case {
            name: "none after the last",
            text: "id: 3\ndata: d\n\ndata: d\r\n\r\n",
            position: None,
            is_unplaced: false,
        },
        Case {
            name: "two in one event",
            text: "id: 2\nid: 3\ndata: d\n\n",
            position: Some(3),
            is_unplaced: false,
        },
        Case {
            name: "none by the last one of an event",
            text: "id: 3\nid: x\ndata: d\n\n",
            position: None,
            is_unplaced: true,
        },
        Case {
            name: "comments",
            text: ": a\n\n: b\r\n\r\n",
            position: Some(2),
            is_unplaced: false,
        },
    ];
    for case in cases {
        let mut splitter = EventSplitter::after(Some(2));
        splitter.push(case.text.as_bytes());
        let seen = (splitter.position(), splitter.is_unplaced());
        assert_eq!(seen, (case.position, case.is_unplaced), "{}", case.name);
    }
}

/// Guards against a search of the whole event for each of its chunks.
#[test]
fn a_long_event_in_single_bytes_is_not_searched_again_for_each() {
    let mut splitter = EventSplitter::default();
    let started = Instant::now();
    for _ in 0..LONG_EVENT_BYTES {
        assert!(splitter.push(b"x").is_empty());
    }
    assert_eq!(splitter.push(b"\n\n").len(), LONG_EVENT_BYTES + 2);
    let took = started.elapsed();
    assert!(took < LONG_EVENT_TIME, "{took:?}");
}
