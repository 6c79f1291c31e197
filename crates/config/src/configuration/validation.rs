//! Validates the rows of a configuration and converts them to checked types. Each error names the key at fault.
//!
//! The texts of errors are part of the operators' interface: scripts compare them, so they stay the same and keep older words.
//! The control plane sends them in responses.

use super::file_format::{Category, LimitsFile, RouteRow, ServiceRow, ShareRow, TenantRow};
use super::{Route, Service, Tenant, WeightedService};
use crate::duration::parse_seconds;
use crate::error::{ConfigError, invalid_value};
use error_stack::Report;
use std::collections::{HashMap, HashSet};

/// Maximum size of a request body without `MaxBodyBytes`, in bytes: 64 MiB.
const DEFAULT_MAX_BODY: usize = 64 << 20;
/// Timeout for the headers of a request without `Limits`, in seconds.
const DEFAULT_HEADER_TIMEOUT: f64 = 3.0;
/// Idle timeout of a connection without `Limits`, in seconds.
const DEFAULT_IDLE_TIMEOUT: f64 = 15.0;
/// Path of the health checks of a service without `HealthPath`.
const DEFAULT_HEALTH_PATH: &str = "/health";
/// Upper limit of `MaxAttempts`, to which higher values are lowered: bounds the load that one request can cause.
const MAX_ATTEMPTS: i64 = 16;
/// Priority of a route without `Precedence`: the least important.
const DEFAULT_PRIORITY: u8 = u8::MAX;
/// Weight of the only service of a route.
const SINGLE_SERVICE_WEIGHT: f64 = 1.0;

/// Limits on clients' requests. Durations are in seconds.
pub struct RequestLimits {
    /// Maximum size of a body, in bytes.
    pub max_body: usize,
    /// Maximum time for the headers.
    pub header_timeout: f64,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: f64,
}

/// Checks `Limits`. The default timeouts apply only if the whole object is missing; a timeout that an existing object leaves
/// out is infinite.
pub fn checked_limits(limits: Option<LimitsFile>) -> Result<RequestLimits, Report<ConfigError>> {
    let Some(limits) = limits else {
        return Ok(RequestLimits {
            max_body: DEFAULT_MAX_BODY,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
        });
    };
    let key = |field: &str| format!("Limits.{field}");
    Ok(RequestLimits {
        max_body: limits.max_body_bytes.map_or(DEFAULT_MAX_BODY, |bytes| bytes as usize),
        header_timeout: seconds_or_infinity(key, "HeaderTimeout", limits.header_timeout)?,
        idle_timeout: seconds_or_infinity(key, "IdleTimeout", limits.idle_timeout)?,
    })
}

/// Checks the rows of `ServiceTable`. If two rows have the same name, the later one applies.
pub fn checked_services(rows: Vec<ServiceRow>) -> Result<HashMap<String, Service>, Report<ConfigError>> {
    rows.into_iter().map(|row| Ok((row.designation.clone(), checked_service(row)?))).collect()
}

fn checked_service(row: ServiceRow) -> Result<Service, Report<ConfigError>> {
    let name = row.designation;
    let key = |field: &str| format!("ServiceTable.{name}.{field}");
    let warm_up_rate = row.warm_up_rate.unwrap_or(0.0);
    if warm_up_rate < 0.0 {
        return Err(invalid_value(key("ColdRateS"), warm_up_rate, "0 or more"));
    }
    let warm_up_period = match row.warm_up_period {
        Some(text) => seconds(key, "ColdPeriod", &text)?,
        None => 0.0,
    };
    Ok(Service {
        health_path: row.health_path.unwrap_or_else(|| DEFAULT_HEALTH_PATH.into()),
        max_connections: row.max_connections.map_or(usize::MAX, |limit| limit as usize),
        warm_up_period,
        warm_up_rate,
        name,
    })
}

/// Checks the rows of `RouteTable` against the services of the same configuration.
pub fn checked_routes(
    rows: Vec<RouteRow>,
    services: &HashMap<String, Service>,
) -> Result<Vec<Route>, Report<ConfigError>> {
    let mut known_prefixes = HashSet::new();
    rows.into_iter().map(|row| checked_route(row, services, &mut known_prefixes)).collect()
}

/// Checks one route. `known_prefixes` holds the origin and path prefix of each earlier route; those of this one are added.
fn checked_route(
    row: RouteRow,
    services: &HashMap<String, Service>,
    known_prefixes: &mut HashSet<(String, String)>,
) -> Result<Route, Report<ConfigError>> {
    let name = row.designation;
    let key = |field: &str| format!("RouteTable.{name}.{field}");
    let distribution = checked_distribution(key, row.service, row.distribution, services)?;
    let timeout = seconds_or_infinity(key, "Timeout", row.timeout)?;
    if timeout <= 0.0 {
        return Err(invalid_value(key("Timeout"), timeout, "a time above 0"));
    }
    let max_attempts = row.max_attempts.unwrap_or(1);
    if max_attempts < 1 {
        return Err(invalid_value(key("MaxAttempts"), max_attempts, "1 or more"));
    }
    if !row.path_prefix.starts_with('/') {
        let allowed = "a path that begins with a slash";
        return Err(invalid_value(key("PathPrefix"), &row.path_prefix, allowed));
    }
    let origin = row.origin.to_ascii_lowercase();
    if !known_prefixes.insert((origin.clone(), row.path_prefix.clone())) {
        let found = format!("{origin}{} a second time", row.path_prefix);
        return Err(invalid_value(key("PathPrefix"), found, "a host and prefix of its own"));
    }
    Ok(Route {
        origin,
        path_prefix: row.path_prefix,
        idempotent: row.category == Category::Idempotent,
        timeout,
        latency_target: seconds_or_infinity(key, "Target", row.target)?,
        priority: row.precedence.unwrap_or(DEFAULT_PRIORITY),
        distribution,
        max_attempts: max_attempts.min(MAX_ATTEMPTS) as u32,
        public: row.public.unwrap_or(false),
        home_regions: row.home_regions.unwrap_or_default(),
        name,
    })
}

/// Checks the weighted services of a route, which names either one service or a distribution over several.
fn checked_distribution(
    key: impl Fn(&str) -> String,
    service: Option<String>,
    distribution: Option<Vec<ShareRow>>,
    services: &HashMap<String, Service>,
) -> Result<Vec<WeightedService>, Report<ConfigError>> {
    let distribution = match (service, distribution) {
        (Some(service), None) => vec![WeightedService { service, weight: SINGLE_SERVICE_WEIGHT }],
        (None, Some(rows)) => {
            rows.into_iter().map(|row| WeightedService { service: row.service, weight: row.weight }).collect()
        }
        _ => return Err(invalid_value(key("Service"), "both or neither", "Service or Distribution")),
    };
    for WeightedService { service, weight } in &distribution {
        if !services.contains_key(service) {
            return Err(invalid_value(key("Service"), service, "a service of ServiceTable"));
        }
        if weight.is_nan() || *weight < 0.0 {
            return Err(invalid_value(key("Distribution.Weight"), weight, "0 or more"));
        }
    }
    if distribution.iter().all(|weighted| weighted.weight == 0.0) {
        return Err(invalid_value(key("Distribution"), "no weight above 0", "a weight above 0"));
    }
    Ok(distribution)
}

/// Checks the rows of `Subscribers`. No key may appear twice.
pub fn checked_tenants(rows: Vec<TenantRow>) -> Result<Vec<Tenant>, Report<ConfigError>> {
    let mut known_keys = HashSet::new();
    rows.into_iter().map(|row| checked_tenant(row, &mut known_keys)).collect()
}

/// Checks one tenant. `known_keys` holds the keys of all earlier tenants; those of this one are added.
fn checked_tenant(row: TenantRow, known_keys: &mut HashSet<String>) -> Result<Tenant, Report<ConfigError>> {
    let name = row.designation;
    let key = |field: &str| format!("Subscribers.{name}.{field}");
    let keys = row.credentials.unwrap_or_default();
    for credential in &keys {
        if !known_keys.insert(credential.clone()) {
            // Keys are secret: the error doesn't quote them.
            return Err(invalid_value(
                key("Credentials"),
                "a key a second time",
                "keys that nobody else holds",
            ));
        }
    }
    let (rate, burst) = (row.rate_per_s.unwrap_or(0.0), row.burst_size.unwrap_or(0.0));
    if rate < 0.0 || burst < 0.0 {
        return Err(invalid_value(key("RatePerS"), rate.min(burst), "0 or more"));
    }
    let home_regions = row.home_regions.unwrap_or_default();
    Ok(Tenant { name, keys, priority: row.precedence, rate, burst, home_regions })
}

/// Parses a required duration into seconds.
fn seconds(key: impl Fn(&str) -> String, field: &str, text: &str) -> Result<f64, Report<ConfigError>> {
    parse_seconds(text).ok_or_else(|| invalid_value(key(field), text, "a time such as 1500ms or 2.5s"))
}

/// Parses an optional duration into seconds; infinite if the field is left out.
fn seconds_or_infinity(
    key: impl Fn(&str) -> String,
    field: &str,
    text: Option<String>,
) -> Result<f64, Report<ConfigError>> {
    text.map_or(Ok(f64::INFINITY), |text| seconds(key, field, &text))
}
