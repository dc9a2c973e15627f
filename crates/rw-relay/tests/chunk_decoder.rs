//! The decoder returns the content of all chunks, wherever the body is split into reads.

use proptest::prelude::*;
use rw_relay::ChunkDecoder;

/// Decodes `body` in parts that end at `cuts`; returns the content, and the bytes that were used.
fn decode(body: &[u8], cuts: &[usize]) -> (Vec<u8>, usize, ChunkDecoder) {
    let mut decoder = ChunkDecoder::default();
    let mut cuts: Vec<usize> = cuts.iter().copied().filter(|c| *c < body.len()).collect();
    cuts.push(body.len());
    cuts.sort_unstable();
    let (mut content, mut used) = (Vec::new(), 0);
    for cut in cuts {
        used += decoder.decode(&body[used..cut.max(used)]);
        content.extend(decoder.take().unwrap_or_default());
    }
    (content, used, decoder)
}

proptest! {
    #[test]
    fn the_content_is_the_same_for_any_read_boundaries(
        chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..40), 0..12),
        cuts in prop::collection::vec(0_usize..600, 0..30),
        extension in "(;[a-z]{0,8})?",
        next in "[A-Z]{0,20}",
    ) {
        let mut body = Vec::new();
        for chunk in &chunks {
            body.extend(format!("{:X}{extension}\r\n", chunk.len()).into_bytes());
            body.extend(chunk);
            body.extend(b"\r\n");
        }
        body.extend(b"0\r\nx-trailer: 1\r\n\r\n");
        let length = body.len();
        body.extend(next.as_bytes());
        let (content, used, decoder) = decode(&body, &cuts);
        prop_assert_eq!(content, chunks.concat());
        prop_assert_eq!(used, length);
        prop_assert!(decoder.has_ended() && !decoder.is_malformed());
    }
}

#[test]
fn what_is_no_chunk_is_not_taken_for_content() {
    struct Case {
        name: &'static str,
        body: String,
        content: &'static str,
    }
    let cases = [
        Case {
            name: "a size that is no number",
            body: "1\r\na\r\nx\r\nb\r\n".to_owned(),
            content: "a",
        },
        Case {
            name: "no size",
            body: "\r\n".to_owned(),
            content: "",
        },
        Case {
            name: "a sign",
            body: "+1\r\na\r\n".to_owned(),
            content: "",
        },
        Case {
            name: "a size over the largest number",
            body: "10000000000000000\r\na".to_owned(),
            content: "",
        },
        Case {
            name: "content beyond its size",
            body: "1\r\nab\r\n".to_owned(),
            content: "",
        },
        Case {
            name: "a bare line feed",
            body: "1\na\n".to_owned(),
            content: "",
        },
        Case {
            name: "a line without end",
            body: format!("1;{}", "x".repeat(2_000)),
            content: "",
        },
        Case {
            name: "extensions without end",
            body: format!("1;{}\r\na\r\n", "x".repeat(900)).repeat(20),
            content: "aaaaaaaaaaaaaaaaaa",
        },
        Case {
            name: "trailers without end",
            body: format!("1\r\na\r\n0\r\n{}", "x: y\r\n".repeat(4_000)),
            content: "a",
        },
    ];
    for case in cases {
        let body = case.body.as_bytes();
        let single: Vec<usize> = (0..body.len()).collect();
        for cuts in [&[][..], &single] {
            let (content, _, decoder) = decode(body, cuts);
            let text = String::from_utf8_lossy(&content);
            assert_eq!(text, case.content, "{}", case.name);
            assert!(decoder.is_malformed(), "{}", case.name);
        }
    }
}
