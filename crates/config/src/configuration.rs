//! Routing configuration: routes, services and tenants, as checked types.
//!
//! [`Configuration::read`] accepts a configuration as a whole or rejects it with an error that names the key at fault;
//! nothing is applied in part. The text itself is never changed: operators read back the bytes that they sent.

mod file_format;
mod lookup;
mod validation;

use crate::error::{ConfigError, invalid_value};
use error_stack::Report;
use file_format::{File, read_rows, required_table};
use lookup::{RouteIndex, TenantIndex};
use std::collections::HashMap;
use validation::{RequestLimits, checked_limits, checked_routes, checked_services, checked_tenants};

/// A service to which a route sends requests, with its weight among the services of that route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of a service of the same configuration.
    pub service: String,
    /// Relative share of the route's requests, 0 or more; at least one weight of a route is above 0.
    pub weight: f64,
}

/// A route, which matches the requests for one origin whose path has one prefix. Durations are in seconds.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name in the requests, in lower case.
    pub origin: String,
    /// Prefix of the path, beginning with a slash. No other route has the same origin and prefix.
    pub path_prefix: String,
    /// Whether a request may run more than once, so that it can be retried and hedged.
    pub idempotent: bool,
    /// Timeout of a whole request, above 0; infinite if there is none.
    pub timeout: f64,
    /// Latency that operators aim for; infinite if there is no target.
    pub latency_target: f64,
    /// Priority under overload: 0 is the most important, 255 (the default) the least.
    pub priority: u8,
    /// The services that share the requests; never empty.
    pub distribution: Vec<WeightedService>,
    /// Maximum number of hosts to which one request may be sent, from 1 to 16.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Regions that may serve the route; empty for all.
    pub home_regions: Vec<String>,
}

/// A service: a set of hosts that serve the same requests. Durations are in seconds.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health checks on its hosts.
    pub health_path: String,
    /// Maximum number of connections to one host; `usize::MAX` for no limit.
    pub max_connections: usize,
    /// How long a new host warms up; 0 for no slow start.
    pub warm_up_period: f64,
    /// Requests per second that a host takes while it warms up; 0 for no limit.
    pub warm_up_rate: f64,
}

/// A tenant, which the text calls a subscriber: its keys and its quota.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// The keys that authenticate its requests. No two tenants have a key in common.
    pub keys: Vec<String>,
    /// Priority of its requests, if the tenant sets one.
    pub priority: Option<u8>,
    /// Rate limit in requests per second; 0 for none.
    pub rate: f64,
    /// Burst size in requests.
    pub burst: f64,
    /// Regions that may serve its requests; empty for all.
    pub home_regions: Vec<String>,
}

/// A complete, checked configuration. Durations are in seconds.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version that the operator assigned.
    pub version: u64,
    /// Routes in the order of the text.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: HashMap<String, Service>,
    /// Tenants in the order of the text.
    pub tenants: Vec<Tenant>,
    /// Whether requests need a key, except on public routes. True if the text has the table `Subscribers`.
    pub keyed: bool,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum time for a client to send the headers of a request.
    pub header_timeout: f64,
    /// Maximum time for which a client connection may be idle.
    pub idle_timeout: f64,
    route_index: RouteIndex,
    tenant_index: TenantIndex,
}

/// Parses the version of a configuration: 1 to 16 hexadecimal digits.
pub fn parse_version(text: &str) -> Result<u64, Report<ConfigError>> {
    const MAX_DIGITS: usize = (u64::BITS / 4) as usize;
    let is_hex = (1..=MAX_DIGITS).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let version = if is_hex { u64::from_str_radix(text, 16).ok() } else { None };
    version.ok_or_else(|| invalid_value("ConfigVersion", text, "hexadecimal digits"))
}

impl Configuration {
    /// Parses and checks a configuration as an operator sent it.
    ///
    /// # Errors
    ///
    /// The error names the first key whose value is not allowed.
    pub fn read(text: &[u8]) -> Result<Configuration, Report<ConfigError>> {
        let file = File::parse(text)?;
        let version = parse_version(&file.config_version)?;
        let keyed = file.subscribers.is_some();
        let RequestLimits { max_body, header_timeout, idle_timeout } = checked_limits(file.limits)?;
        let table = required_table("ServiceTable", file.service_table)?;
        let services = checked_services(read_rows("ServiceTable", table)?)?;
        let table = required_table("RouteTable", file.route_table)?;
        let routes = checked_routes(read_rows("RouteTable", table)?, &services)?;
        let tenants = match file.subscribers {
            Some(table) => checked_tenants(read_rows("Subscribers", table)?)?,
            None => Vec::new(),
        };
        Ok(Configuration {
            version,
            keyed,
            max_body,
            header_timeout,
            idle_timeout,
            route_index: RouteIndex::new(&routes),
            tenant_index: TenantIndex::new(&tenants),
            routes,
            services,
            tenants,
        })
    }

    /// Index in `routes` of the route for a request: the route of its origin with the longest matching path prefix. `origin`
    /// may be in any case; `path` is without the query.
    pub fn route(&self, origin: &str, path: &str) -> Option<usize> {
        self.route_index.find(&self.routes, origin, path)
    }

    /// Index in `tenants` of the tenant that holds `key`.
    pub fn tenant(&self, key: &str) -> Option<usize> {
        self.tenant_index.find(key)
    }
}
