//! Reads host lists in discovery's JSON form.

use crate::clock::Clock;
use archlink_admission::interface::{HostEntry, HostState};
use archlink_admission_settings::ParsedSettings;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;

/// Index of a zone or kind that the settings do not name.
const UNKNOWN_INDEX: u8 = u8::MAX;
/// Largest index of one that they name.
const MAX_INDEX: usize = 254;

/// One listed host.
pub struct ListedHost {
    /// Discovery's identifier of it.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its entry, without its number.
    pub entry: HostEntry,
}

/// A complete list, or the changed entries of one.
pub struct HostList {
    /// Version of the list.
    pub version: u64,
    /// Whether it is complete.
    pub is_full: bool,
    /// Its entries, in their order.
    pub hosts: Vec<ListedHost>,
}

/// The key of a host entry whose value is missing or wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidEntry {
    /// The key.
    pub key: &'static str,
}

impl fmt::Display for InvalidEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.key)
    }
}

impl std::error::Error for InvalidEntry {}

/// Reads a list; `None` where it has no version. An invalid entry is left out and logged.
pub fn parse_host_list(value: &Value, settings: &ParsedSettings, clock: Clock) -> Option<HostList> {
    let version = value.get("version")?.as_u64()?;
    let is_full = value.get("full").and_then(Value::as_bool).unwrap_or(false);
    let mut hosts = Vec::new();
    for entry in value.get("servers").and_then(Value::as_array).into_iter().flatten() {
        match parse_host(entry, settings, clock) {
            Ok(host) => hosts.push(host),
            Err(error) => log::warn!("discovery: an entry of version {version} is ignored: {error}"),
        }
    }
    Some(HostList { version, is_full, hosts })
}

fn parse_host(value: &Value, settings: &ParsedSettings, clock: Clock) -> Result<ListedHost, InvalidEntry> {
    let text = |key| value.get(key).and_then(Value::as_str).ok_or(InvalidEntry { key });
    let number = |key, default| value.get(key).and_then(Value::as_f64).unwrap_or(default);
    let index = |names, key| index_of(names, value.get(key).and_then(Value::as_str).unwrap_or_default());
    let state = match text("state")? {
        "ready" => HostState::Ready,
        "draining" => HostState::Draining,
        "gone" => HostState::Removed,
        _ => return Err(InvalidEntry { key: "state" }),
    };
    let address = text("addr")?.parse().map_err(|_| InvalidEntry { key: "addr" })?;
    let entry = HostEntry {
        host: 0,
        zone: index(&settings.zones, "zone"),
        kind: index(&settings.kinds, "kind"),
        cell: number("cell", 0.0).clamp(0.0, f64::from(u16::MAX)) as u16,
        state,
        size: number("weight", 1.0).max(0.0),
        started: clock.clamp_unix_time(number("started_ms", 0.0) / 1e3),
    };
    Ok(ListedHost { id: text("id")?.to_string(), address, entry })
}

fn index_of(names: &[String], name: &str) -> u8 {
    names.iter().position(|n| n == name).map_or(UNKNOWN_INDEX, |index| index.min(MAX_INDEX) as u8)
}
