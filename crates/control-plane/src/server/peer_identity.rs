//! Which node is at the other end of an incoming connection.
//!
//! Invariants: the first message that names a sender binds the connection for life; of several connections in one name only
//! the newest is accepted; no message is accepted in a name that its connection is not bound to.
//!
//! A name is what the sender says of itself: its source address depends on its routes and proves nothing. That only the
//! system's own processes reach the ports between them is the operators' to ensure; this module ensures that messages of
//! one incarnation, or of one connection, are not taken for another's.

use archlink_messages::{Message, NodeId};
use std::collections::HashMap;
use std::fmt;

/// The sender of a connection's messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PeerIdentity {
    /// Another control node.
    ControlNode(NodeId),
    /// A data node's session.
    DataNode(NodeId),
    /// Adds to quota counters, which needs no name: totals go back on the same connection.
    CounterClient,
}

/// Why a message is rejected and its connection closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentityError {
    /// The serial number is not above the previous one on this connection.
    ReusedSerial,
    /// A message that needs a sender came before any that names one.
    Unidentified,
    /// The connection is bound to another name.
    ChangedIdentity,
    /// A newer connection is bound to the same name.
    Superseded,
}

impl fmt::Display for IdentityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            IdentityError::ReusedSerial => "its serial number was used before on this connection",
            IdentityError::Unidentified => "the sender has not identified itself",
            IdentityError::ChangedIdentity => "the sender names itself differently than before",
            IdentityError::Superseded => "a newer connection has the same sender",
        })
    }
}

impl std::error::Error for IdentityError {}

/// The newest connection of each sender, by number. No more entries than connections: each removes its own.
#[derive(Default)]
pub struct ConnectionTable {
    last_number: u64,
    newest: HashMap<PeerIdentity, u64>,
}

/// One incoming connection.
pub struct IncomingPeer {
    /// Grows with each connection: of two with one sender, the lower one's messages are old.
    number: u64,
    /// The sender, once it is known.
    pub identity: Option<PeerIdentity>,
    /// Of the last heartbeat or counter request on this connection.
    last_serial: u64,
}

/// The sender that a message names, and its serial number if it has one.
fn claimed_identity(message: &Message) -> (Option<PeerIdentity>, Option<u64>) {
    match message {
        Message::PeerHello { control_node, .. } => (Some(PeerIdentity::ControlNode(control_node.node)), None),
        Message::SessionHeartbeat { serial, data_node, .. } => {
            (Some(PeerIdentity::DataNode(data_node.node)), Some(*serial))
        }
        Message::CounterAdds { serial, .. } => (Some(PeerIdentity::CounterClient), Some(*serial)),
        _ => (None, None),
    }
}

impl IncomingPeer {
    /// A connection that was just accepted.
    pub fn new(connections: &mut ConnectionTable) -> IncomingPeer {
        connections.last_number += 1;
        IncomingPeer { number: connections.last_number, identity: None, last_serial: 0 }
    }

    /// May this connection send this message? An error closes it.
    pub fn verify(
        &mut self,
        connections: &mut ConnectionTable,
        message: &Message,
    ) -> Result<(), IdentityError> {
        let (claimed, serial) = claimed_identity(message);
        if let Some(serial) = serial {
            if serial <= self.last_serial {
                return Err(IdentityError::ReusedSerial);
            }
            self.last_serial = serial;
        }
        match (self.identity, claimed) {
            (None, None) => return Err(IdentityError::Unidentified),
            (None, Some(identity)) => self.identity = Some(identity),
            (Some(bound), Some(claimed)) if bound != claimed => return Err(IdentityError::ChangedIdentity),
            (Some(_), _) => {}
        }
        match self.identity {
            None | Some(PeerIdentity::CounterClient) => Ok(()),
            Some(identity) => self.verify_newest(connections, identity),
        }
    }

    fn verify_newest(
        &self,
        connections: &mut ConnectionTable,
        identity: PeerIdentity,
    ) -> Result<(), IdentityError> {
        let newest = connections.newest.entry(identity).or_insert(self.number);
        *newest = self.number.max(*newest);
        if *newest == self.number { Ok(()) } else { Err(IdentityError::Superseded) }
    }

    /// The connection closed; was it the newest of its sender?
    pub fn close(&self, connections: &mut ConnectionTable) -> bool {
        let was_newest =
            self.identity.is_some_and(|identity| connections.newest.get(&identity) == Some(&self.number));
        if let Some(identity) = self.identity.filter(|_| was_newest) {
            connections.newest.remove(&identity);
        }
        was_newest
    }
}

#[cfg(test)]
mod tests;
