//! Performs the core's effects: sends messages to peers, writes to disk, resolves operators' proposals and applies learned
//! values.

use super::Node;
use crate::server::write_queue::BlockedMessages;
use archlink_config::Configuration;
use archlink_consensus::{DurableRecord, Effect};
use archlink_messages::{AcceptedValue, Message, NodeId, Register, patch};
use archlink_storage::StateChange;
use std::collections::VecDeque;
use std::rc::Rc;

impl Node {
    /// Performs effects in order. Effects that result from a message to this node itself are appended.
    pub(super) fn perform(&self, now: f64, effects: Vec<Effect>) {
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Send(to, message) if to == self.id => {
                    effects.extend(self.state.borrow_mut().step(now, self.id, message));
                }
                Effect::Send(to, message) => self.send(to, message),
                Effect::Store(DurableRecord { acceptors, grants, voter_set }, blocked) => {
                    let change = StateChange { voter_set, acceptors, grants };
                    self.write_queue.borrow_mut().write(change, blocked);
                }
                Effect::Learned(register) => {
                    self.apply_committed(register);
                    effects.extend(self.state.borrow_mut().broadcast_heartbeat(now));
                }
                Effect::ProposalResolved(token, outcome) => self.pending.resolve(token, outcome),
            }
        }
        self.progress.notify_waiters();
    }

    /// Sends the messages that were blocked on a write which is now durable.
    pub fn on_durable(&self, messages: BlockedMessages) {
        self.write_queue.borrow_mut().on_durable();
        for (to, message) in messages {
            if to == self.id { self.receive(to, message) } else { self.send(to, message) }
        }
    }

    /// Sends to a peer. The message is dropped if the link is full or down, because every part of the protocol retries.
    pub fn send(&self, to: NodeId, message: Message) {
        if let Some(link) = self.links.borrow().get(&to) {
            link.try_send(message).ok();
        }
    }

    fn apply_committed(&self, register: Register) {
        let state = self.state.borrow();
        let Some(accepted) = state.proposer.committed(register) else { return };
        log::info!(register:? = register, revision = accepted.revision; "value committed");
        if register == Register::Configuration && !self.apply_configuration(accepted) {
            return;
        }
        drop(state);
        self.notify_sessions();
    }

    /// Parses and stores the committed configuration. False if it cannot be decompressed, so that there is nothing to deliver.
    fn apply_configuration(&self, accepted: &AcceptedValue) -> bool {
        let text = match patch::decompress(&accepted.value, b"") {
            Ok(text) => text,
            Err(e) => {
                log::error!(error:% = e; "committed configuration cannot be decompressed");
                return false;
            }
        };
        match Configuration::read(&text) {
            Ok(configuration) => *self.configuration.borrow_mut() = Some(Rc::new(configuration)),
            Err(e) => log::error!(error:% = e; "committed configuration cannot be parsed"),
        }
        self.update_delivery.borrow_mut().configuration_learned(accepted.ordering_key(), text);
        true
    }
}
