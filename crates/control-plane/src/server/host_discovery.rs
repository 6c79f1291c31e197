//! The host discovery role: lists the platform's hosts while this node holds the lease, and gives changes to the core.
//!
//! Invariant: the platform is not asked while another node holds the lease, nor more often than [`POLL_INTERVAL`].

mod platform;

use super::node::Node;
use archlink_messages::{HostInstance, HostList, SingletonRole};
use platform::{PlatformClient, PlatformError};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Pause between two lists: a few fit into the time in which a drain has to be known.
const POLL_INTERVAL: Duration = Duration::from_millis(550);
/// Limit for one list with all its pages.
const LIST_TIMEOUT: Duration = Duration::from_millis(1200);
/// Pause between two checks whether this node holds the lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The same hosts, and none of them warming up anew: a warm-up time that runs down is counted down by those that know it.
fn is_unchanged(before: &[HostInstance], after: &[HostInstance]) -> bool {
    let same = |a: &HostInstance, b: &HostInstance| {
        a.id == b.id
            && a.address == b.address
            && a.draining == b.draining
            && b.warm_up_seconds <= a.warm_up_seconds
    };
    before.len() == after.len() && before.iter().zip(after).all(|(a, b)| same(a, b))
}

/// Polls the platform for as long as this node holds the lease; does nothing where the settings name no platform.
pub async fn run(node: Rc<Node>) {
    let Some(address) = node.settings.platform else { return };
    let mut platform = PlatformClient::new(address);
    let mut published: Vec<HostInstance> = Vec::new();
    loop {
        let held = node.with_state(|state, now| state.leases.held_lease(now, SingletonRole::HostDiscovery));
        let Some(lease) = held else {
            platform.disconnect();
            published.clear();
            sleep(LEASE_CHECK_INTERVAL).await;
            continue;
        };
        let listed = timeout(LIST_TIMEOUT, platform.list_instances()).await;
        match listed.unwrap_or(Err(PlatformError::Timeout)) {
            Ok(instances) => publish_list(&node, lease.term, &mut published, instances),
            Err(e) => log::warn!(error:% = e; "host list request failed"),
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Publishes a list that differs from the published one.
fn publish_list(node: &Node, term: u64, published: &mut Vec<HostInstance>, instances: Vec<HostInstance>) {
    if is_unchanged(published, &instances) {
        let pairs = published.iter_mut().zip(instances);
        pairs.for_each(|(known, listed)| known.warm_up_seconds = listed.warm_up_seconds);
        return;
    }
    published.clone_from(&instances);
    let version = node.with_state(|state, _| {
        let before = state.host_list();
        if before.term == term { before.version + 1 } else { 1 }
    });
    log::info!(term = term, version = version, hosts = instances.len(); "host list published");
    node.step(|state, now| state.set_host_list(now, HostList { term, version, instances }));
    node.notify_sessions();
}

#[cfg(test)]
mod tests;
