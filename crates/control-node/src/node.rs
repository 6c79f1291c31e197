//! The whole life of one control gateway, free of I/O: messages, ticks and disk results in, acts out. Owns how the parts
//! stand to each other: the voter's disk comes before its word, what is chosen spreads by beats and pulls, sessions make
//! members. What is said of it to others is in `gossip`, and to people in `look`. Must never read a clock or touch a socket:
//! `harbourmaster` does that.

mod gossip;
mod status;

pub use status::{MemberStatus, VoterSetStatus};

use crate::event_log::{Event, EventLog};
use crate::registry::Registry;
use archlink_consensus::acceptor::Acceptor;
use archlink_consensus::leases::{Lease, Leases};
use archlink_consensus::membership::{FIRST_INTERNAL_TOKEN, Membership, MembershipContext};
use archlink_consensus::proposer::{Change, Proposer};
use archlink_consensus::repair_timing::{HEARTBEAT, RepairTiming};
use archlink_consensus::{DurableRecord, Effect, MembershipChange, MembershipError, Outcome};
use archlink_messages::{
    AcceptedValue, AcceptorState, ConsensusMessage, ControlNode, HostList, LeaseGrant, Message, NodeId,
    ProposalNumber, REGISTERS, Register, SingletonRole, VoterSet,
};
use std::collections::BTreeMap;

/// Without a majority's answer for longer than this, what is known of other gateways' sessions is not passed on.
const CONTACT_WINDOW: f64 = 2.0;

/// By then all sessions were told of, here and by the other control gateways.
const DATA_NODES_KNOWN_AFTER: f64 = 4.0;

/// What a control gateway starts from.
pub struct InitialState {
    pub identity: ControlNode,
    /// Who votes as the disk has it, at the very first start the seeds; not known where the disk is empty later.
    pub voter_set: VoterSet,
    /// So many seats are needed for what may be lost at once.
    pub required_voters: usize,
    /// `CatchUp`, in seconds: so long after a lost machine's return or its successor's start the next loss may come.
    pub catch_up: f64,
    /// Slots from the disk; none where the disk is empty though this is not the first start.
    pub acceptors: Option<BTreeMap<Register, AcceptorState>>,
    /// Duties that it granted last, from the disk.
    pub grants: Vec<LeaseGrant>,
    pub seed: u64,
}

pub struct ControlNodeState {
    id: NodeId,
    voter_set: VoterSet,
    membership: Membership,
    pub acceptor: Acceptor,
    pub proposer: Proposer,
    pub leases: Leases,
    /// Who is there and which hosts: views of what happened.
    pub event_log: EventLog,
    /// The fleet's clock is the own steady one and this.
    clock_offset: f64,
    last_heartbeat_at: f64,
    /// What the last heartbeats said: is this voter whole, and whom does this gateway miss?
    reported_repair_state: (bool, Vec<NodeId>),
    started_at: f64,
    rng: oorandom::Rand64,
}

impl ControlNodeState {
    pub fn new(now: f64, start: InitialState) -> ControlNodeState {
        let InitialState {
            identity: control_node,
            voter_set,
            required_voters: needed,
            catch_up,
            acceptors: slots,
            grants,
            seed,
        } = start;
        let me = control_node.node;
        let mut chance = oorandom::Rand64::new(u128::from(seed.rotate_left(7)));
        let mut control = ControlNodeState {
            id: me,
            voter_set: VoterSet::default(),
            membership: Membership::new(now, me, needed, RepairTiming::within(catch_up)),
            acceptor: Acceptor::new(now, me, slots),
            proposer: Proposer::new(me, seed),
            leases: Leases::new(now, me, !seed, &grants),
            event_log: EventLog::new(Registry::new(control_node, seed)),
            clock_offset: 0.0,
            last_heartbeat_at: f64::NEG_INFINITY,
            reported_repair_state: (false, Vec::new()),
            started_at: now,
            rng: oorandom::Rand64::new(u128::from(chance.rand_u64())),
        };
        control.acceptor.set_request_serial(chance.rand_u64());
        control.adopt_voter_set(now, &voter_set);
        control
    }

    /// Another epoch begins here, unless this one or a later one has. It is on the disk before any word of it.
    fn adopt_voter_set(&mut self, now: f64, voter_set: &VoterSet) -> Vec<Effect> {
        if voter_set.epoch <= self.voter_set.epoch || voter_set.voters.is_empty() {
            return Vec::new();
        }
        self.voter_set = voter_set.clone();
        self.acceptor.set_voter_set(voter_set);
        self.leases.set_voter_set(voter_set);
        let mut effects = self.persist_voter_set();
        effects.extend(self.proposer.set_voter_set(now, voter_set));
        effects.extend(self.membership.epoch_adopted(now, voter_set));
        effects
    }

    /// What follows from the acts of a part: the membership's own orders end with it, and a set that was chosen stands.
    fn apply_effects(&mut self, now: f64, effects: Vec<Effect>) -> Vec<Effect> {
        let mut rest = Vec::new();
        for effect in effects {
            match effect {
                Effect::ProposalResolved(token, outcome) if token >= FIRST_INTERNAL_TOKEN => {
                    // Its order is about one register; the greatest ballot of all would do as well.
                    self.membership.proposal_resolved(now, token, outcome, |r| {
                        self.proposer.chosen(r).map(|h| h.proposal)
                    });
                }
                other => rest.push(other),
            }
        }
        let chosen =
            self.proposer.chosen(Register::VoterSet).filter(|held| held.revision > self.voter_set.epoch);
        if let Some(voter_set) = chosen.and_then(|held| VoterSet::from_bytes(&held.value)) {
            rest.extend(self.adopt_voter_set(now, &voter_set));
            rest.extend(self.broadcast_heartbeat(now));
        }
        rest
    }

    /// Steers the change of voters.
    fn tick_membership(&mut self, now: f64) -> Vec<Effect> {
        let control_nodes = self.event_log.registry.control_nodes();
        let old =
            |r: &Register| self.proposer.chosen(*r).is_some_and(|held| !self.is_current_generation(held));
        let view = MembershipContext {
            control_nodes: &control_nodes,
            confirmed: self.proposer.confirmed(Register::VoterSet),
            all_confirmed: REGISTERS
                .iter()
                .try_fold(f64::INFINITY, |all, r| Some(self.proposer.confirmed(*r)?.min(all))),
            stale: REGISTERS.into_iter().filter(old).collect(),
            recovered: self.acceptor.is_recovered(),
            leases_known: !self.leases.holders(now).is_empty() || !self.leases.grants().is_empty(),
        };
        let (mut effects, changes) = self.membership.tick(now, &view);
        for (token, change) in changes {
            let proposed = self.proposer.propose_internal(now, change, token);
            effects.extend(self.apply_effects(now, proposed));
        }
        effects
    }

    /// Was it chosen under this founding? What was before it is not given out: it may be newer than what stands.
    fn is_current_generation(&self, held: &AcceptedValue) -> bool {
        held.proposal.round > self.voter_set.first_round()
    }

    fn current_value(&self, register: Register) -> Option<&AcceptedValue> {
        self.proposer.chosen(register).filter(|held| self.is_current_generation(held))
    }

    /// A disk that names who votes vouches for its slots: one that has forgotten them must not.
    fn persist_voter_set(&self) -> Vec<Effect> {
        let voter_set = Some(self.voter_set.clone())
            .filter(|voter_set| voter_set.is_known() && self.acceptor.is_recovered());
        let keep = |voter_set| {
            Effect::Store(
                DurableRecord { voter_set: Some(voter_set), ..DurableRecord::default() },
                Vec::new(),
            )
        };
        voter_set.map(keep).into_iter().collect()
    }

    pub fn voter_set(&self) -> &VoterSet {
        &self.voter_set
    }

    /// An order about who votes; ends as `Act::Done` under `token`, which is below `membership::OWN_TOKENS`. A replacement that ends
    /// as unclear goes on: sent again, the order waits for the same change, or is told that it has come.
    pub fn change_membership(&mut self, now: f64, order: MembershipChange, token: u64) -> Vec<Effect> {
        match order {
            MembershipChange::Replace { old, new } => {
                let ended = self.membership.replace(now, token, old, new);
                let mut effects: Vec<Effect> =
                    ended.into_iter().map(|outcome| Effect::ProposalResolved(token, outcome)).collect();
                effects.extend(self.tick_membership(now));
                effects
            }
            MembershipChange::ForceNewGeneration { epoch, voters: seats } => {
                match self.force_new_generation(now, epoch, &seats) {
                    Ok(effects) => {
                        self.membership.generation_forced(now, token, seats);
                        effects
                    }
                    Err(refusal) => vec![Effect::ProposalResolved(token, Outcome::Rejected(refusal))],
                }
            }
        }
    }

    /// Founds anew with this gateway's seat alone, on what its disk holds; the others that are named are taken in from there,
    /// by agreement. Which set it is and under which ballot are on its disk at one time, before a word of it.
    fn force_new_generation(
        &mut self,
        now: f64,
        epoch: u64,
        seats: &[NodeId],
    ) -> Result<Vec<Effect>, MembershipError> {
        match () {
            () if !self.voter_set.is_known() => return Err(MembershipError::Unknown),
            () if !self.acceptor.is_recovered() => return Err(MembershipError::NotRecovered),
            () if !seats.contains(&self.id) => return Err(MembershipError::NotAVoter),
            () if epoch != self.voter_set.epoch => return Err(MembershipError::WrongEpoch),
            () => {}
        }
        let voter_set = self.voter_set.next_generation(vec![self.id], self.rng.rand_u64() as u16);
        let nonce = self.rng.rand_u64() as u32;
        let proposal = ProposalNumber { round: voter_set.first_round() + 1, node: self.id, nonce };
        let held = AcceptedValue {
            proposal,
            revision: voter_set.epoch,
            value: voter_set.to_bytes(),
            recent_versions: Vec::new(),
        };
        self.acceptor.force_new_generation(held.clone());
        let record = DurableRecord {
            acceptors: self.acceptor.registers(),
            voter_set: Some(voter_set.clone()),
            ..DurableRecord::default()
        };
        let mut effects = vec![Effect::Store(record, Vec::new())];
        effects.extend(self.proposer.learn(Register::VoterSet, &held));
        effects.extend(self.adopt_voter_set(now, &voter_set));
        Ok(effects)
    }

    pub fn cluster_clock(&self, now: f64) -> f64 {
        now + self.clock_offset
    }

    /// The fleet's clock never goes back: the furthest one leads, a message's way behind.
    pub fn observe_clock(&mut self, now: f64, clock: f64) {
        if clock.is_finite() {
            self.clock_offset = self.clock_offset.max(clock - now);
        }
    }

    pub fn host_list(&self) -> &HostList {
        &self.event_log.host_list
    }

    /// Something happened; where it is news, the other control gateways hear of it at once.
    pub fn record_event(&mut self, now: f64, event: Event) -> Vec<Effect> {
        if self.event_log.append(now, event) { self.broadcast_heartbeat(now) } else { Vec::new() }
    }

    /// The lookout's new list.
    pub fn set_host_list(&mut self, now: f64, hosts: HostList) -> Vec<Effect> {
        self.record_event(now, Event::HostListChanged(hosts))
    }

    /// Since when this gateway holds the counts, and in which term.
    pub fn counter_lease(&self, now: f64) -> Option<Lease> {
        self.leases.held_lease(now, SingletonRole::QuotaCounter)
    }

    /// When a majority was asked that confirmed all that data gateways are given from registers.
    fn confirmed(&self) -> Option<f64> {
        let of = |register| self.proposer.confirmed(register);
        Some(of(Register::Configuration)?.min(of(Register::Evacuations)?))
    }

    /// Who has only started, or is cut off, or was a moment ago, may not know of all: too few would make shares too large.
    fn knows_data_nodes(&self, now: f64) -> bool {
        now > self.started_at + DATA_NODES_KNOWN_AFTER
            && self.event_log.registry.caught_up(now)
            && self.confirmed().is_some_and(|at| now < at + CONTACT_WINDOW)
    }

    /// A change of a register under a token below `membership::OWN_TOKENS`. While a first start still takes others in it is unclear
    /// at once, and nothing was begun.
    pub fn propose(&mut self, now: f64, change: Change, token: u64) -> Vec<Effect> {
        if !self.membership.is_established() {
            return vec![Effect::ProposalResolved(token, Outcome::Unknown)];
        }
        let effects = self.proposer.propose(now, change, token);
        self.apply_effects(now, effects)
    }

    pub fn tick(&mut self, now: f64) -> Vec<Effect> {
        let mut effects = self.acceptor.tick(now);
        let proposer = self.proposer.tick(now);
        effects.extend(self.apply_effects(now, proposer));
        effects.extend(self.tick_membership(now));
        if self.membership.is_established() {
            effects.extend(self.leases.tick(now));
        }
        let contact = self.voter_set.has_quorum(|node| self.event_log.registry.is_alive(now, node));
        let ended = self.event_log.append(now, Event::TimePassed { contact });
        if ended || self.repair_state_changed(now) || now >= self.last_heartbeat_at + HEARTBEAT {
            effects.extend(self.broadcast_heartbeat(now));
        }
        effects
    }

    /// Is there news on which a change of the voters waits: who is missed, and whether this voter is whole?
    fn repair_state_changed(&mut self, now: f64) -> bool {
        let told = (self.acceptor.is_recovered(), self.membership.suspected(now));
        let before = std::mem::replace(&mut self.reported_repair_state, told);
        before != self.reported_repair_state
    }

    /// What is said to voters and by them. An old epoch's word is answered by who votes now; a later epoch's sender is told of
    /// this one, and answers so in turn.
    fn step_consensus(&mut self, now: f64, from: NodeId, epoch: u64, poll: ConsensusMessage) -> Vec<Effect> {
        if epoch != self.voter_set.epoch {
            return vec![Effect::Send(from, Message::VoterSet(self.voter_set.clone()))];
        }
        match poll {
            // Who has forgotten its grants grants nothing.
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
            | ConsensusMessage::LeaseReleased(..) => self.leases.step(now, from, &poll),
            ConsensusMessage::StateTransferRequest(serial)
                if self.acceptor.is_recovered() && self.voter_set.contains(self.id) =>
            {
                let told = ConsensusMessage::StateTransferReply(
                    serial,
                    self.acceptor.registers(),
                    self.leases.grants(),
                );
                vec![Effect::Store(DurableRecord::default(), vec![(from, self.voter_set.message(told))])]
            }
            ConsensusMessage::StateTransferRequest(_) => Vec::new(),
            // To one that votes it comes late: it must not take the place of what was granted since.
            ConsensusMessage::StateTransferReply(..) if self.acceptor.is_recovered() => Vec::new(),
            ConsensusMessage::StateTransferReply(_, _, ref grants) => {
                grants.iter().for_each(|&grant| self.leases.restore_grant(now, grant));
                let mut effects = self.acceptor.step(from, &poll);
                // What was told and who votes go to the disk together: the one vouches for the other.
                if let Some(Effect::Store(record, _)) = effects.first_mut() {
                    record.grants = self.leases.grants();
                    record.voter_set = Some(self.voter_set.clone());
                    // While the set changes all registers are settled anyway.
                    let settles = self.voter_set.contains(self.id) && !self.voter_set.is_joint();
                    let read = if settles { self.acceptor.transferred() } else { Vec::new() };
                    for register in read {
                        let settled = self.proposer.propose_internal(
                            now,
                            Change::Commit(register),
                            FIRST_INTERNAL_TOKEN,
                        );
                        effects.extend(self.apply_effects(now, settled));
                    }
                }
                effects
            }
            ConsensusMessage::Promise(..)
            | ConsensusMessage::Accepted(..)
            | ConsensusMessage::Reject(..)
            | ConsensusMessage::ReadReply(..)
            | ConsensusMessage::FetchedValue(..) => {
                self.membership.failure_detector.acceptor_replied(now, from);
                match &poll {
                    ConsensusMessage::Accepted(register, proposal) => {
                        self.membership.record_accepted(from, *register, *proposal)
                    }
                    ConsensusMessage::ReadReply(_, held) => {
                        held.iter().for_each(|(r, b)| self.membership.record_accepted(from, *r, *b))
                    }
                    _ => {}
                }
                let effects = self.proposer.step(now, from, &poll);
                self.apply_effects(now, effects)
            }
            ConsensusMessage::Prepare(..)
            | ConsensusMessage::Accept(..)
            | ConsensusMessage::ReadRequest(_)
            | ConsensusMessage::FetchValue(_) => self.acceptor.step(from, &poll),
        }
    }

    /// A word of another control gateway, or of this one to itself.
    pub fn step(&mut self, now: f64, from: NodeId, word: Message) -> Vec<Effect> {
        self.membership.failure_detector.message_received(now, from);
        match word {
            Message::PeerHello { control_node, voter_set } => {
                self.acceptor.link_reset(from);
                let mut effects = self.adopt_voter_set(now, &voter_set);
                effects.extend(self.record_event(now, Event::ControlNodeDiscovered(control_node)));
                effects
            }
            Message::Heartbeat(beat) => {
                self.observe_clock(now, beat.cluster_clock);
                self.membership.failure_detector.heartbeat_received(
                    from,
                    beat.recovered,
                    beat.voter_set.epoch,
                    &beat.suspected,
                );
                let mut effects = self.adopt_voter_set(now, &beat.voter_set);
                let hears = beat.versions.sessions.iter().map(|(source, _, _)| *source).collect();
                self.event_log.append(now, Event::PeerHeartbeat(from, hears));
                beat.leases.iter().for_each(|&grant| self.leases.learn_holder(now, from, grant));
                if self.is_behind(now, from, &beat.versions) {
                    effects.push(Effect::Send(from, Message::UpdateRequest(self.versions(now))));
                }
                effects
            }
            Message::VoterSet(voter_set) if voter_set.epoch < self.voter_set.epoch => {
                vec![Effect::Send(from, Message::VoterSet(self.voter_set.clone()))]
            }
            Message::VoterSet(voter_set) => self.adopt_voter_set(now, &voter_set),
            Message::Consensus(epoch, poll) => self.step_consensus(now, from, epoch, poll),
            Message::UpdateRequest(theirs) => match self.updates_for(now, &theirs, true) {
                pieces if pieces.is_empty() => Vec::new(),
                pieces => vec![Effect::Send(from, Message::StateUpdates(pieces))],
            },
            Message::StateUpdates(pieces) => self.apply_updates(now, pieces),
            Message::SessionHeartbeat { .. }
            | Message::CounterAdds { .. }
            | Message::CounterTotals { .. } => Vec::new(),
        }
    }

    /// This gateway is told to end: it leaves its duties to the nearest other voter that is there, and asks for its seat to be
    /// given to another gateway. It goes on as before until `may_end`.
    pub fn leave(&mut self, now: f64) -> Vec<Effect> {
        self.membership.leave();
        let presence = &self.membership.failure_detector;
        let stays = |node: NodeId| {
            self.voter_set.contains(node) && presence.is_reachable(now, node) && !presence.is_leaving(node)
        };
        let mut others = self.event_log.registry.control_nodes();
        others.retain(|control_node| control_node.node != self.id && stays(control_node.node));
        others.sort_by_key(|control_node| {
            (control_node.region != self.event_log.registry.own.region, control_node.node)
        });
        let mut effects = self.leases.leave(now, others.first().map(|control_node| control_node.node));
        effects.extend(self.broadcast_heartbeat(now));
        effects
    }

    /// May a gateway that was told to end do so, as far as its seat goes?
    pub fn may_shut_down(&self, now: f64) -> bool {
        self.membership.may_shut_down(now)
    }
}
