//! The settings object of a deployment, read into the admission module's types, once, for every driver.
//!
//! It comes as lines of `path=value` or as nested JSON of the same names. Unknown keys are ignored; a wrong value is an
//! error that names its key. This package owns the names and units of the settings and has no default that steers a
//! decision.

mod error;
mod values;

pub use error::{Problem, SettingsError};

use archlink_admission::interface::*;
use serde_json::Value;
use values::{Values, refuse};

/// Where the settings name no time for a connection to a host to come up, in microseconds.
const CONNECT_TIMEOUT: f64 = 250_000.0;
/// Where they name no time after which hosts close idle connections, in microseconds.
const IDLE_CLOSE: f64 = 15_000_000.0;
/// Where they name no longest wait between two subscriptions, in microseconds.
const MUST_ASK_IN: f64 = 1e7;

/// The module's settings, and what a driver needs to read and write its own protocol.
#[derive(Clone, Debug)]
pub struct ParsedSettings {
    /// For the admission module.
    pub admission: AdmissionSettings,
    /// Names of the request classes, by index.
    pub classes: Vec<String>,
    /// Names of the plans, by index.
    pub plans: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of the kinds of hosts, by index.
    pub kinds: Vec<String>,
    /// Names of the values in a host's load report.
    pub load_report_fields: Vec<String>,
    /// Seconds for a connection to a host to come up.
    pub connect_timeout: f64,
    /// Seconds after which hosts close idle connections.
    pub idle_close: f64,
}

/// Sets one value of a host's load report, by the name that the settings give it; unknown names are ignored.
pub fn set_load_field(load: &mut Load, name: &str, value: f64) {
    match name {
        "busy" | "util" => load.util = Some(value),
        "lat_ms" | "latency_ms" => load.service = Some(value / 1e3),
        _ => {}
    }
}

/// Reads settings from lines of `path=value`.
///
/// # Errors
/// The key of the first wrong value, and what is wrong with it.
pub fn from_lines(text: &str) -> Result<ParsedSettings, SettingsError> {
    parse(&Values::from_lines(text))
}

/// Reads settings from nested JSON.
///
/// # Errors
/// As [`from_lines`]; a plan's cap on attempts open at once is refused as well.
pub fn from_json(settings: &Value) -> Result<ParsedSettings, SettingsError> {
    let values = Values::from_json(settings);
    for n in 0..values.count("contracts.count")? {
        let key = format!("contracts.{n}.max-out");
        if values.number_or(&key, 0.0)? > 0.0 {
            return Err(refuse(key, Problem::UnsupportedCap));
        }
    }
    parse(&values)
}

fn parse(values: &Values) -> Result<ParsedSettings, SettingsError> {
    let classes = (0..values.count("classes.count")?).map(|n| class(values, n)).collect::<Result<_, _>>()?;
    let plans = (0..values.count("contracts.count")?).map(|n| plan(values, n)).collect::<Result<_, _>>()?;
    Ok(ParsedSettings {
        admission: admission(values, classes, plans)?,
        classes: values.names("classes")?,
        plans: values.names("contracts")?,
        zones: values.list("zones"),
        kinds: values.list("kinds"),
        load_report_fields: values.list("telemetry.fields"),
        connect_timeout: values.seconds_or("limits.connect-timeout-us", CONNECT_TIMEOUT)?,
        idle_close: values.seconds_or("limits.idle-close-us", IDLE_CLOSE)?,
    })
}

fn admission(
    values: &Values,
    classes: Vec<RequestClass>,
    plans: Vec<PlanLimits>,
) -> Result<AdmissionSettings, SettingsError> {
    Ok(AdmissionSettings {
        classes,
        plans,
        gateways: values.number("peers-total")?.max(1.0) as u32,
        gateway_number: values.number_or("self-index", 0.0)? as u32,
        zone: values.number_or("my-zone", 0.0)? as u8,
        may_count: values.flag("domain.may-count")?,
        count_timeout: values.seconds_or("domain.counter-timeout-us", 0.0)?,
        settles: values.flag("domain.settles")?,
        max_units: values.number_or("domain.most-units", 1.0)?,
        must_subscribe: values.get("discovery") == Some("subscribe"),
        ask_within: values.seconds_or("obligations.must-ask-in-us", MUST_ASK_IN)?,
        sized: values.get("weights").is_some_and(|meaning| meaning != "silent"),
        max_attempts: values.number("limits.max-attempts")? as u32,
        may_hedge: values.flag("limits.second-copies")?,
        may_cancel: values.flag("limits.may-cancel")?,
        may_probe: values.flag("limits.probes")?,
        may_message_peers: values.flag("limits.peers")?,
        may_advise: values.flag("limits.retry-after")?,
        max_retry_after: values.seconds_or("limits.max-retry-after-us", 0.0)?,
        drain_grace: values.seconds("obligations.drain-grace-us")?,
        cold_from: values.number("obligations.cold-from")?,
        warm_up: values.seconds("obligations.warm-up-us")?,
        tip_multiple: values.number("obligations.tip-multiple")?,
        tip_for: values.seconds("obligations.overload-for-us")?,
    })
}

fn class(values: &Values, n: usize) -> Result<RequestClass, SettingsError> {
    let key = |name: &str| format!("classes.{n}.{name}");
    Ok(RequestClass {
        effect: match values.text(&key("effect"))? {
            "pure" => Effect::Pure,
            "token" => Effect::Receipted,
            "side_effect" => Effect::Effectful,
            _ => return Err(refuse(key("effect"), Problem::UnknownValue)),
        },
        dedup_scope: match values.get(&key("key-scope")) {
            Some("zone") => DedupScope::Zone,
            Some("cell") => DedupScope::Cell,
            None | Some("all") => DedupScope::All,
            Some(_) => return Err(refuse(key("key-scope"), Problem::UnknownValue)),
        },
        latency_target: values.seconds(&key("on-time-us"))?,
        client_timeout: values.seconds(&key("deadline-us"))?,
        importance: values.number_or(&key("points"), 1.0)?,
        late_value: values.fraction_or(&key("late-share"), 1.0)?,
        dedup_window: values.seconds_or(&key("memory-span-us"), 0.0)?,
    })
}

fn plan(values: &Values, n: usize) -> Result<PlanLimits, SettingsError> {
    let number = |name: &str| values.number_or(&format!("contracts.{n}.{name}"), 0.0);
    Ok(PlanLimits {
        rate: number("rate")?,
        burst: number("burst")?,
        overage_revenue: number("over-worth")?,
        overage_cost: number("excess-cost")?,
        price: values.number_or(&format!("contracts.{n}.price"), 1.0)?,
        rate_limit: number("never-over-rate")?,
        rate_limit_burst: number("ceiling-burst")?,
        rate_limit_slack: number("cap-slack")?,
    })
}
