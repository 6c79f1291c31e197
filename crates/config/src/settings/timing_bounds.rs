//! Bounds by which operators judge the system: `TimingBounds` of the settings file, a list of `name=value`.

use crate::duration::parse_seconds;
use crate::error::{ConfigError, invalid_value};
use error_stack::Report;
use std::collections::HashMap;

/// Bounds by which operators judge the system. Durations are in seconds; a duration that the file leaves out is infinite.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimingBounds {
    /// `Ack`: an operator's call is acknowledged within this time.
    pub ack: f64,
    /// `CatchUp`: a machine that was replaced or has returned has its state again after this time, and no longer counts as
    /// lost.
    pub catch_up: f64,
    /// `Drain`: a draining host gets no new requests after this time.
    pub drain: f64,
    /// `Grace`: time for a process to exit after SIGTERM.
    pub grace: f64,
    /// `ConfigApply`: an acknowledged configuration is in force everywhere after this time.
    pub config_apply: f64,
    /// `Revoke`: a withdrawn key is rejected everywhere after this time.
    pub revoke: f64,
    /// `Evacuation`: an evacuated zone gets no new requests after this time.
    pub evacuation: f64,
    /// `RetryBudgetRatio`: retries allowed per request in a window of `budget_window`.
    pub retry_ratio: f64,
    /// `RetryBudgetSlack`: retries allowed in a window beyond those of `retry_ratio`.
    pub retry_slack: f64,
    /// `BudgetWindow`: length of the window of the retry budget.
    pub budget_window: f64,
    /// `QuotaWindow`: length of the window in which quotas are measured.
    pub quota_window: f64,
    /// `QuotaOverrun`: requests allowed beyond a quota, as a fraction of it.
    pub quota_overrun: f64,
    /// `QuotaSlack`: requests allowed beyond a quota and `quota_overrun`.
    pub quota_slack: f64,
    /// `ColdOverrun`: requests that a host may get while it warms up, as a multiple of its warm-up rate.
    pub warm_up_overrun: f64,
    /// `ColdSlack`: requests allowed beyond the warm-up rate times `warm_up_overrun`.
    pub warm_up_slack: f64,
    /// `ttl_max`: maximum time to live of the list of addresses that clients get.
    pub ttl_max: f64,
}

impl TimingBounds {
    /// Parses the elements of `TimingBounds`; each holds one or more `name=value`, separated by commas. Unknown names are
    /// ignored; if a name has two values, the later one applies.
    pub fn read(elements: &[String]) -> Result<TimingBounds, Report<ConfigError>> {
        let bounds = NamedBounds::parse(elements)?;
        Ok(TimingBounds {
            ack: bounds.seconds("Ack")?,
            catch_up: bounds.seconds("CatchUp")?,
            drain: bounds.seconds("Drain")?,
            grace: bounds.seconds("Grace")?,
            config_apply: bounds.seconds("ConfigApply")?,
            revoke: bounds.seconds("Revoke")?,
            evacuation: bounds.seconds("Evacuation")?,
            retry_ratio: bounds.number("RetryBudgetRatio", f64::INFINITY)?,
            retry_slack: bounds.number("RetryBudgetSlack", f64::INFINITY)?,
            budget_window: bounds.seconds("BudgetWindow")?,
            quota_window: bounds.seconds("QuotaWindow")?,
            quota_overrun: bounds.number("QuotaOverrun", 0.0)?,
            quota_slack: bounds.number("QuotaSlack", 0.0)?,
            warm_up_overrun: bounds.number("ColdOverrun", 1.0)?,
            warm_up_slack: bounds.number("ColdSlack", 0.0)?,
            ttl_max: bounds.seconds("ttl_max")?,
        })
    }
}

/// The values of the bounds as text, by name.
struct NamedBounds<'a>(HashMap<&'a str, &'a str>);

impl<'a> NamedBounds<'a> {
    fn parse(elements: &'a [String]) -> Result<NamedBounds<'a>, Report<ConfigError>> {
        let mut named = HashMap::new();
        for pair in elements.iter().flat_map(|element| element.split(',')) {
            let (name, value) =
                pair.split_once('=').ok_or_else(|| invalid_value("TimingBounds", pair, "name=value"))?;
            named.insert(name.trim(), value.trim());
        }
        Ok(NamedBounds(named))
    }

    /// The duration `name` in seconds; infinite if it is left out.
    fn seconds(&self, name: &str) -> Result<f64, Report<ConfigError>> {
        let Some(text) = self.0.get(name) else { return Ok(f64::INFINITY) };
        parse_seconds(text).ok_or_else(|| invalid_value(format!("TimingBounds.{name}"), text, "a time"))
    }

    /// The number `name`, which has to be finite and 0 or more; `default` if it is left out.
    fn number(&self, name: &str, default: f64) -> Result<f64, Report<ConfigError>> {
        let Some(text) = self.0.get(name) else { return Ok(default) };
        let number = text.parse::<f64>().ok().filter(|number| number.is_finite() && *number >= 0.0);
        let key = || format!("TimingBounds.{name}");
        number.ok_or_else(|| invalid_value(key(), text, "a number of 0 or more"))
    }
}
