//! Dispatch of received messages to the component that handles them.

use super::ControlNodeState;
use crate::event_log::Event;
use archlink_consensus::Effect;
use archlink_messages::{ConsensusMessage, Heartbeat, Message, NodeId, VersionVector};

impl ControlNodeState {
    /// Handles a message from another control node, or from this node to itself.
    pub fn step(&mut self, now: f64, from: NodeId, message: Message) -> Vec<Effect> {
        self.membership.failure_detector.message_received(now, from);
        match message {
            Message::PeerHello { control_node, voter_set } => {
                self.acceptor.link_reset(from);
                let mut effects = self.adopt_voter_set(now, &voter_set);
                effects.extend(self.record_event(now, Event::ControlNodeDiscovered(control_node)));
                effects
            }
            Message::Heartbeat(heartbeat) => self.step_heartbeat(now, from, &heartbeat),
            Message::VoterSet(voter_set) if voter_set.epoch < self.voter_set.epoch => {
                vec![self.send_voter_set(from)]
            }
            Message::VoterSet(voter_set) => self.adopt_voter_set(now, &voter_set),
            Message::Consensus(epoch, message) => self.step_consensus(now, from, epoch, &message),
            Message::UpdateRequest(versions) => self.step_update_request(now, from, &versions),
            Message::StateUpdates(updates) => self.apply_updates(now, updates),
            // Exchanged with data nodes; the control plane handles these before they get here.
            Message::SessionHeartbeat { .. }
            | Message::CounterAdds { .. }
            | Message::CounterTotals { .. } => Vec::new(),
        }
    }

    fn send_voter_set(&self, to: NodeId) -> Effect {
        Effect::Send(to, Message::VoterSet(self.voter_set.clone()))
    }

    fn step_heartbeat(&mut self, now: f64, from: NodeId, heartbeat: &Heartbeat) -> Vec<Effect> {
        self.observe_clock(now, heartbeat.cluster_clock);
        self.membership.failure_detector.heartbeat_received(
            from,
            heartbeat.recovered,
            heartbeat.voter_set.epoch,
            &heartbeat.suspected,
        );
        let mut effects = self.adopt_voter_set(now, &heartbeat.voter_set);
        let session_sources = heartbeat.versions.sessions.iter().map(|(source, _, _)| *source).collect();
        self.event_log.append(now, Event::PeerHeartbeat(from, session_sources));
        heartbeat.leases.iter().for_each(|&grant| self.leases.learn_holder(now, from, grant));
        if self.is_behind(now, from, &heartbeat.versions) {
            effects.push(Effect::Send(from, Message::UpdateRequest(self.versions(now))));
        }
        effects
    }

    fn step_update_request(&self, now: f64, from: NodeId, versions: &VersionVector) -> Vec<Effect> {
        let updates = self.updates_for(now, versions, true);
        if updates.is_empty() {
            return Vec::new();
        }
        vec![Effect::Send(from, Message::StateUpdates(updates))]
    }

    /// Handles a message of the consensus protocol. A message of another epoch is answered with this node's
    /// voter set: a sender in an earlier epoch adopts it, and a sender in a later epoch replies with its own.
    fn step_consensus(
        &mut self,
        now: f64,
        from: NodeId,
        epoch: u64,
        message: &ConsensusMessage,
    ) -> Vec<Effect> {
        if epoch != self.voter_set.epoch {
            return vec![self.send_voter_set(from)];
        }
        match message {
            // A node that has lost its record of grants must not grant any lease.
            ConsensusMessage::LeaseRequest(..) | ConsensusMessage::LeaseRenewal(..)
                if !self.acceptor.is_recovered() || !self.membership.is_established() =>
            {
                Vec::new()
            }
            ConsensusMessage::LeaseRequest(..)
            | ConsensusMessage::LeaseRenewal(..)
            | ConsensusMessage::GrantPersisted(_)
            | ConsensusMessage::LeaseGranted(..)
            | ConsensusMessage::LeaseDenied(_)
            | ConsensusMessage::LeaseReleased(..) => self.leases.step(now, from, message),
            ConsensusMessage::StateTransferRequest(serial) => self.reply_to_state_transfer(from, *serial),
            ConsensusMessage::StateTransferReply(_, _, grants) => {
                self.receive_state_transfer(now, from, grants, message)
            }
            ConsensusMessage::Promise(..)
            | ConsensusMessage::Accepted(..)
            | ConsensusMessage::Reject(..)
            | ConsensusMessage::ReadReply(..)
            | ConsensusMessage::FetchedValue(..) => self.step_acceptor_reply(now, from, message),
            ConsensusMessage::Prepare(..)
            | ConsensusMessage::Accept(..)
            | ConsensusMessage::ReadRequest(_)
            | ConsensusMessage::FetchValue(_) => self.acceptor.step(from, message),
        }
    }

    /// Passes an acceptor's reply to the proposer, and the accepted proposal numbers in it to the membership.
    fn step_acceptor_reply(&mut self, now: f64, from: NodeId, reply: &ConsensusMessage) -> Vec<Effect> {
        self.membership.failure_detector.acceptor_replied(now, from);
        match reply {
            ConsensusMessage::Accepted(register, proposal) => {
                self.membership.record_accepted(from, *register, *proposal);
            }
            ConsensusMessage::ReadReply(_, accepted) => {
                for (register, proposal) in accepted {
                    self.membership.record_accepted(from, *register, *proposal);
                }
            }
            _ => {}
        }
        let effects = self.proposer.step(now, from, reply);
        self.apply_effects(now, effects)
    }
}
