//! Text of a settings file. Unknown fields are ignored, because operators add fields to the file.
//!
//! The names of these types appear in parse errors (`expected struct PartialListenFile`), which operators read: renaming
//! one changes such an error.

use crate::error::{ConfigError, invalid_value};
use error_stack::Report;
use schematic::{Config, ConfigLoader};
use std::collections::HashMap;

/// Addresses to listen on.
#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
pub struct ListenFile {
    pub front: Option<String>,
    pub ready: Option<String>,
    pub control: Option<String>,
    pub directory: Option<String>,
}

/// Resources that the process may use.
#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
pub struct LimitsFile {
    pub memory_mb: f64,
    pub file_descriptors: u64,
}

/// Losses that the system has to tolerate.
#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
pub struct ToleranceFile {
    pub machine_losses: u32,
}

/// The platform's API.
#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
pub struct CloudFile {
    pub address: Option<String>,
    pub rate_per_s: f64,
    pub lag: Option<String>,
}

/// The top-level object.
#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
pub struct File {
    pub node_name: String,
    pub ip_address: String,
    pub zone: String,
    pub region: String,
    pub zones: HashMap<String, String>,
    #[setting(nested)]
    pub listen: ListenFile,
    pub internal_ports: Vec<u16>,
    pub seed_nodes: Vec<String>,
    pub first_start: bool,
    #[setting(nested)]
    pub tolerance: Option<ToleranceFile>,
    #[setting(nested)]
    pub limits: LimitsFile,
    pub data_dir: Option<String>,
    pub timing_bounds: Vec<String>,
    #[setting(nested)]
    pub cloud: CloudFile,
}

impl File {
    /// Parses the text.
    pub fn parse(text: &str) -> Result<File, Report<ConfigError>> {
        let mut loader = ConfigLoader::<File>::new();
        let loaded = loader.code(text, "settings.json").and_then(|loader| loader.load());
        let loaded = loaded.map_err(|error| {
            let one_line = error.to_full_string().replace('\n', " ");
            invalid_value("settings", one_line, "a complete settings object")
        })?;
        Ok(loaded.config)
    }
}
