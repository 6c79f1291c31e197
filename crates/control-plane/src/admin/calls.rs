//! The table of calls: the method, path and consistency of each. The consistency decides how a partitioned node responds.

use strum::{EnumIter, IntoEnumIterator};

/// What the response to a call is based on, and so how a node without a quorum responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A read that a quorum confirms after the call started; 503 if none does.
    LinearizableRead,
    /// Recent contact with a quorum. Without it the call is not started, and the response says so at once.
    QuorumContact,
    /// An operator's decision to continue without a quorum.
    OperatorOverride,
    /// This node's sessions and those that its peers report. Both expire by themselves (`archlink_control_node::registry`), and
    /// the response expires by its `Ttl`.
    Sessions,
    /// This node's state, with the age of its last quorum contact.
    LocalState,
}

/// A call. The variants are internal names; the paths are the operators' interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
pub enum Call {
    /// Put a configuration in force.
    ReplaceConfiguration,
    /// The configuration in force.
    ReadConfiguration,
    /// Stop sending requests to a zone's hosts.
    BeginEvacuation,
    /// Send requests to a zone's hosts again.
    FinishEvacuation,
    /// The voters, and what this node has accepted.
    Voters,
    /// Replace a voter by another node.
    ReplaceVoter,
    /// Continue without the lost voters.
    ForceNewGeneration,
    /// The data nodes that a client should connect to.
    Resolve,
    /// Control and data nodes.
    Members,
    /// Hosts and evacuated zones.
    Hosts,
    /// Holders of the singleton roles.
    Leases,
    /// Tenants' quotas and the counter.
    Quota,
    /// Recent events.
    Events,
}

impl Call {
    /// Method, path and consistency. Path parameters follow a path that ends in a slash.
    fn endpoint(self) -> (&'static str, &'static str, Consistency) {
        match self {
            Call::ReplaceConfiguration => {
                ("POST", "/archlink/Configuration.Replace", Consistency::QuorumContact)
            }
            Call::ReadConfiguration => ("GET", "/archlink/Configuration.Read", Consistency::LinearizableRead),
            Call::BeginEvacuation => ("POST", "/archlink/Evacuation.Begin/", Consistency::QuorumContact),
            Call::FinishEvacuation => ("POST", "/archlink/Evacuation.Finish/", Consistency::QuorumContact),
            Call::Voters => ("GET", "/archlink/voters", Consistency::LocalState),
            Call::ReplaceVoter => ("POST", "/archlink/Voters.Replace/", Consistency::QuorumContact),
            Call::ForceNewGeneration => ("POST", "/archlink/Voters.Refound", Consistency::OperatorOverride),
            Call::Resolve => ("GET", "/archlink/resolution", Consistency::Sessions),
            Call::Members => ("GET", "/archlink/members", Consistency::LocalState),
            Call::Hosts => ("GET", "/archlink/hosts", Consistency::LocalState),
            Call::Leases => ("GET", "/archlink/duties", Consistency::LocalState),
            Call::Quota => ("GET", "/archlink/quota", Consistency::LocalState),
            Call::Events => ("GET", "/archlink/journal", Consistency::LocalState),
        }
    }

    /// The HTTP method.
    pub fn method(self) -> &'static str {
        let (method, _, _) = self.endpoint();
        method
    }

    /// The path without its parameters.
    pub fn path(self) -> &'static str {
        let (_, path, _) = self.endpoint();
        path
    }

    /// What the response is based on.
    pub fn consistency(self) -> Consistency {
        let (_, _, consistency) = self.endpoint();
        consistency
    }

    /// The call at a path, and the path parameters.
    pub fn from_path(path: &str) -> Option<(Call, &str)> {
        Call::iter().find_map(|call| {
            let path_parameters = path.strip_prefix(call.path())?;
            (path_parameters.is_empty() != call.path().ends_with('/')).then_some((call, path_parameters))
        })
    }
}

#[cfg(test)]
mod tests;
