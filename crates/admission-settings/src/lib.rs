//! Reads the settings object of a deployment into the types of the admission decisions, for all drivers.
//!
//! The settings are lines of `path=value` or nested JSON with the same names. Unknown keys are ignored; an invalid value is
//! an error that names its key. This package defines the names and units of the settings. None of its defaults influences
//! a decision.

mod error;
mod values;

pub use error::{Problem, SettingsError};

use archlink_admission::interface::*;
use serde_json::Value;
use values::{Values, error_at};

/// Default timeout of a connection attempt to a host, in microseconds.
const DEFAULT_CONNECT_TIMEOUT: f64 = 250_000.0;
/// Default time after which hosts close idle connections, in microseconds.
const DEFAULT_IDLE_CLOSE: f64 = 15_000_000.0;
/// Default of the longest wait between two attempts to subscribe, in microseconds.
const DEFAULT_MAX_SUBSCRIBE_WAIT: f64 = 1e7;

/// Settings of the admission decisions, and what a driver needs besides to read and write its own protocol.
#[derive(Clone, Debug)]
pub struct ParsedSettings {
    /// Settings of the admission decisions.
    pub admission: AdmissionSettings,
    /// Names of the request classes, by index.
    pub classes: Vec<String>,
    /// Names of the plans, by index.
    pub plans: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of the kinds of hosts, by index.
    pub kinds: Vec<String>,
    /// Names of the fields in a host's load report, in order.
    pub load_report_fields: Vec<String>,
    /// Timeout of a connection attempt to a host, in seconds.
    pub connect_timeout: f64,
    /// Seconds after which hosts close idle connections.
    pub idle_close: f64,
}

/// Sets one field of a host's load report by its name in the settings; unknown names are ignored.
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
/// Fails at the first invalid value; the error has its key and what is wrong with it.
pub fn from_lines(text: &str) -> Result<ParsedSettings, SettingsError> {
    parse(&Values::from_lines(text))
}

/// Reads settings from nested JSON.
///
/// # Errors
/// Fails like [`from_lines`], and also if a plan limits concurrent attempts.
pub fn from_json(settings: &Value) -> Result<ParsedSettings, SettingsError> {
    let values = Values::from_json(settings);
    for n in 0..values.count("contracts.count")? {
        let key = format!("contracts.{n}.max-out");
        if values.number_or(&key, 0.0)? > 0.0 {
            return Err(error_at(key, Problem::UnsupportedCap));
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
        connect_timeout: values.seconds_or("limits.connect-timeout-us", DEFAULT_CONNECT_TIMEOUT)?,
        idle_close: values.seconds_or("limits.idle-close-us", DEFAULT_IDLE_CLOSE)?,
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
        max_subscribe_wait: values.seconds_or("obligations.must-ask-in-us", DEFAULT_MAX_SUBSCRIBE_WAIT)?,
        hosts_differ_in_capacity: values.get("weights").is_some_and(|meaning| meaning != "silent"),
        max_attempts: values.number("limits.max-attempts")? as u32,
        may_hedge: values.flag("limits.second-copies")?,
        may_cancel: values.flag("limits.may-cancel")?,
        may_probe: values.flag("limits.probes")?,
        may_message_peers: values.flag("limits.peers")?,
        may_send_retry_after: values.flag("limits.retry-after")?,
        max_retry_after: values.seconds_or("limits.max-retry-after-us", 0.0)?,
        drain_grace: values.seconds("obligations.drain-grace-us")?,
        cold_capacity_share: values.number("obligations.cold-from")?,
        warm_up: values.seconds("obligations.warm-up-us")?,
        overload_multiple: values.number("obligations.tip-multiple")?,
        overload_duration: values.seconds("obligations.overload-for-us")?,
    })
}

fn class(values: &Values, n: usize) -> Result<RequestClass, SettingsError> {
    let key = |name: &str| format!("classes.{n}.{name}");
    Ok(RequestClass {
        effect: match values.text(&key("effect"))? {
            "pure" => Effect::Pure,
            "token" => Effect::Deduplicated,
            "side_effect" => Effect::Effectful,
            _ => return Err(error_at(key("effect"), Problem::UnknownValue)),
        },
        dedup_scope: match values.get(&key("key-scope")) {
            Some("zone") => DedupScope::Zone,
            Some("cell") => DedupScope::Cell,
            None | Some("all") => DedupScope::All,
            Some(_) => return Err(error_at(key("key-scope"), Problem::UnknownValue)),
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
