//! Times as people read them.

/// Seconds of a day.
const DAY: u64 = 86_400;

/// Seconds since 1970 as date and time, UTC.
#[must_use]
pub fn utc(seconds: u64) -> String {
    let (days, rest) = (seconds / DAY, seconds % DAY);
    // Years counted from March, so that the leap day is the last of a year.
    let day = days + 719_468;
    let era = day / 146_097;
    let in_era = day % 146_097;
    let year = (in_era - in_era / 1_460 + in_era / 36_524 - in_era / 146_096) / 365;
    let in_year = in_era - (365 * year + year / 4 - year / 100);
    let from_march = (5 * in_year + 2) / 153;
    let date = in_year - (153 * from_march + 2) / 5 + 1;
    let month = if from_march < 10 {
        from_march + 3
    } else {
        from_march - 9
    };
    let year = year + era * 400 + u64::from(month <= 2);
    let (hour, minute, second) = (rest / 3_600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{date:02}T{hour:02}:{minute:02}:{second:02}Z")
}
