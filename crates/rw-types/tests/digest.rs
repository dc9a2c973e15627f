//! Fingerprints.

use rw_types::{fingerprint, fingerprint_parts};

/// Nodes of different versions compare fingerprints, so that the value must not depend on the parts.
#[test]
fn parts_have_the_fingerprint_of_the_whole() {
    let cases: [&[&[u8]]; 4] = [&[], &[b"one"], &[b"POST", &[0], b"/a"], &[b"", b"x", b""]];
    for parts in cases {
        let whole = fingerprint(&parts.concat());
        assert_eq!(fingerprint_parts(parts.iter().copied()), whole, "{parts:?}");
    }
}
