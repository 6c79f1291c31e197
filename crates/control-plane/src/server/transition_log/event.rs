//! The events of the transition log and their log lines.

use archlink_messages::{NodeId, SingletonRole};
use std::net::Ipv4Addr;

/// A transition between two ticks. Times are in seconds.
#[derive(Clone, Debug, PartialEq)]
pub enum TransitionEvent {
    /// A quorum replied for the first time.
    ContactEstablished {
        /// Time since the start.
        after: f64,
    },
    /// The grace period after the start is over without a reply from a quorum.
    NoContact,
    /// The last reply of a quorum is too old.
    ContactLost {
        /// Age of the last reply.
        silence: f64,
        /// How long there was contact.
        after: f64,
    },
    /// A quorum replies again.
    ContactRegained {
        /// How long there was no contact.
        after: f64,
    },
    /// This node learned of another voter set.
    VoterSet {
        /// Its epoch.
        epoch: u64,
        /// Its voters. In a joint voter set these are the outgoing ones.
        voters: Vec<NodeId>,
        /// The incoming voters of a joint voter set.
        incoming: Option<Vec<NodeId>>,
    },
    /// An operator forced a new generation, which invalidates the state on other disks.
    NewGeneration {
        /// The new epoch.
        epoch: u64,
        /// The remaining voters.
        voters: Vec<NodeId>,
    },
    /// A joint voter set is in force.
    MembershipChangeStarted {
        /// The joint epoch.
        epoch: u64,
        /// The outgoing voters.
        voters: Vec<NodeId>,
        /// The incoming voters.
        incoming: Vec<NodeId>,
    },
    /// The incoming voters have become the voters.
    MembershipChangeCommitted {
        /// The new epoch.
        epoch: u64,
        /// The new voters.
        voters: Vec<NodeId>,
    },
    /// The voters are the same as before the change.
    MembershipChangeRolledBack {
        /// The new epoch.
        epoch: u64,
        /// The voters, which are unchanged.
        voters: Vec<NodeId>,
    },
    /// This node acquired the lease of a role.
    LeaseGranted {
        /// The role.
        role: SingletonRole,
        /// The term of the lease, which is its fencing token.
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

/// Formats seconds with one decimal place for the log.
fn tenths(seconds: f64) -> String {
    format!("{seconds:.1}")
}

impl TransitionEvent {
    /// Logs the event.
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
