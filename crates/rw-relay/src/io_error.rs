//! Errors of reading what a peer sent.

use std::io;

/// The peer sent what is not HTTP.
pub(crate) fn malformed() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

/// The peer ended in the middle.
pub(crate) fn truncated() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}
