//! The table of calls: method and path of each, and what its answer rests on while no quorum answers this node.

use strum::{EnumIter, IntoEnumIterator};

/// What a call's answer rests on, and so what a partitioned node answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A quorum's answer after the call started; 503 where none comes.
    LinearizableRead,
    /// A quorum that answered recently: without one the call is not started, and says so at once.
    QuorumContact,
    /// An operator's decision, where no quorum is left.
    OperatorOverride,
    /// Sessions and what peers reported of theirs: they expire by themselves (`archlink_control_node::registry`), the answer
    /// by its `Ttl`.
    Sessions,
    /// What this node knows, with its age.
    LocalState,
}

/// One call. The names are this program's; paths are the operators' interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
pub enum Call {
    /// Put a configuration in force.
    ReplaceConfiguration,
    /// The configuration in force.
    ReadConfiguration,
    /// Stop sending to a zone's hosts.
    BeginEvacuation,
    /// Send to a zone's hosts again.
    FinishEvacuation,
    /// Who votes, and what this node holds.
    Voters,
    /// Give a voter's seat to another node.
    ReplaceVoter,
    /// Continue without the lost voters.
    ForceNewGeneration,
    /// Where a client should connect.
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
    /// Method, path, and basis. A path that ends in a slash is followed by names.
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
        self.endpoint().0
    }

    /// The path, up to the names that follow it.
    pub fn path(self) -> &'static str {
        self.endpoint().1
    }

    /// What the answer rests on.
    pub fn consistency(self) -> Consistency {
        self.endpoint().2
    }

    /// The call at a path, and the names that follow it.
    pub fn from_path(path: &str) -> Option<(Call, &str)> {
        Call::iter().find_map(|call| {
            let path_parameters = path.strip_prefix(call.path())?;
            (path_parameters.is_empty() != call.path().ends_with('/')).then_some((call, path_parameters))
        })
    }
}

#[cfg(test)]
mod tests;
