//! Mistakes of an intent file.

use displaydoc::Display;
use rw_types::ConfigError;

/// {file_line}: {reason}
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub struct Mistake {
    /// Line in the file, from 1.
    pub file_line: usize,
    /// What is wrong and its remedy.
    pub reason: Reason,
}

impl std::error::Error for Mistake {}

/// What is wrong. The text names the remedy.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Reason {
    /// not TOML: {0}; correct the line
    Syntax(String),
    /// {list}: '{field}' is missing; add {field} = {wanted}
    Missing {
        /// List of the item.
        list: &'static str,
        /// Field.
        field: &'static str,
        /// What belongs there.
        wanted: &'static str,
    },
    /// {list}: '{field}' is not {wanted}; correct the value
    Wrong {
        /// List of the item.
        list: &'static str,
        /// Field.
        field: &'static str,
        /// What belongs there.
        wanted: &'static str,
    },
    /// {list}: '{field}' is not a field; remove it or choose one of {known}
    Unknown {
        /// List of the item.
        list: &'static str,
        /// Field as written.
        field: String,
        /// Fields there are.
        known: String,
    },
    /// {0}
    Config(ConfigError),
    /// {list} '{name}': {why}
    Value {
        /// List of the item.
        list: &'static str,
        /// Name of the item.
        name: String,
        /// What is wrong and its remedy.
        why: String,
    },
}
