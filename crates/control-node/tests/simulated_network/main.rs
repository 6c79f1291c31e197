//! Control nodes on a simulated network with simulated disks, in simulated time: what a node may report
//! without recent quorum contact, and how configuration versions and operators' proposals behave with lost,
//! late and duplicated messages.

mod configuration_versions;
mod disk;
mod network;
mod quorum_contact;

/// The maximum time for shrinking a failing case.
const SHRINK_TIME: std::time::Duration = std::time::Duration::from_secs(5);
