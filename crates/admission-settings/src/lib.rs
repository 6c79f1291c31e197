//! The settings object turned into the module's terms, once, for every front. It comes as lines of path=value or as
//! nested JSON of the same names; unknown keys are skipped, a wrong one is named. This package owns the names and
//! units of the settings; it must never hold a default that steers a decision, nor read anything later than the start.
#![forbid(unsafe_code)]

use archlink_admission::interface::*;
use serde_json::Value;
use std::collections::BTreeMap;

/// The terms, and what a front needs for reading and writing its own protocol.
#[derive(Clone, Debug)]
pub struct ParsedSettings {
    pub admission: AdmissionSettings,
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Names of the values in a host's load report.
    pub load_report_fields: Vec<String>,
    pub connect_timeout: f64,
    pub idle_close: f64,
}

/// Takes one value of a host's load report over, by the name that the settings give it.
pub fn set_load_field(load: &mut Load, name: &str, value: f64) {
    match name {
        "busy" | "util" => load.util = Some(value),
        "lat_ms" | "latency_ms" => load.service = Some(value / 1e3),
        _ => {}
    }
}

struct Facts(BTreeMap<String, String>);

impl Facts {
    fn word(&self, key: &str) -> Result<&str, String> {
        self.0.get(key).map(String::as_str).ok_or(format!("{key}: missing"))
    }
    fn number(&self, key: &str) -> Result<f64, String> {
        let value: f64 = self.word(key)?.parse().map_err(|_| format!("{key}: not a number"))?;
        if !value.is_finite() || value < 0.0 {
            return Err(format!("{key}: negative or infinite"));
        }
        Ok(value)
    }
    fn list(&self, key: &str) -> Vec<String> {
        let text = self.0.get(key).map_or("", String::as_str);
        text.split(',').filter(|word| !word.is_empty()).map(str::to_string).collect()
    }
    fn number_or(&self, key: &str, absent: f64) -> Result<f64, String> {
        if self.0.contains_key(key) { self.number(key) } else { Ok(absent) }
    }
    fn time(&self, key: &str) -> Result<f64, String> {
        Ok(self.number(key)? / 1e6)
    }
    fn yes(&self, key: &str) -> Result<bool, String> {
        match self.0.get(key).map(String::as_str) {
            None | Some("false") => Ok(false),
            Some("true") => Ok(true),
            Some(_) => Err(format!("{key}: neither true nor false")),
        }
    }
    fn count(&self, key: &str) -> Result<usize, String> {
        let count = self.number(key)?;
        if count <= 10_000.0 { Ok(count as usize) } else { Err(format!("{key}: too many")) }
    }
}

/// A part of a whole, 0 to 1.
fn share(facts: &Facts, key: &str, absent: f64) -> Result<f64, String> {
    match facts.number_or(key, absent)? {
        share if share <= 1.0 => Ok(share),
        _ => Err(format!("{key}: a share, 0 to 1")),
    }
}

fn lane(facts: &Facts, n: usize) -> Result<RequestClass, String> {
    let key = |name: &str| format!("classes.{n}.{name}");
    let effect = match facts.word(&key("effect"))? {
        "pure" => Effect::Pure,
        "token" => Effect::Receipted,
        "side_effect" => Effect::Effectful,
        _ => return Err(format!("{}: unknown", key("effect"))),
    };
    let group = match facts.0.get(&key("key-scope")).map(String::as_str) {
        Some("zone") => DedupScope::Zone,
        Some("cell") => DedupScope::Cell,
        None | Some("all") => DedupScope::All,
        Some(_) => return Err(format!("{}: unknown", key("key-scope"))),
    };
    Ok(RequestClass {
        latency_target: facts.time(&key("on-time-us"))?,
        client_timeout: facts.time(&key("deadline-us"))?,
        importance: facts.number_or(&key("points"), 1.0)?,
        late_value: share(facts, &key("late-share"), 1.0)?,
        effect,
        dedup_scope: group,
        dedup_window: facts.number_or(&key("memory-span-us"), 0.0)? / 1e6,
    })
}

fn plan(facts: &Facts, n: usize) -> Result<PlanLimits, String> {
    let number = |name: &str| facts.number_or(&format!("contracts.{n}.{name}"), 0.0);
    Ok(PlanLimits {
        rate: number("rate")?,
        burst: number("burst")?,
        overage_revenue: number("over-worth")?,
        overage_cost: number("excess-cost")?,
        price: facts.number_or(&format!("contracts.{n}.price"), 1.0)?,
        rate_limit: number("never-over-rate")?,
        rate_limit_burst: number("ceiling-burst")?,
        rate_limit_slack: number("cap-slack")?,
    })
}

/// Settings as lines of path=value.
pub fn from_lines(text: &str) -> Result<ParsedSettings, String> {
    let pairs = text.lines().filter_map(|line| line.split_once('='));
    read(Facts(pairs.map(|(key, value)| (key.to_string(), value.to_string())).collect()))
}

/// Settings as nested JSON: flattened to the same paths.
pub fn from_json(settings: &Value) -> Result<ParsedSettings, String> {
    let mut flat = BTreeMap::new();
    flatten(settings, String::new(), &mut flat);
    let facts = Facts(flat);
    for key in (0..facts.count("contracts.count")?).map(|n| format!("contracts.{n}.max-out")) {
        if facts.number_or(&key, 0.0)? > 0.0 {
            let why = "a cap on hand-offs open at once is not kept; give the plan a rate, or 0 here";
            return Err(format!("{key}: {why}"));
        }
    }
    read(facts)
}

fn flatten(value: &Value, path: String, flat: &mut BTreeMap<String, String>) {
    let under = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, field)| flatten(field, under(name), flat)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            flat.insert(under("count"), items.len().to_string());
            items.iter().enumerate().for_each(|(n, item)| flatten(item, under(&n.to_string()), flat));
        }
        Value::Array(items) => {
            let words: Vec<String> = items.iter().map(plain).collect();
            flat.insert(under("count"), items.len().to_string());
            flat.insert(path, words.join(","));
        }
        plain_value => drop(flat.insert(path, plain(plain_value))),
    }
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

fn read(facts: Facts) -> Result<ParsedSettings, String> {
    let names = |list: &str| -> Result<Vec<String>, String> {
        let key = |n: usize| format!("{list}.{n}.name");
        Ok((0..facts.count(&format!("{list}.count"))?)
            .map(|n| facts.0.get(&key(n)).cloned().unwrap_or_default())
            .collect())
    };
    let lanes = (0..facts.count("classes.count")?).map(|n| lane(&facts, n)).collect::<Result<_, _>>()?;
    let plans = (0..facts.count("contracts.count")?).map(|n| plan(&facts, n)).collect::<Result<_, _>>()?;
    let terms = AdmissionSettings {
        classes: lanes,
        plans,
        gateways: facts.number("peers-total")?.max(1.0) as u32,
        gateway_number: facts.number_or("self-index", 0.0)? as u32,
        zone: facts.number_or("my-zone", 0.0)? as u8,
        may_count: facts.yes("domain.may-count")?,
        count_timeout: facts.number_or("domain.counter-timeout-us", 0.0)? / 1e6,
        settles: facts.yes("domain.settles")?,
        max_units: facts.number_or("domain.most-units", 1.0)?,
        must_subscribe: facts.0.get("discovery").is_some_and(|how| how == "subscribe"),
        ask_within: facts.number_or("obligations.must-ask-in-us", 1e7)? / 1e6,
        sized: facts.0.get("weights").is_some_and(|meaning| meaning != "silent"),
        max_attempts: facts.number("limits.max-attempts")? as u32,
        may_hedge: facts.yes("limits.second-copies")?,
        may_cancel: facts.yes("limits.may-cancel")?,
        may_probe: facts.yes("limits.probes")?,
        may_message_peers: facts.yes("limits.peers")?,
        may_advise: facts.yes("limits.retry-after")?,
        max_retry_after: facts.number_or("limits.max-retry-after-us", 0.0)? / 1e6,
        drain_grace: facts.time("obligations.drain-grace-us")?,
        cold_from: facts.number("obligations.cold-from")?,
        warm_up: facts.time("obligations.warm-up-us")?,
        tip_multiple: facts.number("obligations.tip-multiple")?,
        tip_for: facts.time("obligations.overload-for-us")?,
    };
    Ok(ParsedSettings {
        admission: terms,
        classes: names("classes")?,
        plans: names("contracts")?,
        zones: facts.list("zones"),
        kinds: facts.list("kinds"),
        load_report_fields: facts.list("telemetry.fields"),
        connect_timeout: facts.number_or("limits.connect-timeout-us", 250_000.0)? / 1e6,
        idle_close: facts.number_or("limits.idle-close-us", 15_000_000.0)? / 1e6,
    })
}
