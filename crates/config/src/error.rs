//! The errors of this layer and the small forms that settings and configurations share. Must never guess: what cannot
//! be read is an error that names the key, what was found and what is allowed.

use error_stack::Report;
use std::fmt;

/// Why a text was refused: the key, what stood there, and what may.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub key: String,
    pub found: String,
    pub allowed: &'static str,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}, allowed is {}", self.key, self.found, self.allowed)
    }
}

impl std::error::Error for ConfigError {}

/// A refusal that names `key`; what was found is cut to a line's length.
pub fn refuse(
    key: impl Into<String>,
    found: impl fmt::Display,
    allowed: &'static str,
) -> Report<ConfigError> {
    const MOST: usize = 160;
    let found: String = found.to_string().chars().take(MOST).collect();
    Report::new(ConfigError { key: key.into(), found, allowed })
}

/// `1500ms` or `2.5s` in seconds; none where it is neither, negative or not finite.
pub fn parse_seconds(text: &str) -> Option<f64> {
    let (digits, scale) = match text.strip_suffix("ms") {
        Some(digits) => (digits, 1e-3),
        None => (text.strip_suffix('s')?, 1.0),
    };
    let plain = digits.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    digits.parse::<f64>().ok().filter(|n| plain && n.is_finite()).map(|n| n * scale)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_carry_their_unit() {
        assert_eq!(parse_seconds("1500ms"), Some(1.5));
        assert_eq!(parse_seconds("2.5s"), Some(2.5));
        for bad in ["", "s", "5", "-1s", "1e3s", "infs", "1 s", "1m"] {
            assert_eq!(parse_seconds(bad), None, "{bad}");
        }
    }
}
