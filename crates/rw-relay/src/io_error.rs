//! Errors for invalid or incomplete messages.

use std::io;

/// The other side sent data that is not valid HTTP.
pub(crate) fn malformed() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

/// The other side closed the connection in the middle of a message.
pub(crate) fn truncated() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}
