//! All values that were chosen of one register, as far as any node learned them.

use super::Violation;
use archlink_messages::{AcceptedValue, ProposalNumber};
use bytes::Bytes;
use std::collections::BTreeMap;

/// Seconds by which a clock's reading, turned back into simulated time, may be off.
const ROUNDING: f64 = 1e-6;

/// A chosen value, and when a node first learned it.
#[derive(Clone, Debug, PartialEq)]
pub struct ChosenValue {
    /// Its revision.
    pub stamp: u64,
    /// The value itself.
    pub value: Bytes,
    /// Simulated time in seconds.
    pub at: f64,
}

/// The greatest proposal number that any node had learned, from a moment on.
#[derive(Clone, Copy, Debug)]
struct Newest {
    since: f64,
    proposal: ProposalNumber,
}

/// The chosen values of one register.
///
/// Invariant: ordered by proposal number they are ordered by revision too, and values of one revision are equal.
#[derive(Clone, Debug, Default)]
pub struct RegisterHistory {
    /// Values by proposal number.
    pub values: BTreeMap<ProposalNumber, ChosenValue>,
    newest: Vec<Newest>,
}

impl RegisterHistory {
    /// Enters a value that a node learned.
    pub(super) fn learned(&mut self, now: f64, learned: &AcceptedValue) -> Result<(), Violation> {
        if let Some(known) = self.values.get(&learned.proposal) {
            if known.stamp == learned.revision && known.value == learned.value {
                return Ok(());
            }
            return Err(Violation::ConflictingValues {
                known: known.clone(),
                learned: Box::new(learned.clone()),
            });
        }
        self.check_order(learned)?;
        let value = ChosenValue { stamp: learned.revision, value: learned.value.clone(), at: now };
        self.values.insert(learned.proposal, value);
        if self.newest.last().is_none_or(|newest| newest.proposal < learned.proposal) {
            self.newest.push(Newest { since: now, proposal: learned.proposal });
        }
        Ok(())
    }

    fn check_order(&self, learned: &AcceptedValue) -> Result<(), Violation> {
        let in_order = |(earlier_revision, earlier): (u64, &Bytes),
                        (later_revision, later): (u64, &Bytes)| {
            earlier_revision < later_revision || (earlier_revision == later_revision && earlier == later)
        };
        let revision_and_value = |chosen: &ChosenValue| (chosen.stamp, chosen.value.clone());
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

    /// The greatest proposal number that any node knew before that moment.
    pub(super) fn known_before(&self, at: f64) -> Option<ProposalNumber> {
        let count = self.newest.partition_point(|newest| newest.since < at - ROUNDING);
        count.checked_sub(1).map(|last| self.newest[last].proposal)
    }

    /// The latest value.
    pub fn latest(&self) -> Option<&ChosenValue> {
        self.values.values().next_back()
    }
}
