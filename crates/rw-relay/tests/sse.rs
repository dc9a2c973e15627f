//! Events stay whole wherever the bytes are cut.

use proptest::prelude::*;
use rw_relay::EventSplitter;

/// What a stream of events 1 to `n` looks like, with lines that end either way.
fn stream(n: u64, end: &str) -> Vec<u8> {
    let event = |id| format!("id: {id}{end}data: some text {id}{end}{end}");
    (1..=n).map(event).collect::<String>().into_bytes()
}

proptest! {
    #[test]
    fn where_the_bytes_are_cut_does_not_matter(n in 1_u64..12, cuts in prop::collection::vec(0_usize..400, 0..20), crlf in any::<bool>()) {
        let bytes = stream(n, if crlf { "\r\n" } else { "\n" });
        let mut cuts: Vec<usize> = cuts.into_iter().filter(|c| *c < bytes.len()).collect();
        cuts.push(bytes.len());
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let (mut out, mut from) = (Vec::new(), 0);
        for cut in cuts {
            let piece = splitter.push(&bytes[from..cut]);
            // Whatever goes on to the caller ends with an event.
            prop_assert!(piece.is_empty() || piece.ends_with(b"\n\n") || piece.ends_with(b"\r\n\r\n"));
            out.extend(piece);
            from = cut;
        }
        prop_assert_eq!(out, bytes);
        prop_assert_eq!(splitter.last_id(), Some(n));
        prop_assert!(splitter.incomplete().is_empty());
    }

    #[test]
    fn an_event_that_the_caller_has_is_not_given_again(n in 1_u64..12, last in 0_u64..15) {
        let mut splitter = EventSplitter::after(Some(last));
        let out = splitter.push(&stream(n, "\n"));
        let given = String::from_utf8(out).expect("text").matches("id: ").count() as u64;
        prop_assert_eq!(given, n.saturating_sub(last));
    }
}

#[test]
fn what_is_no_whole_event_is_held() {
    let mut splitter = EventSplitter::default();
    assert!(splitter.push(b"id: 1\ndata: half").is_empty());
    assert_eq!(splitter.incomplete(), b"id: 1\ndata: half");
    assert_eq!(splitter.push(b"\n\n"), b"id: 1\ndata: half\n\n");
}
