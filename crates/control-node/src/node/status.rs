//! Who votes, as one control gateway sees it, for people to look at. Must never decide anything.

use super::ControlNodeState;
use archlink_consensus::membership::ChangeResult;
use archlink_messages::{NodeId, ProposalNumber, Register, VoterSet};

/// One control gateway as another one sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    pub node: NodeId,
    /// None of one that nobody has met.
    pub zone: Option<String>,
    /// It has a seat; it is to have one once the change that is under way ends.
    pub voter: bool,
    pub incoming: bool,
    /// Seconds since a word of it came; none where none ever did.
    pub last_heard_age: Option<f64>,
    /// Does its disk hold all that it ever promised? None where it didn't say.
    pub recovered: Option<bool>,
}

/// Who votes, as one control gateway sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct VoterSetStatus {
    pub voter_set: VoterSet,
    /// False while a first start still takes others in: no order is taken.
    pub established: bool,
    /// All control gateways that have a seat, are to have one, or could.
    pub members: Vec<MemberStatus>,
    /// What this gateway's own disk holds of each register: stamp and ballot. Of several survivors the one with the greatest
    /// ballots is the newest.
    pub accepted: Vec<(Register, u64, ProposalNumber)>,
    /// How the last change ended, and how many seconds ago.
    pub last_change: Option<(f64, ChangeResult)>,
}

impl ControlNodeState {
    /// Who votes, for people to look at.
    pub fn voter_set_status(&self, now: f64) -> VoterSetStatus {
        let control_nodes = self.event_log.registry.control_nodes();
        let mut nodes: Vec<NodeId> =
            control_nodes.iter().map(|k| k.node).chain(self.voter_set.all_voters()).collect();
        nodes.sort_unstable();
        nodes.dedup();
        let member = |node: NodeId| MemberStatus {
            node,
            zone: control_nodes.iter().find(|k| k.node == node).map(|k| k.zone.clone()),
            voter: self.voter_set.voters.contains(&node),
            incoming: self.voter_set.incoming.contains(&node),
            last_heard_age: self.membership.failure_detector.silence(now, node),
            recovered: self.membership.failure_detector.is_recovered(node),
        };
        let slots = self.acceptor.registers().into_iter();
        VoterSetStatus {
            voter_set: self.voter_set.clone(),
            established: self.membership.is_established(),
            members: nodes.into_iter().map(member).collect(),
            accepted: slots
                .filter_map(|(r, slot)| slot.accepted.map(|held| (r, held.revision, held.proposal)))
                .collect(),
            last_change: self.membership.last_change().map(|(at, ended)| (now - at, ended.clone())),
        }
    }
}
