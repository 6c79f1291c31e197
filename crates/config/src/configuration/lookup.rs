//! Indexes for the two look-ups of each request: its route, and the tenant that holds its key.

use super::{Route, Tenant};
use std::cmp::Reverse;
use std::collections::HashMap;

/// Indexes of the routes of each origin, the longest path prefix first.
#[derive(Clone, Debug)]
pub struct RouteIndex {
    by_origin: HashMap<String, Vec<usize>>,
}

impl RouteIndex {
    /// Indexes `routes`; the same slice has to be passed to [`RouteIndex::find`].
    pub fn new(routes: &[Route]) -> RouteIndex {
        let mut by_origin: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_origin.entry(route.origin.clone()).or_default().push(index);
        }
        for indexes in by_origin.values_mut() {
            indexes.sort_by_key(|&index| Reverse(routes[index].path_prefix.len()));
        }
        RouteIndex { by_origin }
    }

    /// The route of `origin` with the longest prefix of `path`.
    pub fn find(&self, routes: &[Route], origin: &str, path: &str) -> Option<usize> {
        // Most clients send the host name in lower case, which needs no copy.
        let indexes = match self.by_origin.get(origin) {
            Some(indexes) => indexes,
            None => self.by_origin.get(&origin.to_ascii_lowercase())?,
        };
        indexes.iter().copied().find(|&index| path.starts_with(&routes[index].path_prefix))
    }
}

/// Index of the tenant of each key.
#[derive(Clone, Debug)]
pub struct TenantIndex {
    by_key: HashMap<String, usize>,
}

impl TenantIndex {
    /// Indexes `tenants`, of which no two have a key in common.
    pub fn new(tenants: &[Tenant]) -> TenantIndex {
        let keys = |(index, tenant): (usize, &Tenant)| {
            tenant.keys.iter().map(move |key| (key.clone(), index)).collect::<Vec<_>>()
        };
        TenantIndex { by_key: tenants.iter().enumerate().flat_map(keys).collect() }
    }

    /// The tenant that holds `key`.
    pub fn find(&self, key: &str) -> Option<usize> {
        self.by_key.get(key).copied()
    }
}
