//! Errors of a settings object.

use std::fmt;

/// A wrong value in a settings object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Path of the key, such as `classes.0.effect`.
    pub key: String,
    /// What is wrong with its value.
    pub problem: Problem,
}

/// What is wrong with a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The key is required and absent.
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
    /// Not one of the allowed words.
    UnknownValue,
    /// A limit on concurrent attempts, which is not supported.
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
            Problem::TooMany => "too many entries",
            Problem::NotAFraction => "not a fraction from 0 to 1",
            Problem::UnknownValue => "unknown value",
            Problem::UnsupportedCap => {
                "a limit on concurrent attempts is not supported; set a rate for the plan, or 0 here"
            }
        })
    }
}

impl std::error::Error for SettingsError {}
