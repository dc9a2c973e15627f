//! Reads the body of a response that is held until it is complete.

use crate::{BodyRoom, Connection, attempt::MAX_BUFFERED_BYTES, body::BodyReader};
use std::io;

/// Maximum size of a body whose length isn't declared. A longer one can't be told from bytes without
/// end.
const MAX_UNDECLARED_BYTES: usize = 4 << 20;
/// Bytes by which the room of a body beyond [`MAX_BUFFERED_BYTES`] grows.
const GROWTH_BYTES: usize = 256 << 10;

/// A body that is held, with the room that it takes up.
#[derive(Debug)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Vec<u8>,
    _room: BodyRoom,
}

/// Reads a full body.
///
/// # Errors
///
/// `FileTooLarge` if it exceeds [`MAX_UNDECLARED_BYTES`], `OutOfMemory` if the node has no more room
/// for bodies, or the failure of the connection.
pub(crate) async fn read_response_body(
    body: &mut BodyReader,
    conn: &mut Connection,
    mut room: BodyRoom,
) -> io::Result<HeldBody> {
    let mut bytes = Vec::new();
    while let Some(part) = body.next(conn).await? {
        let length = bytes.len() + part.len();
        if length > MAX_UNDECLARED_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        if length > room.bytes().max(MAX_BUFFERED_BYTES as usize) {
            let grown = length.next_multiple_of(GROWTH_BYTES);
            if !room.grow_to(grown) {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            bytes.reserve_exact(grown - bytes.len());
        }
        bytes.extend_from_slice(&part);
    }
    Ok(HeldBody { bytes, _room: room })
}
