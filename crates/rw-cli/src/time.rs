//! Formats points in time.

/// Seconds per day.
const DAY_SECONDS: u64 = 86_400;

/// Formats seconds since the Unix epoch as a UTC date and time.
#[must_use]
pub fn format_utc(seconds: u64) -> String {
    let (days, second_of_day) = (seconds / DAY_SECONDS, seconds % DAY_SECONDS);
    // Years are counted from March, so that the leap day is the last day of a year. 1970-01-01 is
    // 719,468 days after 0000-03-01, and an era of 400 years has 146,097 days.
    let day = days + 719_468;
    let era = day / 146_097;
    let day_of_era = day % 146_097;
    let year = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year + year / 4 - year / 100);
    let march_month = (5 * day_of_year + 2) / 153;
    let date = day_of_year - (153 * march_month + 2) / 5 + 1;
    let month = if march_month < 10 {
        march_month + 3
    } else {
        march_month - 9
    };
    let year = year + era * 400 + u64::from(month <= 2);
    let (hour, minute, second) = (
        second_of_day / 3_600,
        second_of_day / 60 % 60,
        second_of_day % 60,
    );
    format!("{year:04}-{month:02}-{date:02}T{hour:02}:{minute:02}:{second:02}Z")
}
