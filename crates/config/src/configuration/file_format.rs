//! Text of a configuration: JSON with tables of named columns, as operators send it. Unknown fields are ignored.
//!
//! The names of the types that mirror the text appear in parse errors (`expected struct PartialTableFile`), which
//! operators read: renaming one changes such an error.
//!
//! The texts of errors are part of the operators' interface: scripts compare them, so they stay the same and keep older words.
//! The control plane sends them in responses.

use crate::error::{ConfigError, invalid_value};
use error_stack::Report;
use schematic::{Config, ConfigLoader};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// A table: the names of the columns, and rows with one value for each column.
#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
pub struct TableFile {
    column_names: Vec<String>,
    records: Vec<Vec<Value>>,
}

/// Limits on clients' requests.
#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
pub struct LimitsFile {
    pub max_body_bytes: Option<u64>,
    pub header_timeout: Option<String>,
    pub idle_timeout: Option<String>,
}

/// The top-level object.
#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
pub struct File {
    pub config_version: String,
    #[setting(nested)]
    pub route_table: Option<TableFile>,
    #[setting(nested)]
    pub service_table: Option<TableFile>,
    #[setting(nested)]
    pub limits: Option<LimitsFile>,
    #[setting(nested)]
    pub subscribers: Option<TableFile>,
}

/// A row of `RouteTable`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RouteRow {
    pub designation: String,
    pub origin: String,
    pub path_prefix: String,
    pub category: Category,
    pub timeout: Option<String>,
    pub target: Option<String>,
    pub precedence: Option<u8>,
    pub distribution: Option<Vec<ShareRow>>,
    pub max_attempts: Option<i64>,
    pub public: Option<bool>,
    pub home_regions: Option<Vec<String>>,
    pub service: Option<String>,
}

/// Whether a route's requests may run more than once.
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Category {
    Idempotent,
    NonIdempotent,
}

/// An element of a route's `Distribution`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ShareRow {
    pub service: String,
    pub weight: f64,
}

/// A row of `ServiceTable`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ServiceRow {
    pub designation: String,
    pub health_path: Option<String>,
    pub max_connections: Option<u64>,
    #[serde(rename = "ColdPeriod")]
    pub warm_up_period: Option<String>,
    #[serde(rename = "ColdRateS")]
    pub warm_up_rate: Option<f64>,
}

/// A row of `Subscribers`.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TenantRow {
    pub designation: String,
    pub credentials: Option<Vec<String>>,
    pub precedence: Option<u8>,
    pub rate_per_s: Option<f64>,
    pub burst_size: Option<f64>,
    pub home_regions: Option<Vec<String>>,
}

impl File {
    /// Parses the text; tables are left as columns and rows.
    pub fn parse(text: &[u8]) -> Result<File, Report<ConfigError>> {
        let text =
            std::str::from_utf8(text).map_err(|error| invalid_value("configuration", error, "UTF-8"))?;
        let mut loader = ConfigLoader::<File>::new();
        let loaded = loader.code(text, "configuration.json").and_then(|loader| loader.load());
        let loaded = loaded.map_err(|error| {
            let one_line = error.to_full_string().replace('\n', " ");
            invalid_value("configuration", one_line, "a whole configuration")
        })?;
        Ok(loaded.config)
    }
}

/// The table under `key`. A missing table is an error rather than an empty table, which would withdraw all routes.
pub fn required_table(key: &str, table: Option<TableFile>) -> Result<TableFile, Report<ConfigError>> {
    table.ok_or_else(|| invalid_value(key, "nothing", "a table"))
}

/// The rows of the table under `key`, as typed values. A null is read as a field that is left out.
pub fn read_rows<Row: DeserializeOwned>(
    key: &str,
    table: TableFile,
) -> Result<Vec<Row>, Report<ConfigError>> {
    let mut rows = Vec::with_capacity(table.records.len());
    for (index, record) in table.records.into_iter().enumerate() {
        let row_key = || format!("{key}.Records.{index}");
        if record.len() != table.column_names.len() {
            let found = format!("{} values", record.len());
            return Err(invalid_value(row_key(), found, "a value for each of ColumnNames"));
        }
        let fields = table.column_names.iter().cloned().zip(record).filter(|(_, value)| !value.is_null());
        let row = serde_json::from_value(Value::Object(Map::from_iter(fields)));
        rows.push(row.map_err(|error| invalid_value(row_key(), error, "the fields of its table"))?);
    }
    Ok(rows)
}
