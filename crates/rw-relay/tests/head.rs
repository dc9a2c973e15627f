//! A head with more than one interpretation must be rejected: node and target could disagree on
//! where a request ends, so that part of one caller's body would pass for a request of its own.

use proptest::prelude::*;
use rw_relay::{Framing, HeadError, RequestHead, ResponseHead};

struct Case {
    name: &'static str,
    headers: &'static str,
    framing: Result<Framing, HeadError>,
}

#[test]
fn request_framing_is_unambiguous_or_rejected() {
    let cases = [
        Case {
            name: "no framing headers",
            headers: "",
            framing: Ok(Framing::Length(0)),
        },
        Case {
            name: "a length",
            headers: "Content-Length: 12\r\n",
            framing: Ok(Framing::Length(12)),
        },
        Case {
            name: "chunked",
            headers: "Transfer-Encoding: Chunked\r\n",
            framing: Ok(Framing::Chunked),
        },
        Case {
            name: "the same length twice",
            headers: "Content-Length: 1\r\nContent-Length: 1\r\n",
            framing: Err(HeadError::Framing),
        },
        Case {
            name: "a list of lengths",
            headers: "Content-Length: 1, 1\r\n",
            framing: Err(HeadError::Framing),
        },
        Case {
            name: "an empty length",
            headers: "Content-Length: \r\n",
            framing: Err(HeadError::Framing),
        },
        Case {
            name: "a length that overflows u64",
            headers: "Content-Length: 99999999999999999999\r\n",
            framing: Err(HeadError::Framing),
        },
        Case {
            name: "chunked twice",
            headers: "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            framing: Err(HeadError::Framing),
        },
        Case {
            name: "chunked and a length",
            headers: "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n",
            framing: Err(HeadError::Framing),
        },
        Case {
            name: "a space before the colon",
            headers: "Content-Length : 1\r\n",
            framing: Err(HeadError::Malformed),
        },
    ];
    for case in cases {
        let head = format!("POST /a HTTP/1.1\r\nHost: a\r\n{}\r\n", case.headers);
        let parsed = RequestHead::parse(head.as_bytes()).map(|h| h.framing);
        assert_eq!(parsed, case.framing, "{}", case.name);
    }
}

#[test]
fn a_response_head_with_a_second_status_line_is_rejected() {
    struct Case {
        name: &'static str,
        head: &'static str,
        is_valid: bool,
    }
    let cases = [
        Case {
            name: "in the reason",
            head: "HTTP/1.1 200 OHTTP/1.1 500 Internal Server Error\r\nA: b\r\n\r\n",
            is_valid: false,
        },
        Case {
            name: "in a value",
            head: "HTTP/1.1 200 OK\r\nA: HTTP/1.0 500\r\nContent-Length: 1\r\n\r\n",
            is_valid: false,
        },
        Case {
            name: "a version without a status",
            head: "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy, HTTP/1.0 200x\r\n\r\n",
            is_valid: true,
        },
    ];
    for case in cases {
        let parsed = ResponseHead::parse(case.head.as_bytes(), "GET");
        assert_eq!(parsed.is_ok(), case.is_valid, "{}", case.name);
    }
}

#[test]
fn a_response_head_with_bytes_behind_its_end_is_rejected() {
    struct Case {
        head: &'static str,
        is_valid: bool,
    }
    let cases = [
        Case {
            head: "HTTP/1.1 200 OK\r\nContent-Length: 9\n\r\nfirst\r\n\r\n",
            is_valid: false,
        },
        Case {
            head: "HTTP/1.1 200 OK\n\r\nfirst\r\n\r\n",
            is_valid: false,
        },
        Case {
            head: "HTTP/1.1 200 OK\nContent-Length: 9\r\n\r\n",
            is_valid: true,
        },
    ];
    for case in cases {
        let parsed = ResponseHead::parse(case.head.as_bytes(), "GET");
        assert_eq!(parsed.is_ok(), case.is_valid, "{}", case.head);
    }
}

#[test]
fn response_without_length_ends_with_its_connection() {
    struct Case {
        method: &'static str,
        head: &'static str,
        framing: Framing,
        keep: bool,
    }
    let cases = [
        Case {
            method: "GET",
            head: "HTTP/1.1 200 OK\r\n\r\n",
            framing: Framing::Close,
            keep: false,
        },
        Case {
            method: "HEAD",
            head: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
            framing: Framing::Length(0),
            keep: true,
        },
        Case {
            method: "GET",
            head: "HTTP/1.1 204 No Content\r\n\r\n",
            framing: Framing::Length(0),
            keep: true,
        },
        Case {
            method: "GET",
            head: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: Close\r\n\r\n",
            framing: Framing::Length(9),
            keep: false,
        },
        Case {
            method: "GET",
            head: "HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\n",
            framing: Framing::Length(9),
            keep: false,
        },
    ];
    for case in cases {
        let head = ResponseHead::parse(case.head.as_bytes(), case.method).expect(case.head);
        assert_eq!(
            (head.framing, head.keep_alive),
            (case.framing, case.keep),
            "{}",
            case.head
        );
    }
}

proptest! {
    #[test]
    fn parsing_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _any_result = RequestHead::parse(&bytes);
        let _any_result = ResponseHead::parse(&bytes, "GET");
    }

    #[test]
    fn request_with_bare_line_feed_is_rejected(at in 0_usize..60) {
        let mut head = b"GET /a HTTP/1.1\r\nHost: a\r\nX-Some: other\r\nY: z\r\n\r\n".to_vec();
        let at = at.min(head.len() - 1);
        head.insert(at, b'\n');
        prop_assert!(RequestHead::parse(&head).is_err());
    }
}
