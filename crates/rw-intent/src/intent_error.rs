//! Errors in an intent file.

use displaydoc::Display;
use rw_types::ConfigError;

/// {file_line}: {kind}
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub struct IntentError {
    /// Line number in the file, from 1.
    pub file_line: usize,
    /// Cause and remedy.
    pub kind: IntentErrorKind,
}

impl std::error::Error for IntentError {}

/// Cause of an error in an intent file. The message names the remedy.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum IntentErrorKind {
    /// not TOML: {0}; correct the line
    Syntax(String),
    /// {list}: '{field}' is missing; add {field} = {expected}
    MissingField {
        /// Singular name of the item's list.
        list: &'static str,
        /// Field name.
        field: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// {list}: '{field}' is not {expected}; correct the value
    InvalidField {
        /// Singular name of the item's list.
        list: &'static str,
        /// Field name.
        field: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
    /// {list}: '{field}' is not a known field; remove it or use one of {known}
    UnknownField {
        /// Singular name of the item's list.
        list: &'static str,
        /// Field name as given.
        field: String,
        /// Valid field names.
        known: String,
    },
    /// {0}
    Config(ConfigError),
    /// {list} '{name}': {reason}
    InvalidItem {
        /// Singular name of the item's list.
        list: &'static str,
        /// Name of the item.
        name: String,
        /// Cause and remedy.
        reason: String,
    },
}
