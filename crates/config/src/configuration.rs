//! The operator's configurations: from the text as it was sent to a checked table of routes, services and tenants, with
//! the look-ups that a request needs. Owns the field names and what makes a configuration invalid. A configuration is
//! taken whole or not at all. Must never change the text: read back, it is what was sent.

use crate::error::{ConfigError, parse_seconds, refuse};
use error_stack::Report;
use schematic::{Config, ConfigLoader};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::collections::{HashMap, HashSet};

#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
struct TableFile {
    column_names: Vec<String>,
    records: Vec<Vec<Value>>,
}

#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
struct LimitsFile {
    max_body_bytes: Option<u64>,
    header_timeout: Option<String>,
    idle_timeout: Option<String>,
}

#[derive(Config, Debug)]
#[config(rename_all = "PascalCase", allow_unknown_fields)]
struct File {
    config_version: String,
    #[setting(nested)]
    route_table: Option<TableFile>,
    #[setting(nested)]
    service_table: Option<TableFile>,
    #[setting(nested)]
    limits: Option<LimitsFile>,
    #[setting(nested)]
    subscribers: Option<TableFile>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RouteRow {
    designation: String,
    origin: String,
    path_prefix: String,
    category: Category,
    timeout: Option<String>,
    target: Option<String>,
    precedence: Option<u8>,
    distribution: Option<Vec<ShareRow>>,
    max_attempts: Option<i64>,
    public: Option<bool>,
    home_regions: Option<Vec<String>>,
    service: Option<String>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Category {
    Idempotent,
    NonIdempotent,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ShareRow {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ServiceRow {
    designation: String,
    health_path: Option<String>,
    max_connections: Option<u64>,
    cold_period: Option<String>,
    cold_rate_s: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TenantRow {
    designation: String,
    credentials: Option<Vec<String>>,
    precedence: Option<u8>,
    rate_per_s: Option<f64>,
    burst_size: Option<f64>,
    home_regions: Option<Vec<String>>,
}

/// One service of a route and its part of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    pub service: String,
    pub weight: f64,
}

/// Times in seconds; no timeout is infinity.
#[derive(Clone, Debug)]
pub struct Route {
    pub name: String,
    pub origin: String,
    pub path_prefix: String,
    /// May run more than once.
    pub idempotent: bool,
    pub timeout: f64,
    pub latency_target: f64,
    pub priority: u8,
    pub distribution: Vec<WeightedService>,
    /// Hosts that one try may be sent to.
    pub max_attempts: u32,
    pub public: bool,
    /// Regions in which it may be served; none named: all.
    pub home_regions: Vec<String>,
}

#[derive(Clone, Debug)]
pub struct Service {
    pub name: String,
    pub health_path: String,
    pub max_connections: usize,
    pub warm_up_period: f64,
    /// Requests a second that a cold host bears; 0: no such bound.
    pub warm_up_rate: f64,
}

/// `rate` 0 is no limit.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub name: String,
    pub keys: Vec<String>,
    pub priority: Option<u8>,
    pub rate: f64,
    pub burst: f64,
    pub homes: Vec<String>,
}

/// A whole checked configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: HashMap<String, Service>,
    pub tenants: Vec<Tenant>,
    /// Requests carry a key unless their route is public.
    pub keyed: bool,
    pub max_body: usize,
    pub header_timeout: f64,
    pub idle_timeout: f64,
    /// Routes of a host name, the longest prefix first.
    by_origin: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
}

/// A version's number from its eight hexadecimal digits.
pub fn version_of(text: &str) -> Result<u64, Report<ConfigError>> {
    let hex = !text.is_empty() && text.len() <= 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let read = hex.then(|| u64::from_str_radix(text, 16).ok()).flatten();
    read.ok_or_else(|| refuse("ConfigVersion", text, "hexadecimal digits"))
}

/// Rows of a table as typed values; a null means that the field is left out.
fn rows<T: DeserializeOwned>(key: &str, table: TableFile) -> Result<Vec<T>, Report<ConfigError>> {
    let TableFile { column_names, records } = table;
    let mut read = Vec::with_capacity(records.len());
    for (n, record) in records.into_iter().enumerate() {
        let at = || format!("{key}.Records.{n}");
        if record.len() != column_names.len() {
            return Err(refuse(at(), format!("{} values", record.len()), "a value for each of ColumnNames"));
        }
        let fields = column_names.iter().cloned().zip(record).filter(|(_, value)| !value.is_null());
        let row = Value::Object(Map::from_iter(fields));
        read.push(serde_json::from_value(row).map_err(|e| refuse(at(), e, "the fields of its table"))?);
    }
    Ok(read)
}

fn time(key: impl Fn(&str) -> String, name: &str, text: Option<String>) -> Result<f64, Report<ConfigError>> {
    let Some(text) = text else { return Ok(f64::INFINITY) };
    parse_seconds(&text).ok_or_else(|| refuse(key(name), &text, "a time such as 1500ms or 2.5s"))
}

impl Configuration {
    /// Reads and checks a configuration as the operator sent it; `Err` names the key that is wrong.
    pub fn read(text: &[u8]) -> Result<Configuration, Report<ConfigError>> {
        let text = std::str::from_utf8(text).map_err(|e| refuse("configuration", e, "UTF-8"))?;
        let mut loader = ConfigLoader::<File>::new();
        let loaded =
            loader.code(text, "configuration.json").and_then(|loader| loader.load()).map_err(|e| {
                refuse("configuration", e.to_full_string().replace('\n', " "), "a whole configuration")
            })?;
        let File { config_version, route_table, service_table, limits, subscribers } = loaded.config;
        // A table that is not there is no empty one: it would take all routes away.
        let there =
            |key: &str, table: Option<TableFile>| table.ok_or_else(|| refuse(key, "nothing", "a table"));
        let mut chart = Configuration {
            version: version_of(&config_version)?,
            routes: Vec::new(),
            services: HashMap::new(),
            tenants: Vec::new(),
            keyed: subscribers.is_some(),
            max_body: 64 << 20,
            header_timeout: 3.0,
            idle_timeout: 15.0,
            by_origin: HashMap::new(),
            by_key: HashMap::new(),
        };
        if let Some(limits) = limits {
            let key = |name: &str| format!("Limits.{name}");
            chart.max_body = limits.max_body_bytes.map_or(chart.max_body, |n| n as usize);
            chart.header_timeout = time(key, "HeaderTimeout", limits.header_timeout)?;
            chart.idle_timeout = time(key, "IdleTimeout", limits.idle_timeout)?;
        }
        chart.take_services(rows("ServiceTable", there("ServiceTable", service_table)?)?)?;
        chart.take_routes(rows("RouteTable", there("RouteTable", route_table)?)?)?;
        if let Some(table) = subscribers {
            chart.take_tenants(rows("Subscribers", table)?)?;
        }
        Ok(chart)
    }

    fn take_services(&mut self, rows: Vec<ServiceRow>) -> Result<(), Report<ConfigError>> {
        for row in rows {
            let key = |field: &str| format!("ServiceTable.{}.{field}", row.designation);
            let cold_rate = row.cold_rate_s.unwrap_or(0.0);
            if cold_rate < 0.0 {
                return Err(refuse(key("ColdRateS"), cold_rate, "0 or more"));
            }
            let cold_period =
                row.cold_period.clone().map_or(Ok(0.0), |t| time(key, "ColdPeriod", Some(t)))?;
            let service = Service {
                name: row.designation.clone(),
                health_path: row.health_path.unwrap_or_else(|| "/health".into()),
                max_connections: row.max_connections.map_or(usize::MAX, |n| n as usize),
                warm_up_period: cold_period,
                warm_up_rate: cold_rate,
            };
            self.services.insert(row.designation, service);
        }
        Ok(())
    }

    fn take_routes(&mut self, rows: Vec<RouteRow>) -> Result<(), Report<ConfigError>> {
        let mut places = HashSet::new();
        for row in rows {
            let name = row.designation;
            let key = |field: &str| format!("RouteTable.{name}.{field}");
            let shares: Vec<WeightedService> = match (row.service, row.distribution) {
                (Some(service), None) => vec![WeightedService { service, weight: 1.0 }],
                (None, Some(shares)) => shares
                    .into_iter()
                    .map(|s| WeightedService { service: s.service, weight: s.weight })
                    .collect(),
                _ => return Err(refuse(key("Service"), "both or neither", "Service or Distribution")),
            };
            for share in &shares {
                if !self.services.contains_key(&share.service) {
                    return Err(refuse(key("Service"), &share.service, "a service of ServiceTable"));
                }
                if share.weight.is_nan() || share.weight < 0.0 {
                    return Err(refuse(key("Distribution.Weight"), share.weight, "0 or more"));
                }
            }
            if shares.iter().all(|share| share.weight == 0.0) {
                return Err(refuse(key("Distribution"), "no weight above 0", "a weight above 0"));
            }
            let timeout = time(key, "Timeout", row.timeout)?;
            if timeout <= 0.0 {
                return Err(refuse(key("Timeout"), timeout, "a time above 0"));
            }
            let attempts = row.max_attempts.unwrap_or(1);
            if attempts < 1 {
                return Err(refuse(key("MaxAttempts"), attempts, "1 or more"));
            }
            if !row.path_prefix.starts_with('/') {
                return Err(refuse(key("PathPrefix"), &row.path_prefix, "a path that begins with a slash"));
            }
            let origin = row.origin.to_ascii_lowercase();
            if !places.insert((origin.clone(), row.path_prefix.clone())) {
                let place = format!("{origin}{} a second time", row.path_prefix);
                return Err(refuse(key("PathPrefix"), place, "a host and prefix of its own"));
            }
            let route = Route {
                origin,
                path_prefix: row.path_prefix,
                idempotent: row.category == Category::Idempotent,
                timeout,
                latency_target: time(key, "Target", row.target)?,
                priority: row.precedence.unwrap_or(u8::MAX),
                distribution: shares,
                max_attempts: attempts.min(16) as u32,
                public: row.public.unwrap_or(false),
                home_regions: row.home_regions.unwrap_or_default(),
                name,
            };
            self.by_origin.entry(route.origin.clone()).or_default().push(self.routes.len());
            self.routes.push(route);
        }
        for at in self.by_origin.values_mut() {
            at.sort_by_key(|&n| std::cmp::Reverse(self.routes[n].path_prefix.len()));
        }
        Ok(())
    }

    fn take_tenants(&mut self, rows: Vec<TenantRow>) -> Result<(), Report<ConfigError>> {
        for row in rows {
            let key = |field: &str| format!("Subscribers.{}.{field}", row.designation);
            let keys = row.credentials.clone().unwrap_or_default();
            for credential in &keys {
                if self.by_key.insert(credential.clone(), self.tenants.len()).is_some() {
                    return Err(refuse(
                        key("Credentials"),
                        "a key a second time",
                        "keys that nobody else holds",
                    ));
                }
            }
            let (rate, burst) = (row.rate_per_s.unwrap_or(0.0), row.burst_size.unwrap_or(0.0));
            if rate < 0.0 || burst < 0.0 {
                return Err(refuse(key("RatePerS"), rate.min(burst), "0 or more"));
            }
            let homes = row.home_regions.unwrap_or_default();
            let tenant = Tenant { name: row.designation, keys, priority: row.precedence, rate, burst, homes };
            self.tenants.push(tenant);
        }
        Ok(())
    }

    /// The route of a host name and a path without its query.
    pub fn route(&self, origin: &str, path: &str) -> Option<usize> {
        let at = match self.by_origin.get(origin) {
            Some(at) => at,
            None => self.by_origin.get(&origin.to_ascii_lowercase())?,
        };
        at.iter().copied().find(|&n| path.starts_with(&self.routes[n].path_prefix))
    }

    /// The tenant that holds a key.
    pub fn tenant(&self, key: &str) -> Option<usize> {
        self.by_key.get(key).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    pub const WHOLE: &str = r#"{"ConfigVersion":"0000000c","RouteTable":{"ColumnNames":["Designation","Origin",
        "PathPrefix","Category","Timeout","Target","Precedence","Distribution","MaxAttempts","Public","HomeRegions",
        "Service"],"Records":[["a","h.example","/a/","idempotent","2000ms","500ms",2,[{"Service":"s","Weight":90},
        {"Service":"t","Weight":10}],2,false,[],null],["b","h.example","/a/b/","non_idempotent","1s","200ms",0,null,1,
        true,["r"],"t"]]},"ServiceTable":{"ColumnNames":["Designation","HealthPath","MaxConnections","ColdPeriod",
        "ColdRateS"],"Records":[["s","/health",110,"3s",7.5],["t","/health",110,"3s",7.5]]},"Subscribers":{
        "ColumnNames":["Designation","Credentials","RatePerS","BurstSize"],"Records":[["x",["k","l"],76,76],
        ["y",["m"],null,null]]}}"#;

    #[test]
    fn routes_go_by_the_longest_prefix_and_keys_to_their_tenant() {
        let chart = Configuration::read(WHOLE.as_bytes()).unwrap();
        assert_eq!(chart.version, 12);
        let name = |path| chart.route("H.example", path).map(|n| chart.routes[n].name.as_str());
        assert_eq!(
            (name("/a/x"), name("/a/b/x"), name("/a"), name("/c/")),
            (Some("a"), Some("b"), None, None)
        );
        assert_eq!((chart.tenant("l"), chart.tenant("m"), chart.tenant("")), (Some(0), Some(1), None));
        assert_eq!(chart.tenants[1].rate, 0.0);
    }

    /// What the operators' page calls invalid is refused whole, by its key.
    #[test]
    fn invalid_configurations_name_their_key() {
        for (from, to, key) in [
            ("\"Service\":\"t\"", "\"Service\":\"u\"", "RouteTable.a.Service"),
            ("/a/b/", "/a/", "RouteTable.b.PathPrefix"),
            ("\"Weight\":10", "\"Weight\":-1", "RouteTable.a.Distribution.Weight"),
            ("2000ms", "0ms", "RouteTable.a.Timeout"),
            ("null,1,", "null,0,", "RouteTable.b.MaxAttempts"),
            ("\"/a/b/\"", "\"a/b/\"", "RouteTable.b.PathPrefix"),
            ("[\"m\"]", "[\"k\"]", "Subscribers.y.Credentials"),
            ("0000000c", "12x", "ConfigVersion"),
            ("[\"y\",", "[\"y\",1,", "Subscribers.Records.1"),
            ("RouteTable", "Routes", "RouteTable"),
        ] {
            let text = WHOLE.replacen(from, to, 1);
            let refused = Configuration::read(text.as_bytes()).unwrap_err();
            assert_eq!(refused.current_context().key, key);
        }
        for cut in (0..WHOLE.len()).step_by(7) {
            assert!(Configuration::read(&WHOLE.as_bytes()[..cut]).is_err(), "cut at {cut}");
        }
    }
}
