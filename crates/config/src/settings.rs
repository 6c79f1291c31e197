//! The settings file of a process, read whole and checked before anything of it is used. Owns its field names and the
//! names of the bounds. Unknown fields are ignored, as the operators add to the file. Must never hold a tuned value.

use crate::error::{ConfigError, parse_seconds, refuse};
use error_stack::Report;
use schematic::{Config, ConfigLoader};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;

#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
struct ListenFile {
    front: Option<String>,
    ready: Option<String>,
    control: Option<String>,
    directory: Option<String>,
}

#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
struct LimitsFile {
    memory_mb: f64,
    file_descriptors: u64,
}

#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
struct ToleranceFile {
    machine_losses: u32,
}

#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
struct CloudFile {
    address: Option<String>,
    rate_per_s: f64,
    lag: Option<String>,
}

#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
struct File {
    node_name: String,
    ip_address: String,
    zone: String,
    region: String,
    zones: HashMap<String, String>,
    #[setting(nested)]
    listen: ListenFile,
    internal_ports: Vec<u16>,
    seed_nodes: Vec<String>,
    first_start: bool,
    #[setting(nested)]
    tolerance: Option<ToleranceFile>,
    #[setting(nested)]
    limits: LimitsFile,
    data_dir: Option<String>,
    timing_bounds: Vec<String>,
    #[setting(nested)]
    cloud: CloudFile,
}

/// The operators' figures that rules are judged by; times in seconds. A bound that the file leaves out is none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimingBounds {
    pub ack: f64,
    pub catch_up: f64,
    pub drain: f64,
    pub grace: f64,
    pub config_apply: f64,
    pub revoke: f64,
    pub evacuation: f64,
    pub retry_ratio: f64,
    pub retry_slack: f64,
    pub budget_window: f64,
    pub quota_window: f64,
    pub quota_overrun: f64,
    pub quota_slack: f64,
    pub warm_up_overrun: f64,
    pub warm_up_slack: f64,
    pub ttl_max: f64,
}

/// What a process is told at its start, checked.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub region: String,
    /// Region of each zone.
    pub zones: HashMap<String, String>,
    pub client_address: Option<SocketAddr>,
    pub readiness_address: Option<SocketAddr>,
    pub operator_address: Option<SocketAddr>,
    pub directory_address: Option<SocketAddr>,
    /// Port for what the system's own processes say to one another, alike on all machines.
    pub internal_port: u16,
    pub seeds: Vec<SocketAddrV4>,
    pub first_start: bool,
    /// Machines with a disk that may be lost at once.
    pub tolerated_losses: u32,
    pub memory_bytes: f64,
    pub max_descriptors: u64,
    pub data_dir: Option<PathBuf>,
    pub timing_bounds: TimingBounds,
    pub platform: Option<SocketAddr>,
    /// Calls a second that the platform takes from all gateways together.
    pub platform_rate: f64,
    /// How far the platform's list runs behind.
    pub platform_lag: f64,
}

fn address(key: &str, text: Option<String>) -> Result<Option<SocketAddr>, Report<ConfigError>> {
    text.map(|text| text.parse().map_err(|_| refuse(key, &text, "an IPv4 address and a port"))).transpose()
}

impl Settings {
    /// Reads the text of a settings file; `Err` names the key that is wrong.
    pub fn read(text: &str) -> Result<Settings, Report<ConfigError>> {
        let mut loader = ConfigLoader::<File>::new();
        let loaded = loader.code(text, "settings.json").and_then(|loader| loader.load()).map_err(|e| {
            refuse("settings", e.to_full_string().replace('\n', " "), "a whole settings object")
        })?;
        let file = loaded.config;
        let ip =
            file.ip_address.parse().map_err(|_| refuse("IpAddress", &file.ip_address, "an IPv4 address"))?;
        let port =
            *file.internal_ports.first().ok_or_else(|| refuse("InternalPorts", "none", "two ports"))?;
        let mut seeds = Vec::new();
        for (n, seed) in file.seed_nodes.iter().enumerate() {
            let key = format!("SeedNodes.{n}");
            seeds.push(seed.parse().map_err(|_| refuse(key, seed, "an IPv4 address and a port"))?);
        }
        if !file.zones.contains_key(&file.zone) {
            return Err(refuse("Zone", &file.zone, "one of Zones"));
        }
        Ok(Settings {
            timing_bounds: bounds(&file.timing_bounds)?,
            name: file.node_name,
            ip,
            zone: file.zone,
            region: file.region,
            zones: file.zones,
            client_address: address("Listen.Front", file.listen.front)?,
            readiness_address: address("Listen.Ready", file.listen.ready)?,
            operator_address: address("Listen.Control", file.listen.control)?,
            directory_address: address("Listen.Directory", file.listen.directory)?,
            internal_port: port,
            seeds,
            first_start: file.first_start,
            tolerated_losses: file.tolerance.map_or(1, |tolerance| tolerance.machine_losses).min(8),
            memory_bytes: file.limits.memory_mb.max(1.0) * 1e6,
            max_descriptors: file.limits.file_descriptors,
            data_dir: file.data_dir.map(PathBuf::from),
            platform: address("Cloud.Address", file.cloud.address)?,
            platform_rate: file.cloud.rate_per_s,
            platform_lag: match file.cloud.lag {
                Some(lag) => {
                    parse_seconds(&lag).ok_or_else(|| refuse("Cloud.Lag", &lag, "a time such as 800ms"))?
                }
                None => 0.0,
            },
        })
    }
}

fn bounds(texts: &[String]) -> Result<TimingBounds, Report<ConfigError>> {
    let mut named = HashMap::new();
    for text in texts {
        // In a file of lines they all stand on one line.
        for pair in text.split(',') {
            let (name, value) =
                pair.split_once('=').ok_or_else(|| refuse("TimingBounds", pair, "name=value"))?;
            named.insert(name.trim(), value.trim());
        }
    }
    let time = |name: &str| match named.get(name) {
        None => Ok(f64::INFINITY),
        Some(text) => {
            parse_seconds(text).ok_or_else(|| refuse(format!("TimingBounds.{name}"), text, "a time"))
        }
    };
    let figure = |name: &str, absent: f64| match named.get(name) {
        None => Ok(absent),
        Some(text) => {
            let read = text.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0);
            read.ok_or_else(|| refuse(format!("TimingBounds.{name}"), text, "a number of 0 or more"))
        }
    };
    Ok(TimingBounds {
        ack: time("Ack")?,
        catch_up: time("CatchUp")?,
        drain: time("Drain")?,
        grace: time("Grace")?,
        config_apply: time("ConfigApply")?,
        revoke: time("Revoke")?,
        evacuation: time("Evacuation")?,
        retry_ratio: figure("RetryBudgetRatio", f64::INFINITY)?,
        retry_slack: figure("RetryBudgetSlack", f64::INFINITY)?,
        budget_window: time("BudgetWindow")?,
        quota_window: time("QuotaWindow")?,
        quota_overrun: figure("QuotaOverrun", 0.0)?,
        quota_slack: figure("QuotaSlack", 0.0)?,
        warm_up_overrun: figure("ColdOverrun", 1.0)?,
        warm_up_slack: figure("ColdSlack", 0.0)?,
        ttl_max: time("ttl_max")?,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    const WHOLE: &str = r#"{"NodeName":"a","IpAddress":"10.0.0.1","Zone":"z","Region":"r","Zones":{"z":"r"},
        "Listen":{"Front":"10.0.0.1:80","Later":1},"InternalPorts":[7600,7615],"SeedNodes":["10.0.0.1:82"],
        "FirstStart":true,"Limits":{"MemoryMb":260,"FileDescriptors":4100},"DataDir":null,"Unknown":{"a":[1]},
        "TimingBounds":["Ack=6000ms","QuotaOverrun=0.1,QuotaSlack=20"],
        "Cloud":{"Address":"10.2.0.1:8205","RatePerS":47.0,"Lag":"800ms"}}"#;

    #[test]
    fn a_settings_file_is_read_whole_and_unknown_fields_are_ignored() {
        let read = Settings::read(WHOLE).unwrap();
        assert_eq!((read.internal_port, read.platform_lag, read.timing_bounds.ack), (7600, 0.8, 6.0));
        assert_eq!((read.timing_bounds.quota_overrun, read.timing_bounds.drain), (0.1, f64::INFINITY));
    }

    #[test]
    fn what_cannot_be_read_names_its_key() {
        for (from, to, key) in [
            ("\"10.0.0.1\"", "\"ten\"", "IpAddress"),
            ("10.0.0.1:82", "nowhere", "SeedNodes.0"),
            ("Ack=6000ms", "Ack=soon", "TimingBounds.Ack"),
            ("\"Zone\":\"z\"", "\"Zone\":\"y\"", "Zone"),
            ("[7600,7615]", "[]", "InternalPorts"),
            ("\"800ms\"", "\"800\"", "Cloud.Lag"),
        ] {
            let refused = Settings::read(&WHOLE.replace(from, to)).unwrap_err();
            assert_eq!(refused.current_context().key, key);
        }
        let refused = Settings::read(&WHOLE.replace("[7600,7615]", "7600")).unwrap_err();
        assert!(refused.current_context().found.contains("InternalPorts"), "{refused}");
    }
}
