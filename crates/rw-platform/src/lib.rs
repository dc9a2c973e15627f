//! Clients of the platform: table service, object store, VM list and weight store.

mod config_rows;
mod error;
mod http;
mod table;

pub use config_rows::{HEAD_KEY, accept_config, read_config, read_head, version_key};
pub use error::PlatformError;
pub use http::HttpPlatform;
pub use table::{Check, Get, Put, Row, Rows, Scan, Table, Txn, TxnReply, VmList};
