//! The writer's and reader's side of the registers. A change is one attempt after another, each with a ballot of its own:
//! a majority promises and tells what it holds, the change is made on the newest of that, a majority accepts the outcome.
//! No log, no leader: any control gateway may do it, and what is chosen once is what every later change starts from.
//! It also learns what is chosen, and knows since when a majority has confirmed that. Must never take for chosen what a
//! majority does not hold on disk under one ballot.

mod change;
mod quorum_read;

pub use change::{Change, MAX_RECENT_VERSIONS};

use crate::{Effect, Outcome};
use archlink_messages::{AcceptedValue, ConsensusMessage, NodeId, ProposalNumber, Register, VoterSet};
use quorum_read::QuorumRead;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long a change is tried: callers move on after a second of silence.
pub const PROPOSAL_TIMEOUT: f64 = 0.9;
/// The same of this gateway's own changes, for which no caller waits: an emptied voter is silent for longer (`voter::FORGET`).
const INTERNAL_PROPOSAL_TIMEOUT: f64 = 1.9;
/// Voters that have not answered by then are asked again under the same ballot: the word may be lost, and where it is the
/// disk that is slow, the answer to the first one counts.
const RESEND_INTERVAL: f64 = 0.35;
/// Changes waiting for their turn on one register; a further one is refused at once.
const MAX_PENDING: usize = 64;

#[derive(Clone, Debug)]
struct PendingProposal {
    change: Change,
    token: Option<u64>,
    deadline: f64,
    /// This gateway's own, for which no caller waits.
    internal: bool,
}

#[derive(Clone, Debug)]
enum ProposalPhase {
    BackingOff {
        from: f64,
    },
    Preparing(BTreeMap<NodeId, Option<AcceptedValue>>),
    /// With what the caller is told once it is chosen.
    Accepting(AcceptedValue, Outcome, BTreeSet<NodeId>),
}

/// The change at work on a register.
#[derive(Clone, Debug)]
struct ActiveProposal {
    pending: PendingProposal,
    number: ProposalNumber,
    phase_started: f64,
    phase: ProposalPhase,
    /// How often another attempt came in between.
    rejections: u32,
    /// Its caller is gone: what was sent out may come to be, but nothing is tried again.
    withdrawn: bool,
}

#[derive(Clone, Debug)]
pub struct Proposer {
    id: NodeId,
    voter_set: VoterSet,
    rng: oorandom::Rand64,
    round: u64,
    active: BTreeMap<Register, ActiveProposal>,
    waiting: BTreeMap<Register, VecDeque<PendingProposal>>,
    chosen: BTreeMap<Register, AcceptedValue>,
    quorum_read: QuorumRead,
}

impl Proposer {
    pub fn new(id: NodeId, seed: u64) -> Proposer {
        let mut rng = oorandom::Rand64::new(u128::from(seed));
        Proposer {
            id,
            voter_set: VoterSet::default(),
            quorum_read: QuorumRead::new(rng.rand_u64()),
            rng,
            round: 0,
            active: BTreeMap::new(),
            waiting: BTreeMap::new(),
            chosen: BTreeMap::new(),
        }
    }

    /// Another epoch: what was answered in the one before counts for nothing, and is asked for anew.
    pub fn set_voter_set(&mut self, now: f64, voter_set: &VoterSet) -> Vec<Effect> {
        self.voter_set = voter_set.clone();
        self.round = self.round.max(voter_set.first_round());
        self.quorum_read.reset_epoch();
        let busy: Vec<Register> = self.active.keys().copied().collect();
        busy.into_iter().flat_map(|register| self.prepare(now, register)).collect()
    }

    pub fn chosen(&self, register: Register) -> Option<&AcceptedValue> {
        self.chosen.get(&register)
    }

    /// When the question was asked to which a majority answered that what is known here is the newest.
    pub fn confirmed(&self, register: Register) -> Option<f64> {
        self.quorum_read.confirmed(register)
    }

    fn to_all(&self, poll: ConsensusMessage) -> Vec<Effect> {
        let word = self.voter_set.message(poll);
        self.voter_set.all_voters().into_iter().map(|node| Effect::Send(node, word.clone())).collect()
    }

    /// A change, to be told of under `token`; it ends as `Act::Done` within `LIFE`.
    pub fn propose(&mut self, now: f64, change: Change, token: u64) -> Vec<Effect> {
        self.enqueue(
            now,
            PendingProposal { change, token: Some(token), deadline: now + PROPOSAL_TIMEOUT, internal: false },
        )
    }

    /// The same of a change of this gateway's own, which has longer and goes before all orders that wait: a change of the voters
    /// must come through however many there are. Its caller has one at a time on each register.
    pub fn propose_internal(&mut self, now: f64, change: Change, token: u64) -> Vec<Effect> {
        let register = change.register();
        let wish = PendingProposal {
            change,
            token: Some(token),
            deadline: now + INTERNAL_PROPOSAL_TIMEOUT,
            internal: true,
        };
        self.waiting.entry(register).or_default().push_front(wish);
        self.start_next(now, register)
    }

    /// The caller is gone: what no voter was asked to accept yet is dropped, and nothing is tried anew, so that it can't
    /// undo what comes after it.
    pub fn withdraw(&mut self, token: u64) {
        for waiting in self.waiting.values_mut() {
            waiting.retain(|wish| wish.token != Some(token));
        }
        self.active.retain(|_, work| {
            let gone = work.pending.token == Some(token);
            work.withdrawn |= gone;
            !gone || matches!(work.phase, ProposalPhase::Accepting(..))
        });
    }

    /// Somebody wants to know what holds from now on: the voters are asked which ballots they hold, at once or as soon as a
    /// majority has answered the question before. Any number of calls costs one question a round trip.
    pub fn request_confirmation(&mut self, now: f64) -> Vec<Effect> {
        self.quorum_read.request_confirmation(now);
        self.send_read_request(now)
    }

    fn enqueue(&mut self, now: f64, wish: PendingProposal) -> Vec<Effect> {
        let register = wish.change.register();
        let waiting = self.waiting.entry(register).or_default();
        if waiting.len() >= MAX_PENDING {
            return wish
                .token
                .map(|token| Effect::ProposalResolved(token, Outcome::Unknown))
                .into_iter()
                .collect();
        }
        waiting.push_back(wish);
        self.start_next(now, register)
    }

    fn start_next(&mut self, now: f64, register: Register) -> Vec<Effect> {
        if self.active.contains_key(&register) || !self.voter_set.is_known() {
            return Vec::new();
        }
        let mut effects = Vec::new();
        while let Some(wish) = self.waiting.get_mut(&register).and_then(VecDeque::pop_front) {
            if now > wish.deadline {
                effects.extend(wish.token.map(|token| Effect::ProposalResolved(token, Outcome::Unknown)));
                continue;
            }
            let phase = ProposalPhase::BackingOff { from: now };
            self.active.insert(
                register,
                ActiveProposal {
                    pending: wish,
                    number: ProposalNumber::default(),
                    phase_started: now,
                    phase,
                    rejections: 0,
                    withdrawn: false,
                },
            );
            effects.extend(self.prepare(now, register));
            break;
        }
        effects
    }

    fn prepare(&mut self, now: f64, register: Register) -> Vec<Effect> {
        let Some(work) = self.active.get_mut(&register) else { return Vec::new() };
        if work.withdrawn || now > work.pending.deadline {
            return self.resolve(now, register, Outcome::Unknown);
        }
        self.round += 1;
        let nonce = self.rng.rand_u64() as u32;
        work.number = ProposalNumber { round: self.round, node: self.id, nonce };
        work.phase_started = now;
        work.phase = ProposalPhase::Preparing(BTreeMap::new());
        let prepare = ConsensusMessage::Prepare(register, work.number);
        self.to_all(prepare)
    }

    /// Asks those again that have not answered the half that is under way. Where the caller is gone nothing is.
    fn resend(&mut self, now: f64, register: Register) -> Vec<Effect> {
        let Some(work) = self.active.get_mut(&register) else { return Vec::new() };
        if work.withdrawn {
            return self.resolve(now, register, Outcome::Unknown);
        }
        work.phase_started = now;
        let (poll, answered): (ConsensusMessage, Vec<NodeId>) = match &work.phase {
            ProposalPhase::BackingOff { .. } => return Vec::new(),
            ProposalPhase::Preparing(promises) => {
                (ConsensusMessage::Prepare(register, work.number), promises.keys().copied().collect())
            }
            ProposalPhase::Accepting(held, _, yes) => {
                (ConsensusMessage::Accept(register, held.clone()), yes.iter().copied().collect())
            }
        };
        let word = self.voter_set.message(poll);
        let silent = self.voter_set.all_voters().into_iter().filter(|node| !answered.contains(node));
        silent.map(|node| Effect::Send(node, word.clone())).collect()
    }

    fn resolve(&mut self, now: f64, register: Register, outcome: Outcome) -> Vec<Effect> {
        let Some(work) = self.active.remove(&register) else { return Vec::new() };
        let mut effects: Vec<Effect> =
            work.pending.token.map(|token| Effect::ProposalResolved(token, outcome)).into_iter().collect();
        effects.extend(self.start_next(now, register));
        effects
    }

    /// What is known to be chosen, from another gateway or from here.
    pub fn learn(&mut self, register: Register, held: &AcceptedValue) -> Vec<Effect> {
        self.round = self.round.max(held.proposal.round);
        let mine = self.chosen.get(&register);
        if mine.is_some_and(|mine| mine.proposal >= held.proposal) {
            return Vec::new();
        }
        // Under one stamp there may be two contents, and the stamp may go back, where a person founded anew between them.
        let newer =
            mine.is_none_or(|mine| mine.ordering_key() != held.ordering_key() || mine.value != held.value);
        if mine.is_some_and(|mine| mine.generation() != held.generation()) {
            self.quorum_read.invalidate(register);
        }
        self.chosen.insert(register, held.clone());
        self.quorum_read.confirm(&self.voter_set, register, held.proposal);
        if newer { vec![Effect::Learned(register)] } else { Vec::new() }
    }

    pub fn step(&mut self, now: f64, from: NodeId, poll: &ConsensusMessage) -> Vec<Effect> {
        if !self.voter_set.contains(from) {
            return Vec::new();
        }
        self.quorum_read.expire_replies(now);
        match poll {
            ConsensusMessage::Promise(register, proposal, held) => {
                self.receive_promise(now, from, *register, *proposal, held)
            }
            ConsensusMessage::Accepted(register, proposal) => {
                self.receive_accepted(now, from, *register, *proposal)
            }
            ConsensusMessage::Reject(register, proposal, promised) => {
                self.round = self.round.max(promised.round);
                if let Some(work) = self.active.get_mut(register).filter(|work| work.number == *proposal) {
                    // Somebody else is at it: a wait by chance lets one of the two come through. Orders wait longer each time, for
                    // slow disks, and own changes hardly: else orders without a pause would hold up a change of the voters.
                    const LEAST: f64 = 0.01;
                    const MORE: f64 = 0.12;
                    const OWN_MORE: f64 = 0.03;
                    const MOST_DOUBLED: u32 = 2;
                    let doubled = f64::from(1_u32 << work.rejections.min(MOST_DOUBLED));
                    let more = if work.pending.internal { OWN_MORE } else { MORE * doubled };
                    work.rejections += 1;
                    work.phase =
                        ProposalPhase::BackingOff { from: now + LEAST + more * self.rng.rand_float() };
                    work.number = ProposalNumber::default();
                }
                Vec::new()
            }
            ConsensusMessage::ReadReply(serial, proposals) => {
                self.receive_read_reply(now, from, *serial, proposals)
            }
            // From one voter alone it is no proof: it counts once a majority names its ballot.
            ConsensusMessage::FetchedValue(register, held)
                if self.quorum_read.quorum_holds(now, &self.voter_set, *register, held.proposal) =>
            {
                self.learn(*register, held)
            }
            _ => Vec::new(),
        }
    }

    fn receive_promise(
        &mut self,
        now: f64,
        from: NodeId,
        register: Register,
        proposal: ProposalNumber,
        held: &Option<AcceptedValue>,
    ) -> Vec<Effect> {
        let voter_set = &self.voter_set;
        let Some(work) = self.active.get_mut(&register).filter(|work| work.number == proposal) else {
            return Vec::new();
        };
        let ProposalPhase::Preparing(promises) = &mut work.phase else { return Vec::new() };
        promises.insert(from, held.clone());
        // A machine that stood still may be here long after its time: what it was promised may be forgotten by now.
        if !voter_set.has_quorum(|node| promises.contains_key(&node)) || now > work.pending.deadline {
            return Vec::new();
        }
        let newest = promises.values().flatten().max_by_key(|held| held.proposal);
        let Some((held, outcome)) = work.pending.change.apply(newest, proposal) else {
            return self.resolve(now, register, Outcome::Chosen);
        };
        work.phase = ProposalPhase::Accepting(held.clone(), outcome, BTreeSet::new());
        work.phase_started = now;
        self.to_all(ConsensusMessage::Accept(register, held))
    }

    fn receive_accepted(
        &mut self,
        now: f64,
        from: NodeId,
        register: Register,
        proposal: ProposalNumber,
    ) -> Vec<Effect> {
        let voter_set = &self.voter_set;
        let Some(work) = self.active.get_mut(&register).filter(|work| work.number == proposal) else {
            return Vec::new();
        };
        let ProposalPhase::Accepting(held, outcome, yes) = &mut work.phase else { return Vec::new() };
        yes.insert(from);
        // After its time one that had accepted may have forgotten it, as above.
        if !voter_set.has_quorum(|node| yes.contains(&node)) || now > work.pending.deadline {
            return Vec::new();
        }
        let (held, outcome) = (held.clone(), *outcome);
        let mut effects = self.learn(register, &held);
        effects.extend(self.resolve(now, register, outcome));
        effects
    }

    fn receive_read_reply(
        &mut self,
        now: f64,
        from: NodeId,
        serial: u64,
        proposals: &[(Register, ProposalNumber)],
    ) -> Vec<Effect> {
        if !self.quorum_read.receive_reply(from, serial, proposals) {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for &(register, theirs) in proposals {
            let mine = self.chosen.get(&register).map_or(ProposalNumber::default(), |held| held.proposal);
            if theirs <= mine {
                self.quorum_read.confirm(&self.voter_set, register, mine);
            } else if self.quorum_read.quorum_holds(now, &self.voter_set, register, theirs)
                && self.quorum_read.may_fetch(now, register, theirs)
            {
                effects
                    .push(Effect::Send(from, self.voter_set.message(ConsensusMessage::FetchValue(register))));
            }
        }
        // A reader that came meanwhile may be waiting for the next question.
        effects.extend(self.send_read_request(now));
        effects
    }

    /// Attempts that hang are asked for again, changes whose time is up end, and the question is asked again.
    pub fn tick(&mut self, now: f64) -> Vec<Effect> {
        let mut effects = Vec::new();
        let busy: Vec<Register> = self.active.keys().chain(self.waiting.keys()).copied().collect();
        for register in busy {
            let Some(work) = self.active.get(&register) else {
                effects.extend(self.start_next(now, register));
                continue;
            };
            match work.phase {
                _ if now > work.pending.deadline => {
                    effects.extend(self.resolve(now, register, Outcome::Unknown))
                }
                ProposalPhase::BackingOff { from } if now >= from => {
                    effects.extend(self.prepare(now, register))
                }
                ProposalPhase::BackingOff { .. } => {}
                _ if now > work.phase_started + RESEND_INTERVAL => effects.extend(self.resend(now, register)),
                _ => {}
            }
        }
        effects.extend(self.send_read_request(now));
        effects
    }

    /// Asks the voters which ballots they hold, where it is time.
    fn send_read_request(&mut self, now: f64) -> Vec<Effect> {
        if !self.voter_set.is_known() || !self.quorum_read.due(now, &self.voter_set) {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for register in self.quorum_read.diverged_registers(now, &self.voter_set) {
            if !self.active.contains_key(&register) {
                let wish = PendingProposal {
                    change: Change::Commit(register),
                    token: None,
                    deadline: now + PROPOSAL_TIMEOUT,
                    internal: false,
                };
                effects.extend(self.enqueue(now, wish));
            }
        }
        let serial = self.quorum_read.next_request(now);
        effects.extend(self.to_all(ConsensusMessage::ReadRequest(serial)));
        effects
    }
}
