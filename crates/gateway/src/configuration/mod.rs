//! Reads and validates the configuration and applies its defaults; no other module does. An error names the key of the
//! invalid value. On SIGHUP the file is read again with the same checks, for the values that may change at run time.

mod error;

pub use error::{ConfigurationError, ConfigurationProblem};

use ConfigurationProblem::{InvalidAddress, Missing};
use archlink_admission_settings::ParsedSettings;
use serde_json::Value;
use std::net::SocketAddr;

/// Limits that apply if the configuration sets none: those of the smallest machine that the gateway is meant for.
const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_SOCKETS: u64 = 1024;
/// Smallest limits with which the gateway works.
const MIN_MEMORY_MB: u64 = 32;
const MIN_SOCKETS: u64 = 64;
/// Largest valid limit, beyond that of any machine.
const MAX_LIMIT: u64 = 1 << 20;

/// The configuration that a gateway starts with.
pub struct StartupConfiguration {
    /// Name of the gateway in log lines.
    pub name: String,
    /// Address on which clients are accepted.
    pub listen: SocketAddr,
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The counter's address; always set if the settings allow calls to the counter.
    pub counter: Option<SocketAddr>,
    /// Address on which messages of other gateways are received.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the gateways, indexed by gateway number.
    pub peers: Vec<SocketAddr>,
    /// Broadcast address of all gateways.
    pub peer_broadcast: Option<SocketAddr>,
    /// Seed of the admission module's random number generator.
    pub seed: u64,
    /// Memory that the gateway may use, in megabytes.
    pub memory_mb: usize,
    /// File descriptors that the gateway may use.
    pub max_sockets: usize,
    /// The host list that was cached before the start.
    pub cached_hosts: Value,
    /// Settings of the admission module.
    pub settings: ParsedSettings,
    /// Log level.
    pub log_level: log::LevelFilter,
}

/// The values that may change while the gateway runs; all others take effect at the next start.
pub struct ReloadedConfiguration {
    /// Discovery's address.
    pub discovery: SocketAddr,
    /// The counter's address; `None` leaves it unchanged.
    pub counter: Option<SocketAddr>,
    /// Log level.
    pub log_level: log::LevelFilter,
}

type Result<T> = std::result::Result<T, ConfigurationError>;

fn fail<T>(key: &str, problem: ConfigurationProblem) -> Result<T> {
    Err(ConfigurationError::new(key, problem))
}

/// Reads the file that `LB_CONFIG` names; other environment variables override its keys.
pub fn read() -> Result<StartupConfiguration> {
    ConfigurationSource { file: &read_file()?, variable: &variable }.parse()
}

/// Reads the file again. The environment variables are still those of the start, so values in the file override them.
pub fn reload() -> Result<ReloadedConfiguration> {
    const RELOADABLE: [(&str, &str); 2] = [("LB_DISCOVERY", "discovery"), ("LB_LOG", "log")];
    let file = read_file()?;
    let in_file =
        |name: &str| RELOADABLE.iter().any(|(variable, key)| *variable == name && file.get(key).is_some());
    let variable = |name: &str| variable(name).filter(|_| !in_file(name));
    let StartupConfiguration { discovery, counter, log_level, .. } =
        ConfigurationSource { file: &file, variable: &variable }.parse()?;
    Ok(ReloadedConfiguration { discovery, counter, log_level })
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn read_file() -> Result<Value> {
    const KEY: &str = "LB_CONFIG";
    let Some(file) = variable(KEY) else { return fail(KEY, ConfigurationProblem::FileNotNamed) };
    let text = match std::fs::read_to_string(&file) {
        Ok(text) => text,
        Err(cause) => return fail(KEY, ConfigurationProblem::Unreadable { file, cause }),
    };
    serde_json::from_str(&text)
        .map_err(|cause| ConfigurationError::new(KEY, ConfigurationProblem::NotJson { file, cause }))
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr> {
    text.parse().or_else(|_| fail(key, InvalidAddress(text.to_string())))
}

/// The sources of configuration values: the file, and environment variables that override it.
struct ConfigurationSource<'a> {
    file: &'a Value,
    variable: &'a dyn Fn(&str) -> Option<String>,
}

impl ConfigurationSource<'_> {
    fn parse(&self) -> Result<StartupConfiguration> {
        let seed = self.seed()?;
        let peers = self.peers()?;
        let settings = self.settings()?;
        let counter = self.optional_address("counter")?;
        if settings.admission.may_count && counter.is_none() {
            return fail("counter", ConfigurationProblem::MissingCounter);
        }
        Ok(StartupConfiguration {
            name: self.text("name", "LB_NAME").unwrap_or_else(|| "gateway".into()),
            listen: self.address("listen", "LB_LISTEN")?,
            discovery: self.address("discovery", "LB_DISCOVERY")?,
            counter,
            peer_listen: self.optional_address("peer_listen")?,
            peers,
            peer_broadcast: self.optional_address("peers_all")?,
            seed,
            memory_mb: self.limit("memory_mb", MIN_MEMORY_MB, DEFAULT_MEMORY_MB)? as usize,
            max_sockets: self.limit("sockets", MIN_SOCKETS, DEFAULT_SOCKETS)? as usize,
            cached_hosts: self.file.get("known").cloned().unwrap_or(Value::Null),
            settings,
            log_level: self.log_level()?,
        })
    }

    fn text(&self, key: &str, variable: &str) -> Option<String> {
        let in_file = || self.file.get(key).and_then(Value::as_str).map(str::to_string);
        (self.variable)(variable).or_else(in_file)
    }

    fn address(&self, key: &str, variable: &str) -> Result<SocketAddr> {
        match self.text(key, variable) {
            Some(text) => parse_address(key, &text),
            None => fail(key, Missing),
        }
    }

    fn optional_address(&self, key: &str) -> Result<Option<SocketAddr>> {
        match self.file.get(key) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => parse_address(key, value.as_str().unwrap_or_default()).map(Some),
        }
    }

    fn limit(&self, key: &str, min: u64, default: u64) -> Result<u64> {
        let Some(value) = self.file.get("limits").and_then(|limits| limits.get(key)) else {
            return Ok(default);
        };
        match value.as_u64().filter(|limit| (min..=MAX_LIMIT).contains(limit)) {
            Some(limit) => Ok(limit),
            None => fail(&format!("limits.{key}"), ConfigurationProblem::OutOfRange { min }),
        }
    }

    fn seed(&self) -> Result<u64> {
        const KEY: &str = "seed";
        match self.file.get(KEY) {
            None => Ok(std::process::id().into()),
            Some(Value::String(digits)) => u64::from_str_radix(digits, 16)
                .or_else(|_| fail(KEY, ConfigurationProblem::InvalidHexadecimal)),
            Some(other) => other.as_u64().map_or_else(|| fail(KEY, ConfigurationProblem::InvalidSeed), Ok),
        }
    }

    fn peers(&self) -> Result<Vec<SocketAddr>> {
        let peers = self.file.get("peers").and_then(Value::as_array).into_iter().flatten();
        let parse = |(index, peer): (usize, &Value)| {
            parse_address(&format!("peers.{index}"), peer.as_str().unwrap_or_default())
        };
        peers.enumerate().map(parse).collect()
    }

    fn settings(&self) -> Result<ParsedSettings> {
        match self.file.get("settings") {
            Some(settings) => Ok(archlink_admission_settings::from_json(settings)?),
            None => fail("settings", Missing),
        }
    }

    fn log_level(&self) -> Result<log::LevelFilter> {
        let text = self.text("log", "LB_LOG").unwrap_or_else(|| "info".into());
        text.parse().or_else(|_| fail("log", ConfigurationProblem::InvalidLogLevel(text)))
    }
}
