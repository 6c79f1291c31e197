//! The connections of data nodes in session with this control node.

use archlink_messages::{Message, NodeId};
use archlink_runtime::MessageSender;
use std::cell::RefCell;
use std::collections::HashMap;

/// The newest connection of each data node.
#[derive(Default)]
pub struct Sessions(RefCell<HashMap<NodeId, MessageSender>>);

impl Sessions {
    /// A data node's session is served on this connection from now on.
    pub fn insert(&self, node: NodeId, sender: MessageSender) {
        self.0.borrow_mut().insert(node, sender);
    }

    /// The session ended.
    pub fn remove(&self, node: NodeId) {
        self.0.borrow_mut().remove(&node);
    }

    /// Sends to all; a full connection loses the message, its data node asks again with its next heartbeat.
    pub fn broadcast(&self, message: &Message) {
        self.0.borrow().values().for_each(|session| drop(session.try_send(message.clone())));
    }
}
