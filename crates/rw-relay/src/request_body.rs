//! Reads the body of a request into room that the node's budget has granted.

use crate::{BodyRoom, Connection, body::BodyReader};
use std::io;

/// Bytes by which the room of a body of unknown length grows.
const GROWTH_BYTES: usize = 64 << 10;

/// Why a body can't be read.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// It exceeds the limit for bodies.
    TooLarge,
    /// It has grown beyond the room that there is.
    NoRoom,
    /// The connection failed, or the chunks are malformed.
    Io(io::Error),
}

/// Bytes to reserve before a body of at most `max` bytes is read: all of a declared length, the first
/// part otherwise.
pub(crate) fn first_bytes(length: Option<u64>, max: usize) -> usize {
    let bytes = length.map_or(GROWTH_BYTES, |n| usize::try_from(n).unwrap_or(usize::MAX));
    bytes.min(max)
}

/// Reads a body of at most `max` bytes. The memory that it takes up never exceeds `room`.
pub(crate) async fn read_body(
    reader: &mut BodyReader,
    conn: &mut Connection,
    room: &mut BodyRoom,
    max: usize,
) -> Result<Vec<u8>, BodyError> {
    let mut body = Vec::with_capacity(room.bytes());
    while let Some(bytes) = reader.next(conn).await.map_err(BodyError::Io)? {
        let length = body.len() + bytes.len();
        if length > max {
            return Err(BodyError::TooLarge);
        }
        if length > room.bytes() {
            let grown = length.next_multiple_of(GROWTH_BYTES).min(max);
            if !room.grow_to(grown) {
                return Err(BodyError::NoRoom);
            }
            body.reserve_exact(grown - body.len());
        }
        body.extend_from_slice(&bytes);
    }
    Ok(body)
}
