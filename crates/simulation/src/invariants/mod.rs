//! What must hold after every step, whatever happens:
//!
//! - a register's chosen values are ordered alike by proposal number and by revision, with one content a revision;
//! - an epoch names one voter set;
//! - what was acknowledged is among the chosen values;
//! - a node that has a register confirmed has nothing older than what any node knew when confirmation was asked for.
//!
//! Invariant: only what could be observed of a node from outside its program is checked.

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

/// What was last observed of one node, so that only what changed is checked.
#[derive(Clone, Copy, Debug, Default)]
struct Observation {
    incarnation: u64,
    epoch: u64,
    proposals: [ProposalNumber; REGISTERS.len()],
    confirmed: [Option<f64>; REGISTERS.len()],
}

/// All that was observed, and the checks on it.
#[derive(Clone, Debug, Default)]
pub struct Invariants {
    /// Chosen values by register.
    pub lines: BTreeMap<Register, RegisterHistory>,
    /// Voter sets by epoch.
    pub voter_sets: BTreeMap<u64, VoterSet>,
    /// Operations by token.
    pub operations: BTreeMap<u64, SubmittedOperation>,
    /// The digest of the configuration that was accepted under each version.
    pub version_digests: BTreeMap<u64, [u8; 16]>,
    observations: BTreeMap<NodeId, Observation>,
}

impl Invariants {
    /// Checks a node after a step. `simulated_time` converts a reading of its clock.
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
            if let Some(asked_at) = confirmed
                && checked.is_ok()
                && confirmed != observation.confirmed[index]
            {
                observation.confirmed[index] = confirmed;
                let proposal = chosen.map_or(ProposalNumber::default(), |chosen| chosen.proposal);
                checked = self.check_confirmation(node, register, proposal, simulated_time(asked_at));
            }
        }
        self.observations.insert(node, observation);
        checked
    }

    /// Invariant: epochs only grow, and each names one voter set.
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

    /// Invariant: a node's chosen value only advances, and fits all that was chosen of the register.
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
        self.lines.entry(register).or_default().learned(now, chosen)?;
        for version in &chosen.recent_versions {
            let known = *self.version_digests.entry(version.version).or_insert(version.digest);
            if known != version.digest {
                let (version, chosen) = (*version, Box::new(chosen.clone()));
                return Err(Violation::ConflictingVersions { version, chosen });
            }
        }
        Ok(())
    }

    /// Invariant: what is confirmed is no older than what any node knew when confirmation was asked for.
    fn check_confirmation(
        &self,
        node: NodeId,
        register: Register,
        confirmed: ProposalNumber,
        asked_at: f64,
    ) -> Result<(), Violation> {
        let known = self.lines.get(&register).and_then(|history| history.known_before(asked_at));
        match known {
            Some(known) if known > confirmed => {
                Err(Violation::StaleConfirmation { node, register, confirmed, known })
            }
            _ => Ok(()),
        }
    }
}
