//! The settings of duties towards the platform.

use rw_adapter::enable_duties;
use rw_gate::DutySettings;
use serde::Deserialize;
use std::net::SocketAddr;

/// Calls per second that the platform accepts, unless it is stated.
const CALLS_PER_S: f64 = 50.0;
/// Length of a window of usage reports, unless it is stated, in seconds.
const REPORT_WINDOW_S: f64 = 5.0;
/// Time after the end of a window at which its report is due, unless it is stated, in seconds.
const USAGE_LATE_S: f64 = 10.0;

/// The section `duties` of a settings file. All values are text, because a template leaves those
/// empty that a deployment does not have.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub(crate) struct DutyFields {
    /// `ip:port` of the platform's API.
    address: String,
    rate_per_s: String,
    /// Names of the duties, separated by commas.
    names: String,
    duties_per_s: String,
    require_fencing: String,
    report_window_s: String,
    usage_late_s: String,
}

impl DutyFields {
    /// The address of the platform's API, and the duties; none without an address.
    ///
    /// # Errors
    ///
    /// Names the field that is invalid, and what to give instead.
    pub(crate) fn into_settings(self) -> Result<(Option<SocketAddr>, DutySettings), String> {
        let mut settings = DutySettings::default();
        if self.address.is_empty() {
            return Ok((None, settings));
        }
        let addr = self.address.parse().map_err(|_| {
            let addr = &self.address;
            format!("duties.address is '{addr}'; give ip:port, or leave it empty")
        })?;
        let limit = positive("duties.duties-per-s", &self.duties_per_s, CALLS_PER_S)?;
        let rate = positive("duties.rate-per-s", &self.rate_per_s, limit)?;
        settings.calls_per_s = limit.min(rate);
        settings.requires_fencing = match self.require_fencing.as_str() {
            "true" => true,
            "false" | "" => false,
            text => {
                return Err(format!(
                    "duties.require-fencing is '{text}'; give true or false"
                ));
            }
        };
        let window_s = positive(
            "duties.report-window-s",
            &self.report_window_s,
            REPORT_WINDOW_S,
        )?;
        let late_s = positive("duties.usage-late-s", &self.usage_late_s, USAGE_LATE_S)?;
        settings.usage_late_ms = (late_s * 1e3) as u64;
        let window_ms = (window_s * 1e3) as u64;
        enable_duties(&mut settings, &self.names, window_ms).map_err(|name| {
            format!(
                "duties.names has '{name}', which is no duty; give those that this version knows"
            )
        })?;
        Ok((Some(addr), settings))
    }
}

/// A number greater than 0; `default` if `text` is empty.
fn positive(field: &str, text: &str, default: f64) -> Result<f64, String> {
    if text.is_empty() {
        return Ok(default);
    }
    let number = text.parse().ok();
    let valid = number.filter(|n: &f64| n.is_finite() && *n > 0.0);
    valid.ok_or_else(|| format!("{field} is '{text}'; give a number greater than 0"))
}
