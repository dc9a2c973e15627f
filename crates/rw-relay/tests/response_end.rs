//! How the end of a response is told from what was written of it.

use rw_relay::{ResponseEnd, Written};

#[test]
fn bytes_that_belong_to_no_response_are_told_from_a_cut_response() {
    struct Case {
        name: &'static str,
        /// Lengths that the heads declare.
        heads: &'static [Option<u64>],
        body: usize,
        is_finished: bool,
        end: ResponseEnd,
    }
    let cases = [
        Case {
            name: "nothing",
            heads: &[],
            body: 0,
            is_finished: false,
            end: ResponseEnd::Unwritten,
        },
        Case {
            name: "the whole length",
            heads: &[Some(9)],
            body: 9,
            is_finished: true,
            end: ResponseEnd::Complete,
        },
        Case {
            name: "chunks with a last one",
            heads: &[None],
            body: 9,
            is_finished: true,
            end: ResponseEnd::Complete,
        },
        Case {
            name: "a part of the length",
            heads: &[Some(9)],
            body: 4,
            is_finished: false,
            end: ResponseEnd::Cut,
        },
        Case {
            name: "chunks without a last one",
            heads: &[None],
            body: 4,
            is_finished: false,
            end: ResponseEnd::Cut,
        },
        Case {
            name: "a second head inside chunks",
            heads: &[None, Some(4)],
            body: 9,
            is_finished: true,
            end: ResponseEnd::Overwritten,
        },
        Case {
            name: "another body after a part of the length",
            heads: &[Some(9)],
            body: 13,
            is_finished: true,
            end: ResponseEnd::Overwritten,
        },
    ];
    for case in cases {
        let mut written = Written::default();
        case.heads.iter().for_each(|n| written.add_head(*n));
        written.add_body(case.body);
        let end = ResponseEnd::of(&written, case.is_finished);
        assert_eq!(end, case.end, "{}", case.name);
    }
}
