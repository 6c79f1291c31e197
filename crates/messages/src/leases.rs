//! Leases for roles that one control node performs on behalf of all (`docs/control.md`, section 3).

use crate::NodeId;
use serde::{Deserialize, Serialize};

/// A role that at most one control node performs at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SingletonRole {
    /// Queries the platform for the hosts that exist.
    HostDiscovery,
    /// Keeps the quota counters of all tenants.
    QuotaCounter,
}

/// All singleton roles.
pub const SINGLETON_ROLES: [SingletonRole; 2] = [SingletonRole::HostDiscovery, SingletonRole::QuotaCounter];

/// The lease of a role, granted to one node in one term. The term serves as a fencing token: it grows with each new
/// holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The leased role.
    pub role: SingletonRole,
    /// The lease holder.
    pub holder: NodeId,
    /// The term of the lease.
    pub term: u64,
}
