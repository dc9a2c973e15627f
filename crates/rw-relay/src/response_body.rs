//! Reads the body of a response that is held until it is complete.

use crate::{BodyRoom, Connection, Framing, attempt::MAX_BUFFERED_BYTES, body::BodyReader};
use std::io;

/// Maximum size of a body whose length isn't declared. A longer one can't be told from bytes without
/// end.
const MAX_UNDECLARED_BYTES: usize = 4 << 20;
/// Size of a body, or of the part of a stream that is held, that takes no room. Any number of targets may
/// send bytes without end at once.
pub(crate) const FREE_BYTES: usize = 64 << 10;
/// Bytes by which the room of a longer body grows.
const GROWTH_BYTES: usize = 256 << 10;

/// A body that is held, with the room that it takes up.
#[derive(Debug)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Vec<u8>,
    _room: BodyRoom,
}

/// Reads a full body. One whose length isn't declared takes room beyond [`FREE_BYTES`].
///
/// # Errors
///
/// `FileTooLarge` if it exceeds [`MAX_UNDECLARED_BYTES`], `OutOfMemory` if the node has no more room
/// for bodies, or the failure of the connection.
pub(crate) async fn read_response_body(
    (body, framing): (&mut BodyReader, Framing),
    conn: &mut Connection,
    mut room: BodyRoom,
) -> io::Result<HeldBody> {
    let free = match framing {
        Framing::Length(_) => MAX_BUFFERED_BYTES as usize,
        Framing::Chunked | Framing::Close => FREE_BYTES,
    };
    let mut bytes: Vec<u8> = Vec::new();
    while let Some(part) = body.next(conn).await? {
        let length = bytes.len() + part.len();
        if length > MAX_UNDECLARED_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        if length > bytes.capacity() {
            let size = next_size(length);
            if size > free && !room.grow_to(size) {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            bytes.reserve_exact(size - bytes.len());
        }
        bytes.extend_from_slice(&part);
    }
    Ok(HeldBody { bytes, _room: room })
}

/// Size of the memory for a body of at least `bytes` bytes.
fn next_size(bytes: usize) -> usize {
    match bytes {
        0..=FREE_BYTES => bytes.next_power_of_two(),
        _ => bytes.next_multiple_of(GROWTH_BYTES),
    }
}
