//! How proposals and membership changes end.

use archlink_messages::VersionDigest;
use std::fmt;

/// How a proposal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change was chosen: a majority has it on disk. Also the outcome of a change that alters nothing
    /// because what it asks for is chosen already.
    Chosen,
    /// Not known: the change may or may not be chosen later. Repeating the same request tells.
    Unknown,
    /// Another text, with this digest, was chosen under the same version. Nothing was altered.
    VersionConflict(VersionDigest),
    /// The change was not started, and never will be.
    Rejected(MembershipError),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Outcome::Chosen => f.write_str("chosen"),
            Outcome::Unknown => f.write_str("unknown: it may or may not be chosen later"),
            Outcome::VersionConflict(chosen) => {
                write!(f, "another text was chosen under version {}", chosen.version)
            }
            Outcome::Rejected(error) => write!(f, "rejected: {error}"),
        }
    }
}

/// Why a change of the voter set was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipError {
    /// This node doesn't know the voter set yet.
    Unknown,
    /// Another change is in progress.
    ChangeInProgress,
    /// The node to be removed is not a voter.
    NotAVoter,
    /// The node to be added is a voter already.
    AlreadyAVoter,
    /// The node to be added can't be reached from this node.
    Unreachable,
    /// No majority of the voters is reachable and has recovered its state.
    NotRecovered,
    /// The request names an epoch that is not the current one.
    WrongEpoch,
}

impl fmt::Display for MembershipError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MembershipError::Unknown => "this node does not know the voter set yet",
            MembershipError::ChangeInProgress => "another change of the voter set is in progress",
            MembershipError::NotAVoter => "the node to be removed is not a voter",
            MembershipError::AlreadyAVoter => "the node to be added is a voter already",
            MembershipError::Unreachable => "the node to be added cannot be reached",
            MembershipError::NotRecovered => "too few voters are reachable and have recovered their state",
            MembershipError::WrongEpoch => "the epoch named is not the current one",
        })
    }
}

impl std::error::Error for MembershipError {}
