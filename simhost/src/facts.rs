//! The settings lines of the wire, turned into the module's terms. Unknown keys are skipped.

use archlink::interface::*;
use std::collections::BTreeMap;

struct Facts<'a>(BTreeMap<&'a str, &'a str>);

impl Facts<'_> {
    fn word(&self, key: &str) -> Result<&str, String> {
        self.0.get(key).copied().ok_or(format!("{key}: missing"))
    }
    fn number(&self, key: &str) -> Result<f64, String> {
        let value: f64 = self.word(key)?.parse().map_err(|_| format!("{key}: not a number"))?;
        if !value.is_finite() || value < 0.0 {
            return Err(format!("{key}: negative or infinite"));
        }
        Ok(value)
    }
    fn number_or(&self, key: &str, absent: f64) -> Result<f64, String> {
        if self.0.contains_key(key) { self.number(key) } else { Ok(absent) }
    }
    fn time(&self, key: &str) -> Result<f64, String> {
        Ok(self.number(key)? / 1e6)
    }
    fn yes(&self, key: &str) -> Result<bool, String> {
        match self.0.get(key).copied() {
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

fn lane(facts: &Facts, n: usize) -> Result<LaneTerms, String> {
    let key = |name: &str| format!("classes.{n}.{name}");
    let effect = match facts.word(&key("effect"))? {
        "pure" => Effect::Pure,
        "token" => Effect::Receipted,
        "side_effect" => Effect::Effectful,
        _ => return Err(format!("{}: unknown", key("effect"))),
    };
    let group = match facts.0.get(key("key-scope").as_str()).copied() {
        Some("zone") => Group::Zone,
        Some("cell") => Group::Cell,
        None | Some("all") => Group::All,
        Some(_) => return Err(format!("{}: unknown", key("key-scope"))),
    };
    Ok(LaneTerms {
        goal: facts.time(&key("on-time-us"))?,
        abandon: facts.time(&key("deadline-us"))?,
        importance: facts.number_or(&key("points"), 1.0)?,
        effect,
        group,
        memory: facts.number_or(&key("memory-span-us"), 0.0)? / 1e6,
    })
}

fn plan(facts: &Facts, n: usize) -> Result<PlanTerms, String> {
    let number = |name: &str| facts.number_or(&format!("contracts.{n}.{name}"), 0.0);
    Ok(PlanTerms {
        rate: number("rate")?,
        burst: number("burst")?,
        most_out: number("max-out")?,
        over_earns: number("over-worth")?,
        over_costs: number("excess-cost")?,
        price: facts.number_or(&format!("contracts.{n}.price"), 1.0)?,
        ceiling_rate: number("never-over-rate")?,
        ceiling_burst: number("ceiling-burst")?,
        ceiling_slack: number("cap-slack")?,
    })
}

pub fn read(text: &str) -> Result<(Terms, Vec<String>), String> {
    let facts = Facts(text.lines().filter_map(|line| line.split_once('=')).collect());
    let lanes = (0..facts.count("classes.count")?).map(|n| lane(&facts, n)).collect::<Result<_, _>>()?;
    let plans = (0..facts.count("contracts.count")?).map(|n| plan(&facts, n)).collect::<Result<_, _>>()?;
    let fields = facts.0.get("telemetry.fields").copied().unwrap_or("");
    let terms = Terms {
        lanes,
        plans,
        gateways: facts.number("peers-total")?.max(1.0) as u32,
        my_number: facts.number_or("self-index", 0.0)? as u32,
        my_zone: facts.number_or("my-zone", 0.0)? as u8,
        may_count: facts.yes("domain.may-count")?,
        count_timeout: facts.number_or("domain.counter-timeout-us", 0.0)? / 1e6,
        settles: facts.yes("domain.settles")?,
        most_units: facts.number_or("domain.most-units", 1.0)?,
        must_subscribe: facts.0.get("discovery").copied() == Some("subscribe"),
        ask_within: facts.number_or("obligations.must-ask-in-us", 1e7)? / 1e6,
        sized: facts.0.get("weights").copied().unwrap_or("silent") != "silent",
        most_hand_offs: facts.number("limits.max-attempts")? as u32,
        second_copies: facts.yes("limits.second-copies")?,
        may_cancel: facts.yes("limits.may-cancel")?,
        may_probe: facts.yes("limits.probes")?,
        may_tell: facts.yes("limits.peers")?,
        may_advise: facts.yes("limits.retry-after")?,
        most_advice: facts.number_or("limits.max-retry-after-us", 0.0)? / 1e6,
        drain_grace: facts.time("obligations.drain-grace-us")?,
        cold_from: facts.number("obligations.cold-from")?,
        warm_up: facts.time("obligations.warm-up-us")?,
        tip_multiple: facts.number("obligations.tip-multiple")?,
        tip_for: facts.time("obligations.overload-for-us")?,
    };
    Ok((terms, fields.split(',').map(str::to_string).collect()))
}
