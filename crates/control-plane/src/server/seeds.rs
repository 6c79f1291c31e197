//! The seed nodes of the settings file.

use archlink_config::Settings;
use archlink_messages::NodeId;

/// The control nodes that `SeedNodes` lists.
pub fn seed_nodes(settings: &Settings) -> Vec<NodeId> {
    settings.seeds.iter().map(|seed| archlink_runtime::node_id(*seed.ip())).collect()
}
