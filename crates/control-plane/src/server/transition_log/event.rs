//! The events of the state change log, and their lines.

use archlink_messages::{NodeId, SingletonRole};
use std::net::Ipv4Addr;

/// Something that changed between two ticks. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub enum TransitionEvent {
    /// A quorum answered for the first time, so long after the start.
    ContactEstablished {
        /// Since the start.
        after: f64,
    },
    /// No quorum has answered since the start, and the grace period is over.
    NoContact,
    /// The last answer of a quorum is too old.
    ContactLost {
        /// Age of the last answer.
        silence: f64,
        /// For how long there was contact.
        after: f64,
    },
    /// A quorum answers again.
    ContactRegained {
        /// For how long there was none.
        after: f64,
    },
    /// This node learned of another voter set.
    VoterSet {
        /// Its epoch.
        epoch: u64,
        /// Its voters; in a joint voter set the outgoing ones.
        voters: Vec<NodeId>,
        /// The incoming voters of a joint voter set.
        incoming: Option<Vec<NodeId>>,
    },
    /// An operator forced a new generation: what other disks hold is void.
    NewGeneration {
        /// The new epoch.
        epoch: u64,
        /// The remaining voters.
        voters: Vec<NodeId>,
    },
    /// A joint voter set was entered.
    MembershipChangeStarted {
        /// The joint epoch.
        epoch: u64,
        /// The outgoing voters.
        voters: Vec<NodeId>,
        /// The incoming voters.
        incoming: Vec<NodeId>,
    },
    /// The incoming voters are the voters now.
    MembershipChangeCommitted {
        /// The new epoch.
        epoch: u64,
        /// The new voters.
        voters: Vec<NodeId>,
    },
    /// The voters are those from before the change.
    MembershipChangeRolledBack {
        /// The new epoch.
        epoch: u64,
        /// The voters, as before.
        voters: Vec<NodeId>,
    },
    /// This node holds the lease of a role.
    LeaseGranted {
        /// The role.
        role: SingletonRole,
        /// The lease's term, its fencing token.
        term: u64,
    },
    /// This node no longer holds the lease of a role.
    LeaseLost {
        /// The role.
        role: SingletonRole,
        /// The term in which it was held.
        term: u64,
    },
}

fn addresses(nodes: &[NodeId]) -> String {
    nodes.iter().map(|&node| Ipv4Addr::from(node).to_string()).collect::<Vec<_>>().join(",")
}

/// Seconds as the log has them, to a tenth.
fn tenths(seconds: f64) -> String {
    format!("{seconds:.1}")
}

impl TransitionEvent {
    /// Writes the event's line.
    pub fn log(&self) {
        use TransitionEvent as Event;
        match self {
            Event::ContactEstablished { after } => {
                log::info!(after_s:% = tenths(*after); "quorum contact established");
            }
            Event::NoContact => log::info!("no quorum contact since start"),
            Event::ContactLost { silence, after } => {
                log::info!(silence_s:% = tenths(*silence), after_s:% = tenths(*after); "quorum contact lost");
            }
            Event::ContactRegained { after } => {
                log::info!(after_s:% = tenths(*after); "quorum contact regained");
            }
            Event::VoterSet { epoch, voters, incoming: None } => {
                log::info!(epoch = epoch, voters:% = addresses(voters); "voter set learned");
            }
            Event::VoterSet { epoch, voters, incoming: Some(incoming) } => log::info!(
                epoch = epoch, voters:% = addresses(voters), incoming:% = addresses(incoming);
                "joint voter set learned"
            ),
            Event::NewGeneration { epoch, voters } => {
                log::info!(epoch = epoch, voters:% = addresses(voters); "new generation forced");
            }
            Event::MembershipChangeStarted { epoch, voters, incoming } => log::info!(
                epoch = epoch, voters:% = addresses(voters), incoming:% = addresses(incoming);
                "membership change started"
            ),
            Event::MembershipChangeCommitted { epoch, voters } => {
                log::info!(epoch = epoch, voters:% = addresses(voters); "membership change committed");
            }
            Event::MembershipChangeRolledBack { epoch, voters } => {
                log::info!(epoch = epoch, voters:% = addresses(voters); "membership change rolled back");
            }
            Event::LeaseGranted { role, term } => log::info!(role:? = role, term = term; "lease granted"),
            Event::LeaseLost { role, term } => log::info!(role:? = role, term = term; "lease lost"),
        }
    }
}
