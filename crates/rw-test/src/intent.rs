//! A configuration as an intent file.

use rw_types::Config;
use serde_json::json;

/// The text of an intent file that declares `config`.
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
    for (list, items) in lists {
        for item in items.as_array().into_iter().flatten() {
            text.push_str(&format!("\n[[{list}]]\n"));
            // A JSON text, number, truth value or list of texts is one of TOML too.
            for (field, value) in item.as_object().into_iter().flatten() {
                text.push_str(&format!("{field} = {value}\n"));
            }
        }
    }
    text
}
