//! Control nodes on a simulated network with simulated disks, in simulated time: what a node may say without
//! recent quorum contact, and how configuration versions and operators' proposals behave under lost, late and
//! duplicated messages.

mod configuration_versions;
mod disk;
mod network;
mod quorum_contact;

/// Longest search for a smaller case of a failure.
const SHRINK_TIME: std::time::Duration = std::time::Duration::from_secs(5);
