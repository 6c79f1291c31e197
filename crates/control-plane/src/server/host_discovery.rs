//! The host discovery role: polls the platform's host list while this node holds the lease, and publishes changes to the core.
//!
//! Invariant: the platform is not polled without the lease, nor more often than once per [`POLL_INTERVAL`].

mod platform;

use super::node::Node;
use archlink_messages::{HostInstance, HostList, SingletonRole};
use platform::{PlatformClient, PlatformError};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Pause between two polls. A draining host has to be known within a time that allows several polls.
const POLL_INTERVAL: Duration = Duration::from_millis(550);
/// Time limit for one list with all its pages.
const LIST_TIMEOUT: Duration = Duration::from_millis(1200);
/// Pause between two checks of the lease while another node holds it.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Whether the lists have the same hosts and none has started a new warm-up. A warm-up time that merely decreases is no change,
/// because the receivers of the list count it down themselves.
fn is_unchanged(before: &[HostInstance], after: &[HostInstance]) -> bool {
    let same = |before: &HostInstance, after: &HostInstance| {
        before.id == after.id
            && before.address == after.address
            && before.draining == after.draining
            && after.warm_up_seconds <= before.warm_up_seconds
    };
    before.len() == after.len() && before.iter().zip(after).all(|(before, after)| same(before, after))
}

/// Polls the platform while this node holds the lease. Does nothing if the settings name no platform.
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

/// Publishes a list if it differs from the published one; otherwise updates the remaining warm-up times.
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
