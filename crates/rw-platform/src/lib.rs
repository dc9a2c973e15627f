//! Client of the platform's table service, object store and VM list, and the layout of the
//! configuration stored there.
//!
//! [`HttpPlatform`] implements the traits [`Table`], [`ObjectStore`] and [`VmList`] over HTTP. The
//! configuration is stored as a head row, one row per change and periodic snapshots; values too large
//! for a row are moved to the object store.

mod config_rows;
mod error;
mod http;
mod objects;
mod stored_value;
mod table;

pub use config_rows::{
    HEAD_KEY, SNAPSHOT_INTERVAL, accept_config, add_change, read_changes, read_config, read_head,
    version_key, write_snapshot,
};
pub use error::PlatformError;
pub use http::HttpPlatform;
pub use objects::ObjectStore;
pub use stored_value::{load_value, store_value};
pub use table::{Check, Get, Put, Row, Rows, Scan, Table, Txn, TxnResponse, VmList};
