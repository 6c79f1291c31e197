//! The one place where the configuration is read, checked and given its defaults. Owns the names of the variables
//! and of the keys in the JSON file; a message about a wrong value names its key. Read again on SIGHUP, whole and with the
//! same checks, for what may change under way. Holds no value that steers a decision.

use archlink_admission_settings::ParsedSettings;
use serde_json::Value;
use std::net::SocketAddr;

pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub seed: u64,
    pub memory: usize,
    pub sockets: usize,
    pub known: Value,
    pub told: ParsedSettings,
    pub log: log::LevelFilter,
}

/// Limits taken where the configuration names none: those of the smallest machine the gateway is meant for.
const MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 1024;

/// What a file read again may change under way; all else waits for the next start.
pub struct Again {
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    pub log: log::LevelFilter,
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn whole() -> Result<Value, String> {
    let file = variable("LB_CONFIG").ok_or("LB_CONFIG: names no file")?;
    let text = std::fs::read_to_string(&file).map_err(|e| format!("LB_CONFIG: {file}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("LB_CONFIG: {file}: {e}"))
}

pub fn read() -> Result<Start, String> {
    check(&whole()?, &variable)
}

/// The variables stay those of the start, so here the file's own values come before them.
pub fn read_again() -> Result<Again, String> {
    let whole = whole()?;
    let name_of = [("LB_DISCOVERY", "discovery"), ("LB_LOG", "log")];
    let outdated = |name: &str| name_of.iter().any(|(n, key)| *n == name && whole.get(key).is_some());
    let Start { discovery, counter, log, .. } =
        check(&whole, &|name| variable(name).filter(|_| !outdated(name)))?;
    Ok(Again { discovery, counter, log })
}

fn check(whole: &Value, variable: &dyn Fn(&str) -> Option<String>) -> Result<Start, String> {
    let text = |key: &str, name: &str| {
        let own = || whole.get(key).and_then(Value::as_str).map(str::to_string);
        variable(name).or_else(own)
    };
    let address = |key: &str, text: &str| text.parse().map_err(|_| format!("{key}: {text:?} is no address"));
    let needed = |key: &str, name: &str| -> Result<SocketAddr, String> {
        address(key, &text(key, name).ok_or(format!("{key}: missing"))?)
    };
    let optional = |key: &str| -> Result<Option<SocketAddr>, String> {
        match whole.get(key) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => address(key, value.as_str().unwrap_or_default()).map(Some),
        }
    };
    let limit = |key: &str, least: u64, absent: u64| match whole.get("limits").and_then(|l| l.get(key)) {
        None => Ok(absent),
        Some(value) => value
            .as_u64()
            .filter(|n| (least..=1 << 20).contains(n))
            .ok_or(format!("limits.{key}: not a whole number from {least} on")),
    };
    let seed = match whole.get("seed").map(|s| (s.as_str(), s)) {
        None => std::process::id().into(),
        Some((Some(hex), _)) => u64::from_str_radix(hex, 16).map_err(|_| "seed: not hexadecimal")?,
        Some((None, other)) => other.as_u64().ok_or("seed: neither hexadecimal nor a number")?,
    };
    let mut peers = Vec::new();
    for (n, peer) in whole.get("peers").and_then(Value::as_array).into_iter().flatten().enumerate() {
        peers.push(address(&format!("peers.{n}"), peer.as_str().unwrap_or_default())?);
    }
    let settings = whole.get("settings").ok_or("settings: missing")?;
    let told = archlink_admission_settings::from_json(settings).map_err(|e| format!("settings.{e}"))?;
    let counter = optional("counter")?;
    if told.admission.may_count && counter.is_none() {
        return Err("counter: missing, though settings.domain.may-count is true".into());
    }
    let log = text("log", "LB_LOG").unwrap_or_else(|| "info".into());
    Ok(Start {
        name: text("name", "LB_NAME").unwrap_or_else(|| "gateway".into()),
        listen: needed("listen", "LB_LISTEN")?,
        discovery: needed("discovery", "LB_DISCOVERY")?,
        counter,
        peer_listen: optional("peer_listen")?,
        peers,
        peers_all: optional("peers_all")?,
        seed,
        memory: limit("memory_mb", 32, MEMORY_MB)? as usize,
        sockets: limit("sockets", 64, SOCKETS)? as usize,
        known: whole.get("known").cloned().unwrap_or(Value::Null),
        told,
        log: log.parse().map_err(|_| format!("log: {log:?} is no level"))?,
    })
}
