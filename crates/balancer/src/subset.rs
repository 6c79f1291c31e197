//! Deterministic subsetting: the few hosts of a service in each zone that a data node prefers.
//!
//! With many data nodes, each gets frequent responses from a few hosts instead of rare ones from all, and keeps few
//! connections. Hosts are ranked by a hash of host and data node (rendezvous hashing), so that adding or removing a
//! host changes little. The subset is a preference: other hosts cost more, see [`crate::selection`].

use crate::host::Host;
use crate::slow_start::DataNodes;
use archlink_messages::NodeRank;
use std::collections::BTreeMap;

/// Size of a subset as a multiple of a data node's even share of the hosts: at twice that share, differences between
/// data nodes even out.
const EVEN_SHARES: f64 = 2.0;
/// Minimum size of a subset in each zone, for the same reason.
const MIN_SUBSET_SIZE: usize = 3;

/// Marks the hosts of this data node's subset in each of `zone_count` zones.
pub(crate) fn mark_subset(hosts: &mut BTreeMap<u64, Host>, nodes: &DataNodes, zone_count: usize) {
    let mut ranked_by_zone: BTreeMap<(&str, &str), Vec<(usize, u64)>> = BTreeMap::new();
    for (key, host) in hosts.iter() {
        let rank = NodeRank::of(nodes.local, &host.instance.id, &nodes.all).rank;
        let service_and_zone = (host.instance.service.as_str(), host.instance.zone.as_str());
        ranked_by_zone.entry(service_and_zone).or_default().push((rank, *key));
    }
    let zone_count = zone_count.max(1) as f64;
    let node_count = nodes.all.len().max(1) as f64;
    let mut subset = Vec::new();
    for ranked in ranked_by_zone.values_mut() {
        ranked.sort_unstable();
        let even_share = ranked.len() as f64 * zone_count / node_count;
        let size = ((even_share * EVEN_SHARES).ceil() as usize).max(MIN_SUBSET_SIZE);
        subset.extend(ranked.iter().take(size).map(|(_, key)| *key));
    }
    subset.sort_unstable();
    for (key, host) in hosts {
        host.in_subset = subset.binary_search(key).is_ok();
    }
}
