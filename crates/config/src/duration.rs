//! Durations as operators write them: a number with the unit `ms` or `s`.

const SECONDS_PER_MILLISECOND: f64 = 1e-3;

/// Parses a duration such as `1500ms` or `2.5s` into seconds.
///
/// Only digits and a decimal point may precede the unit. Returns `None` for anything else: a missing or unknown unit, a
/// sign, an exponent, a number that is not finite.
pub fn parse_seconds(text: &str) -> Option<f64> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, SECONDS_PER_MILLISECOND),
        None => (text.strip_suffix('s')?, 1.0),
    };
    if !number.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
        return None;
    }
    number.parse::<f64>().ok().filter(|number| number.is_finite()).map(|number| number * unit)
}
