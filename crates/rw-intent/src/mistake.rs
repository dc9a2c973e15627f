//! Mistakes of an intent file.

use displaydoc::Display;
use rw_types::ConfigError;

/// {file_line}: {kind}
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub struct IntentError {
    /// Line in the file, from 1.
    pub file_line: usize,
    /// What is wrong and its remedy.
    pub kind: IntentErrorKind,
}

impl std::error::Error for IntentError {}

/// What is wrong. The text names the remedy.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum IntentErrorKind {
    /// not TOML: {0}; correct the line
    Syntax(String),
    /// {list}: '{field}' is missing; add {field} = {expected}
    MissingField {
        /// List of the item.
        list: &'static str,
        /// Field.
        field: &'static str,
        /// What belongs there.
        expected: &'static str,
    },
    /// {list}: '{field}' is not {expected}; correct the value
    InvalidField {
        /// List of the item.
        list: &'static str,
        /// Field.
        field: &'static str,
        /// What belongs there.
        expected: &'static str,
    },
    /// {list}: '{field}' is not a field; remove it or choose one of {known}
    UnknownField {
        /// List of the item.
        list: &'static str,
        /// Field as written.
        field: String,
        /// Fields there are.
        known: String,
    },
    /// {0}
    Config(ConfigError),
    /// {list} '{name}': {reason}
    InvalidItem {
        /// List of the item.
        list: &'static str,
        /// Name of the item.
        name: String,
        /// What is wrong and its remedy.
        reason: String,
    },
}
