//! Quorum reads of a proposer: as of which time a value is confirmed as the newest, with replies that are out
//! of order, late, from before a restart of the reader or from an earlier epoch.

use archlink_consensus::Effect;
use archlink_consensus::proposer::Proposer;
use archlink_messages::{
    AcceptedValue, ConsensusMessage, Message, NodeId, ProposalNumber, REGISTERS, Register, VoterSet,
};

/// The maximum time for shrinking a failing case.
const SHRINK_TIME: std::time::Duration = std::time::Duration::from_secs(5);

/// The node whose proposer reads.
const READER: NodeId = 9;

/// Seconds between two quorum reads.
const READ_INTERVAL: f64 = 0.4;

fn proposal(round: u64) -> ProposalNumber {
    ProposalNumber { round, node: 9, nonce: 0 }
}

fn value(round: u64) -> AcceptedValue {
    AcceptedValue { proposal: proposal(round), revision: round, ..AcceptedValue::default() }
}

fn reader(seed: u64) -> Proposer {
    let mut proposer = Proposer::new(READER, seed);
    proposer.set_voter_set(0.0, &VoterSet::initial(&[1, 2, 3]));
    proposer
}

fn configuration_revision(proposer: &Proposer) -> u64 {
    proposer.committed(Register::Configuration).map_or(0, |value| value.revision)
}

struct Reply {
    arrives_at: f64,
    from: NodeId,
    message: ConsensusMessage,
}

/// A reader and three voters; a configuration is chosen once two voters have accepted it.
struct ReadHarness {
    now: f64,
    proposer: Proposer,
    /// The round that each voter has accepted, 0 for none.
    accepted: [u64; 3],
    /// The newest proposed round.
    newest: u64,
    /// Each chosen round, and the time at which it was chosen.
    chosen: Vec<(u64, f64)>,
    in_flight: Vec<Reply>,
}

impl ReadHarness {
    fn new(seed: u64) -> ReadHarness {
        ReadHarness {
            now: 1.0,
            proposer: reader(seed),
            accepted: [0; 3],
            newest: 0,
            chosen: Vec::new(),
            in_flight: Vec::new(),
        }
    }

    /// Lets a voter accept the newest round.
    fn accept_newest(&mut self, voter: usize) {
        self.accepted[voter] = self.newest;
        let acceptors = self.accepted.iter().filter(|round| **round == self.newest).count();
        if acceptors == 2 && self.newest > 0 {
            self.chosen.push((self.newest, self.now));
        }
    }

    /// Lets the voters answer the reader's requests from what they have accepted by now. `latency` draws the
    /// seconds that a reply takes, `None` if it is lost.
    fn answer(&mut self, effects: Vec<Effect>, mut latency: impl FnMut() -> Option<f64>) {
        for effect in effects {
            let Effect::Send(to, Message::Consensus(_, request)) = effect else { continue };
            let (round, Some(latency)) = (self.accepted[to as usize - 1], latency()) else { continue };
            let Some(message) = reply_to(&request, round) else { continue };
            self.in_flight.push(Reply { arrives_at: self.now + latency, from: to, message });
        }
    }

    fn run(&mut self, seconds: f64, mut latency: impl FnMut() -> Option<f64>) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.01;
            let now = self.now;
            let due: Vec<Reply> = self.in_flight.extract_if(.., |reply| reply.arrives_at <= now).collect();
            for reply in due {
                let effects = self.proposer.step(now, reply.from, &reply.message);
                self.answer(effects, &mut latency);
            }
            let effects = self.proposer.tick(now);
            self.answer(effects, &mut latency);
            self.check_confirmation();
        }
    }

    /// Checks that a value confirmed as of a time was the newest chosen value at that time.
    fn check_confirmation(&self) {
        let revision = configuration_revision(&self.proposer);
        let confirmed = self.proposer.confirmed(Register::Configuration).unwrap_or(f64::NEG_INFINITY);
        let missed =
            self.chosen.iter().find(|(round, chosen_at)| *round > revision && *chosen_at < confirmed);
        assert!(
            missed.is_none(),
            "{revision} was confirmed as of {confirmed}, but {missed:?} was chosen by then"
        );
    }
}

/// Returns the reply of a voter that has accepted `round` of the configuration and the nil proposal of every
/// other register.
fn reply_to(request: &ConsensusMessage, round: u64) -> Option<ConsensusMessage> {
    match request {
        ConsensusMessage::ReadRequest(serial) => {
            let accepted = |register| match (round, register) {
                (0, _) => (register, ProposalNumber::default()),
                (_, Register::Configuration) => (register, proposal(round)),
                _ => (register, proposal(0)),
            };
            Some(ConsensusMessage::ReadReply(*serial, REGISTERS.map(accepted).to_vec()))
        }
        ConsensusMessage::FetchValue(Register::Configuration) if round > 0 => {
            Some(ConsensusMessage::FetchedValue(Register::Configuration, value(round)))
        }
        _ => None,
    }
}

/// Replies arrive in any order, are lost, are seconds late, or belong to requests from before a restart: a
/// value confirmed as of a time was the newest one then. Once replies arrive regularly, the confirmation is
/// as recent as their latency allows.
#[test]
fn a_confirmed_value_was_the_latest_when_its_read_began() {
    const MAX_REPLY_LATENCY: f64 = 0.6;
    bolero::check!()
        .with_iterations(400)
        .with_shrink_time(SHRINK_TIME)
        .with_type::<(u64, Vec<(u8, u8)>)>()
        .for_each(|(seed, schedule)| {
            let mut rng = oorandom::Rand64::new(u128::from(*seed));
            let mut harness = ReadHarness::new(*seed);
            for &(action, length) in schedule.iter().take(40) {
                match action % 8 {
                    0 => harness.newest += 1,
                    voter @ 1..=3 => harness.accept_newest(usize::from(voter) - 1),
                    4 => harness.proposer = reader(rng.rand_u64()),
                    _ => {
                        let effects = harness.proposer.request_confirmation(harness.now);
                        harness.answer(effects, || Some(0.3));
                    }
                }
                let loss_rate = rng.rand_float();
                let latency = || (rng.rand_float() > loss_rate).then(|| 2.5 * rng.rand_float().powi(3));
                harness.run(f64::from(length) / 400.0, latency);
            }
            (0..3).for_each(|voter| harness.accept_newest(voter));
            let mut latency = || Some(MAX_REPLY_LATENCY * rng.rand_float());
            harness.run(4.0, &mut latency);
            for _ in 0..100 {
                harness.run(0.02, &mut latency);
                let confirmed = harness.proposer.confirmed(Register::Configuration).expect("confirmed");
                let age = harness.now - confirmed;
                assert!(age < READ_INTERVAL + MAX_REPLY_LATENCY + 0.03, "{age}");
                assert_eq!(configuration_revision(&harness.proposer), harness.newest);
            }
        });
}

/// Returns the serial of the read request that is sent at that time.
fn read_serial(proposer: &mut Proposer, now: f64) -> u64 {
    let serial = |effect: Effect| match effect {
        Effect::Send(_, Message::Consensus(_, ConsensusMessage::ReadRequest(serial))) => Some(serial),
        _ => None,
    };
    proposer.tick(now).into_iter().find_map(serial).expect("a read request")
}

fn read_reply(serial: u64, round: u64) -> ConsensusMessage {
    ConsensusMessage::ReadReply(serial, vec![(Register::Configuration, proposal(round))])
}

/// Regression: serials of read requests began at 0 in each incarnation of the reader. A reply that a voter's
/// disk delayed until after a restart of the reader was counted for a request of the new incarnation, and
/// confirmed a value that had long been replaced. A reply from an earlier epoch must not count either.
#[test]
fn a_reply_to_a_read_of_an_earlier_incarnation_or_epoch_is_ignored() {
    let mut earlier_incarnation = reader(1);
    let earlier_serial = read_serial(&mut earlier_incarnation, 1.0);
    // The reader restarts; meanwhile round 2 is chosen in place of round 1.
    let mut proposer = reader(2);
    let earlier_epoch_serial = read_serial(&mut proposer, 9.0);
    proposer.set_voter_set(9.0, &VoterSet::initial(&[1, 2, 3]).enter_joint(vec![1, 2, 4]));
    let serial = read_serial(&mut proposer, 9.1);
    proposer.learn(Register::Configuration, &value(1));
    for voter in [1, 2, 4] {
        proposer.step(9.2, voter, &read_reply(earlier_serial, 1));
        proposer.step(9.2, voter, &read_reply(earlier_epoch_serial, 1));
    }
    assert_eq!(proposer.confirmed(Register::Configuration), None);
    for voter in [1, 2] {
        proposer.step(9.2, voter, &read_reply(serial, 2));
    }
    assert_eq!(proposer.confirmed(Register::Configuration), None, "the learned value was replaced");
    proposer.learn(Register::Configuration, &value(2));
    assert_eq!(
        proposer.confirmed(Register::Configuration),
        Some(9.1),
        "as of the request, not of the replies"
    );
}

/// Regression: while values changed in quick succession, the voters' replies differed in each read, and
/// nothing was ever confirmed. It is enough that the replies of some quorum name no higher round than the
/// reader has.
#[test]
fn voters_that_differ_confirm_a_value_that_no_quorum_is_beyond() {
    for (rounds, is_confirmed) in [([1, 2, 2], true), ([1, 2, 3], true), ([3, 2, 3], false)] {
        let mut proposer = reader(1);
        let serial = read_serial(&mut proposer, 1.0);
        for voter in 1..=3 {
            proposer.step(1.1, voter, &read_reply(serial, rounds[voter as usize - 1]));
        }
        proposer.learn(Register::Configuration, &value(2));
        assert_eq!(proposer.confirmed(Register::Configuration), is_confirmed.then_some(1.0), "{rounds:?}");
    }
}

/// Regression: a value was considered chosen although one of the two voters that had accepted it lost its
/// disk long before the other one accepted it.
#[test]
fn replies_outside_the_time_window_form_no_quorum() {
    for (seconds_apart, is_quorum) in [(1.0, true), (2.6, false), (9.0, false)] {
        let mut proposer = reader(1);
        let mut serial = read_serial(&mut proposer, 1.0);
        proposer.step(1.1, 1, &read_reply(serial, 5));
        let mut now = 1.0;
        while now < 1.0 + seconds_apart {
            now += READ_INTERVAL;
            serial = read_serial(&mut proposer, now);
        }
        let fetches = !proposer.step(now, 2, &read_reply(serial, 5)).is_empty();
        proposer.step(now, 2, &ConsensusMessage::FetchedValue(Register::Configuration, value(5)));
        assert_eq!(
            (fetches, proposer.committed(Register::Configuration).is_some()),
            (is_quorum, is_quorum),
            "{seconds_apart} s apart"
        );
    }
}
