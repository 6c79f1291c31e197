//! Parses host lists from discovery's JSON format.

use crate::clock::Clock;
use archlink_admission::interface::{HostEntry, HostState};
use archlink_admission_settings::ParsedSettings;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;

/// Index of a zone or kind that is not in the settings.
const UNKNOWN_INDEX: u8 = u8::MAX;
/// Largest index of a zone or kind that is in the settings.
const MAX_INDEX: usize = 254;

/// A host in a host list.
pub struct ListedHost {
    /// Discovery's identifier of the host.
    pub id: String,
    /// The host's address.
    pub address: SocketAddr,
    /// The entry for the admission module; its host number is not assigned yet.
    pub entry: HostEntry,
}

/// A complete host list, or the changed entries of one.
pub struct HostList {
    /// Version of the list.
    pub version: u64,
    /// Whether the list is complete.
    pub is_full: bool,
    /// The entries in the order received.
    pub hosts: Vec<ListedHost>,
}

/// A host entry with a missing or invalid value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidEntry {
    /// Key of the missing or invalid value.
    pub key: &'static str,
}

impl fmt::Display for InvalidEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: missing or invalid", self.key)
    }
}

impl std::error::Error for InvalidEntry {}

/// Parses a host list; returns `None` if it has no version. Invalid entries are logged and left out.
pub fn parse_host_list(value: &Value, settings: &ParsedSettings, clock: Clock) -> Option<HostList> {
    let version = value.get("version")?.as_u64()?;
    let is_full = value.get("full").and_then(Value::as_bool).unwrap_or(false);
    let mut hosts = Vec::new();
    for entry in value.get("servers").and_then(Value::as_array).into_iter().flatten() {
        match parse_host(entry, settings, clock) {
            Ok(host) => hosts.push(host),
            Err(error) => log::warn!("discovery: ignored an entry of host list version {version}: {error}"),
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

/// Returns the index of a name, or [`UNKNOWN_INDEX`] if it is not in the list.
fn index_of(names: &[String], name: &str) -> u8 {
    names.iter().position(|known| known == name).map_or(UNKNOWN_INDEX, |index| index.min(MAX_INDEX) as u8)
}
