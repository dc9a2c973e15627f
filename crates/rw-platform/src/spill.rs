//! Row values that may be too large for a row and then lie in the object store.

use crate::{ObjectStore, PlatformError};
use serde::{Serialize, de::DeserializeOwned};

/// Longest value kept in a row, in bytes.
const MAX_ROW: usize = 32 << 10;
/// First word of a row value that names an object.
const MARK: &str = "object ";

/// The row value of `item`; a long one is written to the object store under its hash.
///
/// # Errors
///
/// Any [`PlatformError`].
pub async fn store_value<P: ObjectStore, T: Serialize>(
    objects: &P,
    item: &T,
) -> Result<String, PlatformError> {
    let body = serde_json::to_string(item).map_err(|_| PlatformError::Malformed)?;
    if body.len() <= MAX_ROW {
        return Ok(body);
    }
    // Named by content, so that writers that race write the same.
    let key = format!("spill/{}", blake3::hash(body.as_bytes()).to_hex());
    objects.write(&key, body.into_bytes()).await?;
    Ok(format!("{MARK}{key}"))
}

/// The item behind a row value that [`store_value`] made.
///
/// # Errors
///
/// Any [`PlatformError`].
pub async fn load_value<P: ObjectStore, T: DeserializeOwned>(
    objects: &P,
    value: &str,
) -> Result<T, PlatformError> {
    let Some(key) = value.strip_prefix(MARK) else {
        return serde_json::from_str(value).map_err(|_| PlatformError::Malformed);
    };
    let bytes = objects.read(key).await?.ok_or(PlatformError::Malformed)?;
    serde_json::from_slice(&bytes).map_err(|_| PlatformError::Malformed)
}
