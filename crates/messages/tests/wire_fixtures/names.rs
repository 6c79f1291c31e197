//! The name of each message in the fixture. The names are an earlier vocabulary and part of the fixture.

use archlink_messages::{ConsensusMessage, Message, Register, SingletonRole, StateUpdate};

fn option_name(present: bool) -> &'static str {
    if present { "some" } else { "none" }
}

fn list_name(empty: bool) -> &'static str {
    if empty { "empty" } else { "filled" }
}

fn register_name(register: Register) -> &'static str {
    match register {
        Register::Configuration => "chart",
        Register::Evacuations => "evacuations",
        Register::VoterSet => "muster",
    }
}

fn role_name(role: SingletonRole) -> &'static str {
    match role {
        SingletonRole::HostDiscovery => "lookout",
        SingletonRole::QuotaCounter => "tally",
    }
}

/// Returns the name of a consensus message. A new variant doesn't compile without an arm here, and fails the test of
/// variant indexes without a row in `consensus_messages`.
pub fn consensus_message_name(consensus_message: &ConsensusMessage) -> String {
    match consensus_message {
        ConsensusMessage::Prepare(register, _) => format!("prepare.{}", register_name(*register)),
        ConsensusMessage::Promise(register, _, accepted_value) => {
            format!("promise.{}.{}", register_name(*register), option_name(accepted_value.is_some()))
        }
        ConsensusMessage::Reject(register, ..) => format!("refuse.{}", register_name(*register)),
        ConsensusMessage::Accept(register, accepted_value) => {
            format!(
                "accept.{}.{}",
                register_name(*register),
                list_name(accepted_value.recent_versions.is_empty())
            )
        }
        ConsensusMessage::Accepted(register, _) => format!("accepted.{}", register_name(*register)),
        ConsensusMessage::ReadRequest(_) => "ask".into(),
        ConsensusMessage::ReadReply(_, proposals) => {
            format!("answer.{}", list_name(proposals.is_empty()))
        }
        ConsensusMessage::FetchValue(register) => format!("fetch.{}", register_name(*register)),
        ConsensusMessage::FetchedValue(register, accepted_value) => {
            format!(
                "fetched.{}.{}",
                register_name(*register),
                list_name(accepted_value.recent_versions.is_empty())
            )
        }
        ConsensusMessage::StateTransferRequest(_) => "recall".into(),
        ConsensusMessage::StateTransferReply(_, acceptors, _) => {
            format!("recalled.{}", list_name(acceptors.is_empty()))
        }
        ConsensusMessage::LeaseRequest(lease_grant, _) => format!("bid.{}", role_name(lease_grant.role)),
        ConsensusMessage::LeaseRenewal(lease_grant, _) => format!("renew.{}", role_name(lease_grant.role)),
        ConsensusMessage::GrantPersisted(lease_grant) => format!("kept.{}", role_name(lease_grant.role)),
        ConsensusMessage::LeaseGranted(lease_grant, _) => format!("grant.{}", role_name(lease_grant.role)),
        ConsensusMessage::LeaseDenied(lease_grant) => format!("deny.{}", role_name(lease_grant.role)),
        ConsensusMessage::LeaseReleased(lease_grant, _) => format!("yield.{}", role_name(lease_grant.role)),
    }
}

/// Returns the name of a state update; a new variant is caught as in `consensus_message_name`.
pub fn update_name(update: &StateUpdate) -> String {
    match update {
        StateUpdate::Chosen(register, accepted_value) => {
            format!(
                "chosen.{}.{}",
                register_name(*register),
                list_name(accepted_value.recent_versions.is_empty())
            )
        }
        StateUpdate::ConfigurationPatch { patch, .. } => {
            format!("chart.{}", list_name(patch.is_empty()))
        }
        StateUpdate::HostList(hosts) => format!("hosts.{}", list_name(hosts.instances.is_empty())),
        StateUpdate::HostListPatch { patch, .. } => {
            format!("hosts_patch.{}", list_name(patch.is_empty()))
        }
        StateUpdate::ControlNodes(control_nodes) => {
            format!("keepers.{}", list_name(control_nodes.is_empty()))
        }
        StateUpdate::DataNodes(nodes) => format!("pilots.{}", list_name(nodes.is_empty())),
        StateUpdate::Sessions(sessions) => format!("sessions.{}", list_name(sessions.data_nodes.is_empty())),
    }
}

/// Returns the name of a message; a new variant is caught as in `consensus_message_name`.
pub fn message_name(message: &Message) -> String {
    match message {
        Message::PeerHello { voter_set, .. } => {
            format!("greet.{}", list_name(voter_set.voters.is_empty()))
        }
        Message::Consensus(_, consensus_message) => {
            format!("poll.{}", consensus_message_name(consensus_message))
        }
        Message::VoterSet(voter_set) => format!("muster.{}", list_name(voter_set.voters.is_empty())),
        Message::Heartbeat(heartbeat) => {
            let list = list_name(heartbeat.versions.sessions.is_empty());
            format!("beat.{}.{list}", option_name(heartbeat.confirmed_age.is_some()))
        }
        Message::UpdateRequest(version_vector) => {
            format!("pull.{}", list_name(version_vector.sessions.is_empty()))
        }
        Message::StateUpdates(updates) => match updates.as_slice() {
            [] => "news.empty".into(),
            [update] => format!("news.{}", update_name(update)),
            [..] => "news.several".into(),
        },
        Message::SessionHeartbeat { leases, .. } => format!("hail.{}", list_name(leases.is_empty())),
        Message::CounterAdds { adds, .. } => format!("adds.{}", list_name(adds.is_empty())),
        Message::CounterTotals { totals: None, .. } => "totals.none".into(),
        Message::CounterTotals { totals: Some(totals), .. } => {
            format!("totals.some.{}", list_name(totals.is_empty()))
        }
    }
}

/// The first part of the name of each variant, in the order of declaration; its position is the index on the wire.
pub const MESSAGES: [&str; 9] = ["greet", "poll", "muster", "beat", "pull", "news", "hail", "adds", "totals"];
pub const CONSENSUS_MESSAGES: [&str; 17] = [
    "prepare", "promise", "refuse", "accept", "accepted", "ask", "answer", "fetch", "fetched", "recall",
    "recalled", "bid", "renew", "kept", "grant", "deny", "yield",
];
pub const UPDATES: [&str; 7] = ["chosen", "chart", "hosts", "hosts_patch", "keepers", "pilots", "sessions"];
