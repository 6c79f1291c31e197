//! The connections of data nodes in session with this control node.

use archlink_messages::{Message, NodeId};
use archlink_runtime::MessageSender;
use std::cell::RefCell;
use std::collections::HashMap;

/// The latest connection of each data node.
#[derive(Default)]
pub struct Sessions(RefCell<HashMap<NodeId, MessageSender>>);

impl Sessions {
    /// Registers the connection of a data node's session, in place of an earlier one.
    pub fn insert(&self, node: NodeId, sender: MessageSender) {
        self.0.borrow_mut().insert(node, sender);
    }

    /// Removes a session that has ended.
    pub fn remove(&self, node: NodeId) {
        self.0.borrow_mut().remove(&node);
    }

    /// Sends a message to all sessions. A session whose queue is full loses it, and its data node recovers with its next
    /// heartbeat.
    pub fn broadcast(&self, message: &Message) {
        self.0.borrow().values().for_each(|session| drop(session.try_send(message.clone())));
    }
}
