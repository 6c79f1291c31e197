//! Identifies the sender of an incoming connection.
//!
//! Invariants: the first message that identifies a sender binds the connection to it permanently; of several connections of
//! one sender only the latest is accepted; no message is accepted from a sender to which its connection is not bound.
//!
//! The identity is not authenticated: it is what the sender claims, and the source address depends on routing and proves
//! nothing. Operators have to ensure that only the system's own processes can reach the internal ports. This module ensures
//! that messages of one incarnation or connection are not attributed to another.

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
    /// A client of the quota counter. It needs no ID, because totals are returned on the same connection.
    CounterClient,
}

/// Why a message is rejected and its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdentityError {
    /// The serial number is not higher than the previous one on this connection.
    ReusedSerial,
    /// The connection is not bound to a sender yet, and the message does not identify one.
    Unidentified,
    /// The connection is bound to another sender.
    ChangedIdentity,
    /// A newer connection is bound to the same sender.
    Superseded,
}

impl fmt::Display for IdentityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            IdentityError::ReusedSerial => "the serial number was already used on this connection",
            IdentityError::Unidentified => "the sender has not identified itself",
            IdentityError::ChangedIdentity => "the sender has changed its identity",
            IdentityError::Superseded => "a newer connection has the same sender",
        })
    }
}

impl std::error::Error for IdentityError {}

/// The latest connection of each sender, by connection number. Every connection removes its own entry when it closes, so there
/// are no more entries than connections.
#[derive(Default)]
pub struct ConnectionTable {
    last_number: u64,
    newest: HashMap<PeerIdentity, u64>,
}

/// One incoming connection.
pub struct IncomingPeer {
    /// Increases with each connection. Of two connections of one sender, the one with the lower number is superseded.
    number: u64,
    /// The sender, once it is known.
    pub identity: Option<PeerIdentity>,
    /// Serial number of the last heartbeat or counter request on this connection.
    last_serial: u64,
}

/// The sender that a message claims and its serial number, if it has them.
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
    /// Registers a connection that was just accepted.
    pub fn new(connections: &mut ConnectionTable) -> IncomingPeer {
        connections.last_number += 1;
        IncomingPeer { number: connections.last_number, identity: None, last_serial: 0 }
    }

    /// Checks whether this connection may send this message. The caller closes the connection on an error.
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

    /// Removes the connection after it has closed. True if it was the latest of its sender.
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
