//! The invariants that must hold after every step, whatever faults occur:
//!
//! - the chosen values of a register have the same order by proposal number and by revision, and each revision has one value;
//! - each epoch has exactly one voter set;
//! - every acknowledged operation is among the chosen values;
//! - a node with a confirmed register value has nothing older than what any node knew when the confirmation was requested.
//!
//! Invariant: the checks use only what could be observed of a node from outside its process.

mod history;
mod operations;
#[cfg(test)]
mod tests;
mod violation;

pub use history::{ChosenValue, RegisterHistory};
pub use operations::{Operation, Resolution, SubmittedOperation};
pub use violation::Violation;

use archlink_control_node::node::ControlNodeState;
use archlink_messages::{AcceptedValue, NodeId, ProposalNumber, REGISTERS, Register, VoterSet};
use std::collections::BTreeMap;

/// The last observation of one node, so that only changes are checked.
#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    incarnation: u64,
    epoch: u64,
    proposals: [ProposalNumber; REGISTERS.len()],
    confirmed: [Option<f64>; REGISTERS.len()],
}

/// Everything observed of the nodes, with the checks on it.
#[derive(Clone, Debug, Default)]
pub struct Invariants {
    /// Chosen values by register.
    pub histories: BTreeMap<Register, RegisterHistory>,
    /// Voter sets by epoch.
    pub voter_sets: BTreeMap<u64, VoterSet>,
    /// Operations by token.
    pub operations: BTreeMap<u64, SubmittedOperation>,
    /// The digest of the configuration that was accepted under each version.
    pub version_digests: BTreeMap<u64, [u8; 16]>,
    observations: BTreeMap<NodeId, Observation>,
}

impl Invariants {
    /// Checks a node after a step. `simulated_time` converts a reading of the node's clock to simulated time.
    pub(crate) fn check_node(
        &mut self,
        now: f64,
        node: NodeId,
        incarnation: u64,
        control: &ControlNodeState,
        simulated_time: impl Fn(f64) -> f64,
    ) -> Result<(), Violation> {
        let known = self.observations.get(&node).filter(|known| known.incarnation == incarnation);
        let mut observation = known.copied().unwrap_or(Observation { incarnation, ..Observation::default() });
        let mut checked = self.check_voter_set(node, &mut observation, control.voter_set());
        for (index, register) in REGISTERS.into_iter().enumerate() {
            if checked.is_err() {
                break;
            }
            let chosen = control.proposer.committed(register);
            checked = self.check_chosen(now, node, register, &mut observation.proposals[index], chosen);
            let confirmed = control.proposer.confirmed(register);
            if let Some(requested_at) = confirmed
                && checked.is_ok()
                && confirmed != observation.confirmed[index]
            {
                observation.confirmed[index] = confirmed;
                let proposal = chosen.map_or(ProposalNumber::default(), |chosen| chosen.proposal);
                checked = self.check_confirmation(node, register, proposal, simulated_time(requested_at));
            }
        }
        self.observations.insert(node, observation);
        checked
    }

    /// Invariant: a node's epoch only increases, and each epoch has one voter set.
    fn check_voter_set(
        &mut self,
        node: NodeId,
        observation: &mut Observation,
        voter_set: &VoterSet,
    ) -> Result<(), Violation> {
        let epoch = voter_set.epoch;
        if epoch == observation.epoch {
            return Ok(());
        }
        if epoch < observation.epoch {
            return Err(Violation::EpochDecreased { node, epoch });
        }
        observation.epoch = epoch;
        let known = self.voter_sets.entry(epoch).or_insert_with(|| voter_set.clone());
        if known != voter_set {
            let (known, adopted) = (Box::new(known.clone()), Box::new(voter_set.clone()));
            return Err(Violation::ConflictingVoterSets { known, adopted });
        }
        Ok(())
    }

    /// Invariant: the proposal number of a node's chosen value only increases, and the value is consistent with all other
    /// values chosen for the register.
    fn check_chosen(
        &mut self,
        now: f64,
        node: NodeId,
        register: Register,
        observed: &mut ProposalNumber,
        chosen: Option<&AcceptedValue>,
    ) -> Result<(), Violation> {
        let Some(chosen) = chosen.filter(|chosen| chosen.proposal != *observed) else { return Ok(()) };
        if chosen.proposal < *observed {
            return Err(Violation::ProposalDecreased { node, chosen: Box::new(chosen.clone()) });
        }
        *observed = chosen.proposal;
        self.histories.entry(register).or_default().record_learned(now, chosen)?;
        for version in &chosen.recent_versions {
            let known = *self.version_digests.entry(version.version).or_insert(version.digest);
            if known != version.digest {
                let (version, chosen) = (*version, Box::new(chosen.clone()));
                return Err(Violation::ConflictingVersions { version, chosen });
            }
        }
        Ok(())
    }

    /// Invariant: a confirmed value is no older than what any node knew when the confirmation was requested.
    fn check_confirmation(
        &self,
        node: NodeId,
        register: Register,
        confirmed: ProposalNumber,
        requested_at: f64,
    ) -> Result<(), Violation> {
        let known = self.histories.get(&register).and_then(|history| history.known_before(requested_at));
        match known {
            Some(known) if known > confirmed => {
                Err(Violation::StaleConfirmation { node, register, confirmed, known })
            }
            _ => Ok(()),
        }
    }
}
