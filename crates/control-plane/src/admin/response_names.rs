//! Names of the core's values in responses to operators. They are part of the operators' interface: scripts compare them, so
//! they stay the same when a type of the core is renamed.

use archlink_consensus::MembershipError;
use archlink_messages::{Register, SingletonRole};

/// The name of a register in the response to `voters`.
pub fn register(register: Register) -> &'static str {
    match register {
        Register::Configuration => "Chart",
        Register::Evacuations => "Evacuations",
        Register::VoterSet => "Muster",
    }
}

/// The name of a singleton role in the response to `leases`.
pub fn role(role: SingletonRole) -> &'static str {
    match role {
        SingletonRole::HostDiscovery => "Lookout",
        SingletonRole::QuotaCounter => "Tally",
    }
}

/// The `Reason` of a rejected change of the voter set.
pub fn rejection_code(reason: MembershipError) -> &'static str {
    match reason {
        MembershipError::Unknown => "Unknown",
        MembershipError::ChangeInProgress => "UnderWay",
        MembershipError::NotAVoter => "NoSeat",
        MembershipError::AlreadyAVoter => "Seated",
        MembershipError::Unreachable => "Absent",
        MembershipError::NotRecovered => "NotWhole",
        MembershipError::WrongEpoch => "Epoch",
    }
}
