//! Row values that are moved to the object store if they are too large for a row.

use crate::{ObjectStore, PlatformError};
use serde::{Serialize, de::DeserializeOwned};

/// Maximum size of a value kept in a row.
const MAX_ROW_BYTES: usize = 32 << 10;
/// Prefix of a row value that holds the key of an object.
const OBJECT_PREFIX: &str = "object ";

/// Encodes `item` as a row value. A large one is written to the object store under its hash, and
/// the row value refers to it.
///
/// # Errors
///
/// Any [`PlatformError`].
pub async fn store_value<P: ObjectStore, T: Serialize>(
    objects: &P,
    item: &T,
) -> Result<String, PlatformError> {
    let body = serde_json::to_string(item).map_err(|_| PlatformError::Malformed)?;
    if body.len() <= MAX_ROW_BYTES {
        return Ok(body);
    }
    // The key is a hash of the content, so that concurrent writers of a key write the same content.
    let key = format!("spill/{}", blake3::hash(body.as_bytes()).to_hex());
    objects.write(&key, body.into_bytes()).await?;
    Ok(format!("{OBJECT_PREFIX}{key}"))
}

/// Decodes a row value written by [`store_value`].
///
/// # Errors
///
/// Any [`PlatformError`].
pub async fn load_value<P: ObjectStore, T: DeserializeOwned>(
    objects: &P,
    value: &str,
) -> Result<T, PlatformError> {
    let Some(key) = value.strip_prefix(OBJECT_PREFIX) else {
        return serde_json::from_str(value).map_err(|_| PlatformError::Malformed);
    };
    let bytes = objects.read(key).await?.ok_or(PlatformError::Malformed)?;
    serde_json::from_slice(&bytes).map_err(|_| PlatformError::Malformed)
}
