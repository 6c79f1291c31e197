//! The violations that the checks report.

use super::history::ChosenValue;
use super::operations::Operation;
use archlink_consensus::Outcome;
use archlink_messages::{
    AcceptedValue, NodeId, ProposalNumber, Register, SingletonRole, VersionDigest, VoterSet,
};
use bytes::Bytes;
use std::collections::BTreeSet;
use std::fmt;

/// A violated invariant, with the observations that violate it.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the fields are what the variant's comment and text name")]
pub enum Violation {
    /// Two values were chosen under one proposal number.
    ConflictingValues { known: ChosenValue, learned: Box<AcceptedValue> },
    /// Ordered by proposal number, a register's chosen values are not ordered by revision.
    ValuesOutOfOrder {
        learned: Box<AcceptedValue>,
        before: Option<(u64, Bytes)>,
        after: Option<(u64, Bytes)>,
    },
    /// A node returned to an earlier epoch.
    EpochDecreased { node: NodeId, epoch: u64 },
    /// Two voter sets have the same epoch.
    ConflictingVoterSets { known: Box<VoterSet>, adopted: Box<VoterSet> },
    /// A node returned to an earlier chosen value.
    ProposalDecreased { node: NodeId, chosen: Box<AcceptedValue> },
    /// Two configurations were accepted under one version.
    ConflictingVersions { version: VersionDigest, chosen: Box<AcceptedValue> },
    /// A node has a value confirmed although a later one was already known when it requested the confirmation.
    StaleConfirmation { node: NodeId, register: Register, confirmed: ProposalNumber, known: ProposalNumber },
    /// A configuration was acknowledged, but its version is not in the register.
    AcknowledgedVersionMissing { version: u64, newest_revision: u64 },
    /// A configuration was acknowledged, but another text was chosen under its version.
    AcknowledgedTextReplaced { text: Bytes, chosen: Option<ChosenValue> },
    /// A configuration's outcome contradicts the versions in the register.
    WrongOutcome { text: Bytes, outcome: Outcome, accepted: Option<VersionDigest> },
    /// An evacuation was acknowledged, but no chosen value contains it.
    AcknowledgedEvacuationMissing { operation: Operation },
    /// Several nodes hold the lease of the same role.
    LeaseHeldTwice { role: SingletonRole, holders: Vec<NodeId> },
    /// After all faults ended, a node did not commit a configuration.
    OperationNotCommitted { token: u64, node: NodeId, outcome: Option<Outcome> },
    /// After all faults ended, a node lacks an acknowledged configuration.
    AcknowledgedConfigurationMissing { node: NodeId, revision: u64, acknowledged: u64 },
    /// After all faults ended, a node does not have a register's latest value.
    NotLatest { node: NodeId, register: Register, value: Option<Bytes>, latest: Option<ChosenValue> },
    /// After all faults ended, a node's state is not confirmed by a quorum.
    NotConfirmed { node: NodeId, register: Register },
    /// After all faults ended, a membership change is still in progress or nodes disagree on the voters.
    VoterSetsDiffer { node: NodeId, adopted: Box<VoterSet>, other: Box<VoterSet> },
    /// After all faults ended, a voter has not recovered its state.
    VoterNotRecovered { node: NodeId },
    /// After all faults ended, a role has no lease holder on which all nodes agree.
    LeaseNotAgreed { role: SingletonRole, holder: Option<NodeId>, agreed: Option<NodeId> },
    /// The committed state does not reflect the last acknowledged operation on a zone.
    EvacuationLost { zone: String, evacuated: bool, committed: BTreeSet<String> },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::ConflictingValues { .. }
            | Violation::ValuesOutOfOrder { .. }
            | Violation::EpochDecreased { .. }
            | Violation::ConflictingVoterSets { .. }
            | Violation::ProposalDecreased { .. }
            | Violation::ConflictingVersions { .. }
            | Violation::StaleConfirmation { .. }
            | Violation::LeaseHeldTwice { .. } => self.fmt_safety(f),
            Violation::AcknowledgedVersionMissing { .. }
            | Violation::AcknowledgedTextReplaced { .. }
            | Violation::WrongOutcome { .. }
            | Violation::AcknowledgedEvacuationMissing { .. }
            | Violation::EvacuationLost { .. } => self.fmt_acknowledgement(f),
            _ => self.fmt_recovery(f),
        }
    }
}

impl Violation {
    fn fmt_safety(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::ConflictingValues { known, learned } => {
                write!(f, "two values under one proposal number: {known:?} {learned:?}")
            }
            Violation::ValuesOutOfOrder { learned, before, after } => {
                write!(f, "chosen values out of order: {learned:?} between {before:?} and {after:?}")
            }
            Violation::EpochDecreased { node, epoch } => write!(f, "{node} went back to epoch {epoch}"),
            Violation::ConflictingVoterSets { known, adopted } => {
                write!(f, "two voter sets of one epoch: {known:?} {adopted:?}")
            }
            Violation::ProposalDecreased { node, chosen } => write!(f, "{node} went back to {chosen:?}"),
            Violation::ConflictingVersions { version, chosen } => {
                write!(f, "two configurations under one version: {version:?} in {chosen:?}")
            }
            Violation::StaleConfirmation { node, register, confirmed, known } => {
                write!(f, "{node} has {register:?} {confirmed:?} confirmed, {known:?} was known before")
            }
            Violation::LeaseHeldTwice { role, holders } => write!(f, "{role:?} is held by {holders:?}"),
            _ => Ok(()),
        }
    }

    fn fmt_acknowledgement(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::AcknowledgedVersionMissing { version, newest_revision } => {
                write!(f, "version {version} is acknowledged, {newest_revision} is the newest revision")
            }
            Violation::AcknowledgedTextReplaced { text, chosen } => {
                write!(f, "{text:?} is acknowledged, {chosen:?} is chosen")
            }
            Violation::WrongOutcome { text, outcome, accepted } => {
                write!(f, "{text:?} ends with {outcome:?}, {accepted:?} is in the register")
            }
            Violation::AcknowledgedEvacuationMissing { operation } => {
                write!(f, "{operation:?} is acknowledged and in no chosen value")
            }
            Violation::EvacuationLost { zone, evacuated, committed } => {
                write!(
                    f,
                    "evacuation of {zone} was last acknowledged as {evacuated}, {committed:?} is committed"
                )
            }
            _ => Ok(()),
        }
    }

    fn fmt_recovery(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::OperationNotCommitted { token, node, outcome } => {
                write!(f, "operation {token} at {node} after all faults ended: {outcome:?}")
            }
            Violation::AcknowledgedConfigurationMissing { node, revision, acknowledged } => {
                write!(f, "{node} has revision {revision}, {acknowledged} was acknowledged")
            }
            Violation::NotLatest { node, register, value, latest } => {
                write!(f, "{node} has {register:?} {value:?}, {latest:?} is the latest")
            }
            Violation::NotConfirmed { node, register } => {
                write!(f, "{node} has {register:?} not confirmed lately")
            }
            Violation::VoterSetsDiffer { node, adopted, other } => {
                write!(f, "{node} adopted {adopted:?}, another {other:?}")
            }
            Violation::VoterNotRecovered { node } => write!(f, "{node} votes and has not recovered"),
            Violation::LeaseNotAgreed { role, holder, agreed } => {
                write!(f, "{role:?} is held by {holder:?}, {agreed:?} is known")
            }
            _ => Ok(()),
        }
    }
}

impl std::error::Error for Violation {}
