//! The status of the voter set as one control node sees it, for operators only: no decision depends on it.

use super::ControlNodeState;
use archlink_consensus::membership::ChangeResult;
use archlink_messages::{ControlNode, NodeId, ProposalNumber, Register, VoterSet};

/// One control node as another one sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// The node.
    pub node: NodeId,
    /// Its zone; `None` if the registry does not know the node.
    pub zone: Option<String>,
    /// Whether it is a voter.
    pub voter: bool,
    /// Whether it becomes a voter when the membership change in progress completes.
    pub incoming: bool,
    /// Seconds since its last message; `None` if it has sent none.
    pub last_message_age: Option<f64>,
    /// Whether its disk has everything that its acceptor ever promised; `None` if it has not reported that.
    pub recovered: Option<bool>,
}

/// The voter set as one control node sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterSetStatus {
    /// The voter set of the current epoch.
    pub voter_set: VoterSet,
    /// Whether changes are accepted: false while the first start of a cluster still adds voters.
    pub established: bool,
    /// All control nodes that are voters, become voters, or could become voters.
    pub members: Vec<MemberStatus>,
    /// Register, revision and proposal number of each value that this node's own acceptor has accepted. Of
    /// several survivors, the one with the highest proposal numbers has the latest state.
    pub accepted: Vec<(Register, u64, ProposalNumber)>,
    /// Seconds since the last membership change ended, and its result.
    pub last_change: Option<(f64, ChangeResult)>,
}

impl ControlNodeState {
    /// Returns the status of the voter set and its members, as this node sees them.
    pub fn voter_set_status(&self, now: f64) -> VoterSetStatus {
        let control_nodes = self.event_log.registry.control_nodes();
        let registered = control_nodes.iter().map(|control_node| control_node.node);
        let mut nodes: Vec<NodeId> = registered.chain(self.voter_set.all_voters()).collect();
        nodes.sort_unstable();
        nodes.dedup();
        VoterSetStatus {
            voter_set: self.voter_set.clone(),
            established: self.membership.is_established(),
            members: nodes.into_iter().map(|node| self.member_status(now, node, &control_nodes)).collect(),
            accepted: self.accepted_values(),
            last_change: self
                .membership
                .last_change()
                .map(|(ended_at, result)| (now - ended_at, result.clone())),
        }
    }

    fn member_status(&self, now: f64, node: NodeId, control_nodes: &[ControlNode]) -> MemberStatus {
        let control_node = control_nodes.iter().find(|control_node| control_node.node == node);
        MemberStatus {
            node,
            zone: control_node.map(|control_node| control_node.zone.clone()),
            voter: self.voter_set.voters.contains(&node),
            incoming: self.voter_set.incoming.contains(&node),
            last_message_age: self.membership.failure_detector.silence(now, node),
            recovered: self.membership.failure_detector.is_recovered(node),
        }
    }

    fn accepted_values(&self) -> Vec<(Register, u64, ProposalNumber)> {
        let registers = self.acceptor.registers().into_iter();
        let accepted = registers.filter_map(|(register, state)| Some((register, state.accepted?)));
        accepted.map(|(register, value)| (register, value.revision, value.proposal)).collect()
    }
}
