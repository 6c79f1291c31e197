//! Settings of a process, which are parsed and checked at its start, before any of them is used.

mod file_format;
mod timing_bounds;

pub use timing_bounds::TimingBounds;

use crate::duration::parse_seconds;
use crate::error::{ConfigError, invalid_value};
use error_stack::Report;
use file_format::{File, ListenFile};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;

/// Number of machines that may be lost at once without `Tolerance`.
const DEFAULT_TOLERATED_LOSSES: u32 = 1;
/// Upper limit of `MachineLosses`, to which higher values are lowered: bounds the number of voters.
const MAX_TOLERATED_LOSSES: u32 = 8;
/// Lower limit of `MemoryMb`, to which lower values are raised.
const MIN_MEMORY_MB: f64 = 1.0;
/// Number of bytes in a megabyte of `MemoryMb`.
const BYTES_PER_MB: f64 = 1e6;

/// Checked settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the node, for logs and operators.
    pub name: String,
    /// Address of the machine; also identifies the node.
    pub ip: Ipv4Addr,
    /// Zone of the machine; a key of `zones`.
    pub zone: String,
    /// Region of the machine.
    pub region: String,
    /// Region of each zone.
    pub zones: HashMap<String, String>,
    /// Address on which a data node listens for clients.
    pub client_address: Option<SocketAddr>,
    /// Address on which a data node answers readiness checks.
    pub readiness_address: Option<SocketAddr>,
    /// Address on which a control node listens for operators.
    pub operator_address: Option<SocketAddr>,
    /// Address on which a control node serves the directory of nodes.
    pub directory_address: Option<SocketAddr>,
    /// Port for connections between the system's own processes, the same on all machines.
    pub internal_port: u16,
    /// Seed nodes: the control nodes to contact first.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether this is the first start of the whole system, which has no state yet.
    pub first_start: bool,
    /// Number of machines with a disk that may be lost at once without loss of state, at most 8.
    pub tolerated_losses: u32,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: f64,
    /// Number of file descriptors that the process may have open.
    pub max_descriptors: u64,
    /// Directory for durable state.
    pub data_dir: Option<PathBuf>,
    /// Bounds by which operators judge the system.
    pub timing_bounds: TimingBounds,
    /// Address of the platform's API.
    pub platform: Option<SocketAddr>,
    /// Calls per second that the platform accepts from all nodes together.
    pub platform_rate: f64,
    /// Maximum staleness of the platform's list of hosts, in seconds.
    pub platform_lag: f64,
}

impl Settings {
    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// The error names the first key whose value is not allowed.
    pub fn read(text: &str) -> Result<Settings, Report<ConfigError>> {
        let file = File::parse(text)?;
        let ip = file
            .ip_address
            .parse()
            .map_err(|_| invalid_value("IpAddress", &file.ip_address, "an IPv4 address"))?;
        let internal_port = checked_internal_port(&file.internal_ports)?;
        let seeds = checked_seeds(&file.seed_nodes)?;
        if !file.zones.contains_key(&file.zone) {
            return Err(invalid_value("Zone", &file.zone, "one of Zones"));
        }
        let timing_bounds = TimingBounds::read(&file.timing_bounds)?;
        let ListenFile { front, ready, control, directory } = file.listen;
        Ok(Settings {
            name: file.node_name,
            ip,
            zone: file.zone,
            region: file.region,
            zones: file.zones,
            client_address: checked_address("Listen.Front", front)?,
            readiness_address: checked_address("Listen.Ready", ready)?,
            operator_address: checked_address("Listen.Control", control)?,
            directory_address: checked_address("Listen.Directory", directory)?,
            internal_port,
            seeds,
            first_start: file.first_start,
            tolerated_losses: file
                .tolerance
                .map_or(DEFAULT_TOLERATED_LOSSES, |tolerance| tolerance.machine_losses)
                .min(MAX_TOLERATED_LOSSES),
            memory_bytes: file.limits.memory_mb.max(MIN_MEMORY_MB) * BYTES_PER_MB,
            max_descriptors: file.limits.file_descriptors,
            data_dir: file.data_dir.map(PathBuf::from),
            timing_bounds,
            platform: checked_address("Cloud.Address", file.cloud.address)?,
            platform_rate: file.cloud.rate_per_s,
            platform_lag: checked_platform_lag(file.cloud.lag)?,
        })
    }
}

/// The first of the internal ports; the others are not used.
fn checked_internal_port(ports: &[u16]) -> Result<u16, Report<ConfigError>> {
    ports.first().copied().ok_or_else(|| invalid_value("InternalPorts", "none", "two ports"))
}

fn checked_seeds(seeds: &[String]) -> Result<Vec<SocketAddrV4>, Report<ConfigError>> {
    let checked_seed = |(index, seed): (usize, &String)| {
        let key = || format!("SeedNodes.{index}");
        seed.parse().map_err(|_| invalid_value(key(), seed, "an IPv4 address and a port"))
    };
    seeds.iter().enumerate().map(checked_seed).collect()
}

fn checked_address(key: &str, text: Option<String>) -> Result<Option<SocketAddr>, Report<ConfigError>> {
    let Some(text) = text else { return Ok(None) };
    let address = text.parse().map_err(|_| invalid_value(key, &text, "an IPv4 address and a port"))?;
    Ok(Some(address))
}

/// Parses `Cloud.Lag` into seconds; 0 if it is left out.
fn checked_platform_lag(text: Option<String>) -> Result<f64, Report<ConfigError>> {
    let Some(text) = text else { return Ok(0.0) };
    parse_seconds(&text).ok_or_else(|| invalid_value("Cloud.Lag", &text, "a time such as 800ms"))
}
