//! Why a settings object is refused.

use std::fmt;

/// A wrong value in a settings object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the key, as `classes.0.effect`.
    pub key: String,
    /// What is wrong with its value.
    pub problem: Problem,
}

/// What is wrong with a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The key is needed and absent.
    Missing,
    /// Not a number.
    NotANumber,
    /// A number below 0, or not finite.
    NegativeOrInfinite,
    /// Neither `true` nor `false`.
    NotABoolean,
    /// A list with more entries than are supported.
    TooMany,
    /// Not a fraction from 0 to 1.
    NotAFraction,
    /// None of the words that are allowed here.
    UnknownValue,
    /// A cap on attempts open at once, which is not supported.
    UnsupportedCap,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.problem)
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Problem::Missing => "missing",
            Problem::NotANumber => "not a number",
            Problem::NegativeOrInfinite => "negative or infinite",
            Problem::NotABoolean => "neither true nor false",
            Problem::TooMany => "too many",
            Problem::NotAFraction => "a share, 0 to 1",
            Problem::UnknownValue => "unknown",
            Problem::UnsupportedCap => {
                "a cap on hand-offs open at once is not kept; give the plan a rate, or 0 here"
            }
        })
    }
}

impl std::error::Error for SettingsError {}
