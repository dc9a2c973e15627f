//! Conversion of a configuration to an intent file.

use rw_types::Config;
use serde_json::json;

/// Text of an intent file that declares `config`.
#[must_use]
pub fn intent_text(config: &Config) -> String {
    let mut text = format!("change_weight = {:?}\n", config.change_weight);
    let lists = [
        ("models", json!(config.models)),
        ("services", json!(config.services)),
        ("targets", json!(config.targets)),
        ("accounts", json!(config.accounts)),
        ("kinds", json!(config.kinds)),
    ];
    for (table, entries) in lists {
        for entry in entries.as_array().into_iter().flatten() {
            text.push_str(&format!("\n[[{table}]]\n"));
            // JSON strings, numbers, booleans and lists of strings are valid TOML values.
            for (field, value) in entry.as_object().into_iter().flatten() {
                text.push_str(&format!("{field} = {value}\n"));
            }
        }
    }
    text
}
