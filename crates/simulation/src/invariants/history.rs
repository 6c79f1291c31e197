//! The chosen values of one register that any node has learned.

use super::Violation;
use archlink_messages::{AcceptedValue, ProposalNumber};
use bytes::Bytes;
use std::collections::BTreeMap;

/// Maximum error, in seconds, of a clock reading converted back to simulated time.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A chosen value and the time at which a node first learned it.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenValue {
    /// Its revision in the register.
    pub revision: u64,
    /// The value itself.
    pub value: Bytes,
    /// Simulated time, in seconds, at which the first node learned it.
    pub at: f64,
}

/// The greatest proposal number that any node had learned from simulated time `since` on.
#[derive(Clone, Copy, Debug)]
struct NewestProposal {
    since: f64,
    proposal: ProposalNumber,
}

/// The chosen values of one register.
///
/// Invariant: in the order of their proposal numbers the values are also ordered by revision, and values of the same revision
/// are equal.
#[derive(Clone, Debug, Default)]
pub struct RegisterHistory {
    /// Chosen values by proposal number.
    pub values: BTreeMap<ProposalNumber, ChosenValue>,
    newest_proposals: Vec<NewestProposal>,
}

impl RegisterHistory {
    /// Records a value that a node learned.
    pub(super) fn record_learned(&mut self, now: f64, learned: &AcceptedValue) -> Result<(), Violation> {
        if let Some(known) = self.values.get(&learned.proposal) {
            if known.revision == learned.revision && known.value == learned.value {
                return Ok(());
            }
            return Err(Violation::ConflictingValues {
                known: known.clone(),
                learned: Box::new(learned.clone()),
            });
        }
        self.check_order(learned)?;
        let value = ChosenValue { revision: learned.revision, value: learned.value.clone(), at: now };
        self.values.insert(learned.proposal, value);
        if self.newest_proposals.last().is_none_or(|newest| newest.proposal < learned.proposal) {
            self.newest_proposals.push(NewestProposal { since: now, proposal: learned.proposal });
        }
        Ok(())
    }

    fn check_order(&self, learned: &AcceptedValue) -> Result<(), Violation> {
        let in_order = |(earlier_revision, earlier): (u64, &Bytes),
                        (later_revision, later): (u64, &Bytes)| {
            earlier_revision < later_revision || (earlier_revision == later_revision && earlier == later)
        };
        let revision_and_value = |chosen: &ChosenValue| (chosen.revision, chosen.value.clone());
        let before =
            self.values.range(..learned.proposal).next_back().map(|(_, chosen)| revision_and_value(chosen));
        let after =
            self.values.range(learned.proposal..).next().map(|(_, chosen)| revision_and_value(chosen));
        let this = (learned.revision, &learned.value);
        let follows = before.as_ref().is_none_or(|(revision, value)| in_order((*revision, value), this));
        let precedes = after.as_ref().is_none_or(|(revision, value)| in_order(this, (*revision, value)));
        if follows && precedes {
            return Ok(());
        }
        Err(Violation::ValuesOutOfOrder { learned: Box::new(learned.clone()), before, after })
    }

    /// The greatest proposal number that any node knew before simulated time `at`.
    pub(super) fn known_before(&self, at: f64) -> Option<ProposalNumber> {
        let count = self.newest_proposals.partition_point(|newest| newest.since < at - ROUNDING_TOLERANCE);
        count.checked_sub(1).map(|last| self.newest_proposals[last].proposal)
    }

    /// The latest value.
    pub fn latest(&self) -> Option<&ChosenValue> {
        self.values.values().next_back()
    }
}
