//! Operations that operators submit, and the checks on their outcomes.

use super::history::ChosenValue;
use super::{Invariants, Violation};
use archlink_consensus::proposer::Proposer;
use archlink_consensus::{MembershipChange, Outcome};
use archlink_messages::{NodeId, Register, VersionDigest, decode_evacuated_zones};
use bytes::Bytes;

/// An operation that an operator submits.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Replaces the current configuration.
    Configuration {
        /// The version, assigned by the operator.
        version: u64,
        /// The digest of `text`.
        digest: [u8; 16],
        /// The configuration itself.
        text: Bytes,
    },
    /// Begins or ends the evacuation of a zone.
    Evacuation {
        /// Name of the zone.
        zone: String,
        /// Whether the evacuation begins.
        evacuated: bool,
    },
    /// Changes the voter set.
    Membership(MembershipChange),
}

impl Operation {
    fn register(&self) -> Register {
        match self {
            Operation::Configuration { .. } => Register::Configuration,
            Operation::Evacuation { .. } => Register::Evacuations,
            Operation::Membership(_) => Register::VoterSet,
        }
    }
}

/// How an operation ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Resolution {
    /// Simulated time, in seconds, of the outcome.
    pub at: f64,
    /// The first outcome reported; later ones are ignored.
    pub outcome: Outcome,
}

/// A submitted operation, with its outcome once it has one.
#[derive(Clone, Debug)]
pub struct SubmittedOperation {
    /// The node through which it was submitted.
    pub node: NodeId,
    /// What was submitted.
    pub operation: Operation,
    /// Simulated time, in seconds, of the submission.
    pub at: f64,
    /// How it ended; `None` while it is open.
    pub resolution: Option<Resolution>,
}

impl Invariants {
    /// Records the submission of an operation under a unique token.
    pub fn record_submission(&mut self, now: f64, node: NodeId, token: u64, operation: Operation) {
        let submitted = SubmittedOperation { node, operation, at: now, resolution: None };
        self.operations.insert(token, submitted);
    }

    /// Whether an operation has no outcome yet.
    pub fn is_open(&self, token: u64) -> bool {
        self.operations.get(&token).is_some_and(|submitted| submitted.resolution.is_none())
    }

    /// Tokens of a node's open operations.
    pub fn open_operations(&self, node: NodeId) -> Vec<u64> {
        let open = self
            .operations
            .iter()
            .filter(|(_, submitted)| submitted.node == node && submitted.resolution.is_none());
        open.map(|(token, _)| *token).collect()
    }

    /// Checks an operation's outcome; `proposer` is that of the node that reports it.
    pub(crate) fn check_outcome(
        &mut self,
        now: f64,
        token: u64,
        outcome: Outcome,
        proposer: Option<&Proposer>,
    ) -> Result<(), Violation> {
        // Tests also use tokens of their own, without a recorded operation.
        let Some(submitted) = self.operations.get_mut(&token) else { return Ok(()) };
        submitted.resolution.get_or_insert(Resolution { at: now, outcome });
        let (Outcome::Chosen | Outcome::VersionConflict(_), Some(proposer)) = (outcome, proposer) else {
            return Ok(());
        };
        let submitted = &self.operations[&token];
        match &submitted.operation {
            Operation::Configuration { version, digest, text } => {
                self.check_configuration_outcome(proposer, *version, *digest, text, outcome)
            }
            Operation::Evacuation { zone, evacuated } => {
                self.check_evacuation_outcome(submitted, zone, *evacuated)
            }
            Operation::Membership(_) => Ok(()),
        }
    }

    fn chosen_values(&self, register: Register) -> impl DoubleEndedIterator<Item = &ChosenValue> {
        self.histories.get(&register).into_iter().flat_map(|history| history.values.values())
    }

    fn check_configuration_outcome(
        &self,
        proposer: &Proposer,
        version: u64,
        digest: [u8; 16],
        text: &Bytes,
        outcome: Outcome,
    ) -> Result<(), Violation> {
        let newest_revision = proposer.committed(Register::Configuration).map_or(0, |chosen| chosen.revision);
        if newest_revision <= version {
            return Err(Violation::AcknowledgedVersionMissing { version, newest_revision });
        }
        let chosen =
            self.chosen_values(Register::Configuration).find(|chosen| chosen.revision == version + 1);
        let is_own_text = chosen.is_none_or(|chosen| chosen.value == *text);
        if !is_own_text && outcome == Outcome::Chosen {
            return Err(Violation::AcknowledgedTextReplaced { text: text.clone(), chosen: chosen.cloned() });
        }
        // A configuration with a version that was skipped and never taken changes nothing, and is acknowledged.
        let accepted = self.version_digests.get(&version).map(|&digest| VersionDigest { version, digest });
        let expected = match accepted {
            Some(accepted) if accepted.digest != digest => Outcome::VersionConflict(accepted),
            _ => Outcome::Chosen,
        };
        if expected != outcome {
            return Err(Violation::WrongOutcome { text: text.clone(), outcome, accepted });
        }
        Ok(())
    }

    /// Checks that one of the values that were current while the operation was open reflects it.
    fn check_evacuation_outcome(
        &self,
        submitted: &SubmittedOperation,
        zone: &String,
        evacuated: bool,
    ) -> Result<(), Violation> {
        let mut is_empty = true;
        for chosen in self.chosen_values(submitted.operation.register()).rev() {
            is_empty = false;
            if decode_evacuated_zones(&chosen.value).contains(zone) == evacuated {
                return Ok(());
            }
            if chosen.at < submitted.at {
                break;
            }
        }
        if is_empty {
            return Ok(());
        }
        Err(Violation::AcknowledgedEvacuationMissing { operation: submitted.operation.clone() })
    }

    /// The newest configuration revision among the acknowledged operations; 0 where there is none.
    pub fn acknowledged(&self) -> u64 {
        let revision = |submitted: &SubmittedOperation| match (&submitted.operation, submitted.resolution) {
            (Operation::Configuration { version, .. }, Some(Resolution { outcome: Outcome::Chosen, .. })) => {
                version + 1
            }
            _ => 0,
        };
        self.operations.values().map(revision).max().unwrap_or(0)
    }
}
