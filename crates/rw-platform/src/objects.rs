//! Interface of the object store.

use crate::{HttpPlatform, PlatformError};
use std::future::Future;

/// The object store, for values too large for a row.
pub trait ObjectStore {
    /// Reads an object; `None` if it does not exist.
    fn read(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<Option<Vec<u8>>, PlatformError>> + Send;
    /// Writes an object; idempotent.
    fn write(
        &self,
        key: &str,
        bytes: Vec<u8>,
    ) -> impl Future<Output = Result<(), PlatformError>> + Send;
}

impl ObjectStore for HttpPlatform {
    async fn read(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        self.object(key).await
    }

    async fn write(&self, key: &str, bytes: Vec<u8>) -> Result<(), PlatformError> {
        self.put_object(key, bytes).await
    }
}
