//! A configuration version has one text forever, and operators' proposals take effect in order. Many
//! operators race at many nodes while messages are lost, late and duplicated, nodes are partitioned, frozen
//! and killed, and callers retry at other nodes.

use crate::SHRINK_TIME;
use crate::network::SimulatedNetwork;
use archlink_consensus::proposer::{Change, MAX_RECENT_VERSIONS, PROPOSAL_TIMEOUT, Proposer};
use archlink_consensus::{Effect, Outcome};
use archlink_messages::{
    ConsensusMessage, Message, NodeId, Register, VersionDigest, VoterSet, decode_evacuated_zones,
};
use std::collections::BTreeMap;

const NODES: NodeId = 8;
const VERSION: u64 = 5;
/// Seconds after which a caller without an answer retries at another node; longer than any proposal lives.
const CALLER_TIMEOUT: f64 = 1.0;

fn digest_of(version: u64, content: u8) -> VersionDigest {
    VersionDigest { version, digest: [content; 16] }
}

struct Caller {
    content: u8,
    node: NodeId,
    token: u64,
    sent_at: f64,
    /// The final answer.
    answer: Option<Outcome>,
}

/// Callers that each propose a different content under one version, and retry until they are answered.
struct Race {
    network: SimulatedNetwork,
    callers: Vec<Caller>,
    last_token: u64,
    /// The content that was proposed under each token.
    contents: BTreeMap<u64, u8>,
    /// The number of resolved proposals that have been checked.
    checked: usize,
    /// The content that was chosen, as the first answer named it.
    winner: Option<u8>,
}

impl Race {
    fn new(seed: u64, contents: u8) -> Race {
        let mut network = SimulatedNetwork::new(seed, 3 + 2 * (seed % 2) as NodeId, NODES);
        network.run(0.5);
        (network.loss_rate, network.duplicate_rate) = (0.1, 0.2);
        (network.sync_seconds, network.step_seconds) = (0.02, 0.005);
        let mut race = Race {
            network,
            callers: Vec::new(),
            last_token: 0,
            contents: BTreeMap::new(),
            checked: 0,
            winner: None,
        };
        for content in 0..contents {
            race.callers.push(Caller { content, node: 0, token: 0, sent_at: 0.0, answer: None });
            race.propose(usize::from(content));
        }
        race
    }

    /// Lets a caller propose its content at a random node.
    fn propose(&mut self, index: usize) {
        self.last_token += 1;
        let node = 1 + self.network.rng.rand_range(0..u64::from(NODES)) as NodeId;
        let caller = &mut self.callers[index];
        (caller.node, caller.token, caller.sent_at) = (node, self.last_token, self.network.now);
        self.contents.insert(self.last_token, caller.content);
        if self.network.is_responsive(node) {
            self.network.propose_configuration(node, self.last_token, VERSION, caller.content);
        }
    }

    /// Checks that all answers, including those that nobody waits for any more, name the same content.
    fn check_answers(&mut self) {
        for &(_, token, outcome) in &self.network.resolved[self.checked..] {
            let content = self.contents[&token];
            let chosen = match outcome {
                Outcome::Chosen => content,
                Outcome::VersionConflict(conflict) => {
                    assert_eq!(conflict, digest_of(VERSION, conflict.digest[0]));
                    assert_ne!(conflict.digest[0], content, "conflict with its own content");
                    conflict.digest[0]
                }
                Outcome::Unknown => continue,
                Outcome::Rejected(_) => panic!("rejected"),
            };
            assert_eq!(*self.winner.get_or_insert(chosen), chosen, "two contents under one version");
            let waiting = self.callers.iter_mut().filter(|caller| caller.token == token);
            waiting.for_each(|caller| caller.answer = Some(outcome));
        }
        self.checked = self.network.resolved.len();
    }

    fn run(&mut self, seconds: f64) {
        let end = self.network.now + seconds;
        while self.network.now < end {
            self.network.advance();
            self.check_answers();
            (0..self.callers.len()).for_each(|index| self.retry_if_unanswered(index));
        }
    }

    fn retry_if_unanswered(&mut self, index: usize) {
        let Caller { node, token, sent_at, answer, .. } = self.callers[index];
        // The callers of a killed node notice that at once.
        let gave_up = !self.network.nodes.contains_key(&node) || self.network.now > sent_at + CALLER_TIMEOUT;
        let resolved = self.network.outcome(token).is_some();
        if answer.is_none() && (gave_up || resolved) {
            if let Some(control_node) = self.network.nodes.get_mut(&node) {
                control_node.proposer.withdraw(token);
            }
            self.propose(index);
        }
    }

    fn inject_fault(&mut self, kind: u8, nodes: u8, length: u8) {
        let (node, peer) = (NodeId::from(nodes % 8) + 1, NodeId::from(nodes / 8 % 8) + 1);
        let network = &mut self.network;
        match kind % 6 {
            0 => drop(network.partitioned.insert((node, peer))),
            1 => network.partition(node, kind & 8 == 0, kind & 16 == 0),
            2 => drop(network.frozen_until.insert(node, network.now + f64::from(length) / 64.0)),
            3 => network.kill(node),
            4 => network.sync_seconds = f64::from(length) / 512.0,
            _ => network.partitioned.clear(),
        }
    }

    fn restart_killed(&mut self) {
        let killed: Vec<NodeId> = (1..=NODES).filter(|node| !self.network.nodes.contains_key(node)).collect();
        killed.into_iter().for_each(|node| self.network.start(node));
    }

    fn heal(&mut self) {
        self.network.partitioned.clear();
        self.network.frozen_until.clear();
        (self.network.loss_rate, self.network.sync_seconds) = (0.0, 0.02);
    }
}

/// Regressions: two contents were acknowledged under one version, although the losing caller should receive
/// the winner's digest; and a retried proposal was rejected. Any later caller at any node, also after a
/// higher version, receives the same answer.
#[test]
fn one_version_has_one_content_under_any_faults() {
    bolero::check!()
        .with_iterations(40)
        .with_shrink_time(SHRINK_TIME)
        .with_type::<(u64, u8, Vec<(u8, u8, u8)>)>()
        .for_each(|(seed, contents, faults)| {
            let mut race = Race::new(*seed, 2 + contents % 7);
            for &(kind, nodes, length) in faults.iter().take(12) {
                race.inject_fault(kind, nodes, length);
                race.run(f64::from(length) / 256.0);
                race.restart_killed();
            }
            race.heal();
            race.run(8.0);
            let winner = race.winner.expect("a chosen content");
            let expected = |content| {
                if content == winner {
                    Outcome::Chosen
                } else {
                    Outcome::VersionConflict(digest_of(VERSION, winner))
                }
            };
            for caller in &race.callers {
                assert_eq!(caller.answer, Some(expected(caller.content)), "content {}", caller.content);
            }
            // The answers are the same after a higher version.
            race.contents.insert(1001, winner);
            let network = &mut race.network;
            network.propose_configuration(2, 1000, VERSION + 3, 99);
            assert_eq!(network.wait_for(1000), Outcome::Chosen);
            for content in 0..race.callers.len() as u8 {
                let token = 2000 + u64::from(content);
                network.propose_configuration(1 + NodeId::from(content) % NODES, token, VERSION, content);
                let outcome = network.wait_for(token);
                assert_eq!(outcome, expected(content), "content {content} after a higher version");
            }
            network.run(0.5);
            let revision = |node| network.revision(node, Register::Configuration);
            assert!((1..=NODES).all(|node| revision(node) == VERSION + 4));
        });
}

/// Only the most recent versions are kept. A lower version that was never chosen, or chosen too long ago, is
/// acknowledged without effect and not recorded, even if another content follows under the same version.
#[test]
fn recent_versions_are_bounded_and_list_chosen_contents_only() {
    let mut network = SimulatedNetwork::new(3, 3, 3);
    network.run(0.5);
    let mut token = 0;
    let mut propose = |network: &mut SimulatedNetwork, version, content| {
        token += 1;
        network.propose_configuration(1 + (token % 3) as NodeId, token, version, content);
        network.wait_for(token)
    };
    for n in 0..MAX_RECENT_VERSIONS as u64 + 1 {
        assert_eq!(propose(&mut network, 10 * (n + 1), n as u8), Outcome::Chosen);
    }
    let (oldest, newest) = (20, 10 * (MAX_RECENT_VERSIONS as u64 + 1));
    let conflict = |version, content| Outcome::VersionConflict(digest_of(version, content));
    assert_eq!(propose(&mut network, oldest, 200), conflict(oldest, 1), "the oldest recent version");
    assert_eq!(
        propose(&mut network, newest, 200),
        conflict(newest, MAX_RECENT_VERSIONS as u8),
        "the current version"
    );
    assert_eq!(propose(&mut network, oldest, 1), Outcome::Chosen);
    for (version, content) in [(15, 200), (15, 201), (10, 200)] {
        assert_eq!(
            propose(&mut network, version, content),
            Outcome::Chosen,
            "version {version} was never chosen, or too long ago"
        );
    }
    let value =
        network.nodes[&1].proposer.committed(Register::Configuration).expect("a configuration").clone();
    assert_eq!((value.revision, value.recent_versions.len()), (newest + 1, MAX_RECENT_VERSIONS));
    assert_eq!(value.value, format!("text {MAX_RECENT_VERSIONS}"));
}

/// A single operator begins an evacuation, retries at other nodes until that is acknowledged, and then ends
/// it in the same way. No late message of an earlier attempt may restore the evacuation.
#[test]
fn a_late_evacuation_start_never_undoes_its_end() {
    bolero::check!()
        .with_iterations(120)
        .with_shrink_time(SHRINK_TIME)
        .with_type::<(u64, Vec<(u8, u8, u8)>)>()
        .for_each(|(seed, faults)| {
            let mut network = SimulatedNetwork::new(*seed, 3, 5);
            network.run(0.5);
            (network.loss_rate, network.duplicate_rate) = (0.15, 0.2);
            (network.sync_seconds, network.step_seconds) = (0.01, 0.005);
            let mut faults = faults.iter().take(12);
            let mut token = 0;
            let mut calls = 0;
            for on in [true, false] {
                loop {
                    (token, calls) = (token + 1, calls + 1);
                    inject_evacuation_fault(&mut network, faults.next());
                    call_evacuation(&mut network, token, on);
                    assert!(calls < 60, "never acknowledged");
                    if network.outcome(token) == Some(Outcome::Chosen) {
                        break;
                    }
                }
            }
            network.partitioned.clear();
            network.frozen_until.clear();
            network.run(4.0);
            for control_node in network.nodes.values() {
                let value = control_node.proposer.committed(Register::Evacuations).expect("a set of zones");
                assert!(decode_evacuated_zones(&value.value).is_empty(), "the evacuation was restored");
            }
        });
}

/// Injects a fault into the network, or heals it if the schedule has no further fault.
fn inject_evacuation_fault(network: &mut SimulatedNetwork, fault: Option<&(u8, u8, u8)>) {
    let Some(&(kind, node, length)) = fault else {
        network.partitioned.clear();
        (network.loss_rate, network.sync_seconds) = (0.0, 0.01);
        return;
    };
    let node = NodeId::from(node % 5) + 1;
    match kind % 5 {
        0 => network.partition(node, kind & 8 == 0, kind & 16 == 0),
        1 => drop(network.frozen_until.insert(node, network.now + f64::from(length) / 100.0)),
        2 => network.sync_seconds = f64::from(length) / 512.0,
        3 => network.loss_rate = f64::from(length) / 600.0,
        _ => network.partitioned.clear(),
    }
}

/// Makes a call at a random node and waits until it is answered, its connection is lost, or it times out.
fn call_evacuation(network: &mut SimulatedNetwork, token: u64, on: bool) {
    let node = 1 + network.rng.rand_range(0..5) as NodeId;
    let (since, frozen) = (network.now, !network.is_responsive(node));
    // The caller's connection may be lost at any time; the node notices that unless it is frozen.
    let connection_lost_at = since + 1.2 * network.rng.rand_float();
    if !frozen {
        network.propose_evacuation(node, token, on);
    }
    while network.outcome(token).is_none()
        && network.now < since + CALLER_TIMEOUT
        && (network.now < connection_lost_at || !network.is_responsive(node))
    {
        network.advance();
    }
    if let Some(control_node) = network.nodes.get_mut(&node) {
        control_node.proposer.withdraw(token);
    }
}

/// Regression: a proposal whose caller had disconnected was retried if it had once reached its accept phase.
#[test]
fn a_withdrawn_proposal_is_not_retried() {
    let mut network = SimulatedNetwork::new(6, 3, 4);
    network.run(0.5);
    network.propose_evacuation(4, 1, true);
    // The proposal is promised, and its accept requests are lost.
    network.accepts_lost.extend([(4, 1), (4, 2), (4, 3)]);
    while !network.last_accept_request.contains_key(&4) {
        network.advance();
    }
    network.nodes.get_mut(&4).expect("node 4").proposer.withdraw(1);
    for (token, on) in [(2, true), (3, false)] {
        network.propose_evacuation(1, token, on);
        assert_eq!(network.wait_for(token), Outcome::Chosen);
    }
    network.accepts_lost.clear();
    network.run(2.0);
    let value = network.nodes[&1].proposer.committed(Register::Evacuations).expect("a set of zones");
    assert!(decode_evacuated_zones(&value.value).is_empty(), "undone by a withdrawn proposal");
}

/// No accept request is sent after the proposal timeout, however long the node was frozen between two phases,
/// and each proposal is resolved.
#[test]
fn no_accept_request_is_sent_after_the_proposal_timeout() {
    for seed in 0..60 {
        let mut network = SimulatedNetwork::new(seed, 3, 4);
        network.run(0.5);
        network.sync_seconds = 0.04;
        let proposed_at = network.now;
        network.propose_evacuation(4, 1, true);
        network.propose_evacuation(4, 2, false);
        network.run(0.004 * (seed % 20) as f64);
        network.frozen_until.insert(4, network.now + 0.05 * (seed % 30) as f64);
        network.run(3.0);
        let last_accept = network.last_accept_request.get(&4).copied().unwrap_or(0.0);
        assert!(
            last_accept <= proposed_at + PROPOSAL_TIMEOUT,
            "seed {seed}: an accept request {} s after the proposal",
            last_accept - proposed_at
        );
        assert!(network.outcome(1).is_some() && network.outcome(2).is_some(), "seed {seed}");
    }
}

/// Regression: a proposal was rejected because of a value that only a minority had accepted, and that might
/// never be chosen.
#[test]
fn a_conflict_is_reported_only_with_a_chosen_content() {
    let mut network = SimulatedNetwork::new(7, 3, 5);
    network.run(0.5);
    // Makes a proposal whose accept requests reach only the voters `1..=reached`.
    let propose_partly = |network: &mut SimulatedNetwork, node, token, content, reached: NodeId| {
        network.accepts_lost.extend((reached + 1..=3).map(|voter| (node, voter)));
        network.propose_configuration(node, token, VERSION, content);
        assert_eq!(network.wait_for(token), Outcome::Unknown);
    };
    propose_partly(&mut network, 4, 1, 1, 1);
    network.kill(4);
    // Node 5 learns of the first content from a voter's promise, but can't get it accepted.
    network.partitioned.insert((3, 5));
    propose_partly(&mut network, 5, 2, 2, 0);
    network.partitioned.clear();
    network.accepts_lost.clear();
    network.partition(1, true, true);
    network.propose_configuration(5, 3, VERSION, 2);
    assert_eq!(network.wait_for(3), Outcome::Chosen, "no chosen content conflicts");
    network.partitioned.clear();
    network.propose_configuration(3, 4, VERSION, 1);
    assert_eq!(network.wait_for(4), Outcome::VersionConflict(digest_of(VERSION, 2)));
}

/// Regression: a proposal was acknowledged after two accepted replies, the first from a voter that had lost
/// its disk and restarted before the second voter accepted. The proposer was frozen in between, and handled
/// both replies when it resumed.
#[test]
fn accepted_replies_after_the_attempt_timed_out_are_not_counted() {
    for (resumed_after, acknowledged) in [(0.5, true), (3.0, false)] {
        let mut proposer = Proposer::new(9, 1);
        proposer.set_voter_set(0.0, &VoterSet::initial(&[1, 2, 3]));
        let change = Change::Configuration { version: VERSION, digest: [1; 16], text: "text".into() };
        proposer.propose(1.0, change, 1);
        let first_sent = |effects: Vec<Effect>| {
            effects.into_iter().find_map(|effect| match effect {
                Effect::Send(_, Message::Consensus(_, message)) => Some(message),
                _ => None,
            })
        };
        let Some(ConsensusMessage::Prepare(register, proposal)) = first_sent(proposer.tick(1.36)) else {
            panic!("no second attempt")
        };
        let promise = ConsensusMessage::Promise(register, proposal, None);
        let accepted = ConsensusMessage::Accepted(register, proposal);
        proposer.step(1.4, 1, &promise);
        let request = first_sent(proposer.step(1.4, 2, &promise));
        assert!(matches!(request, Some(ConsensusMessage::Accept(..))));
        proposer.step(1.4, 1, &accepted);
        let effects = proposer.step(1.0 + resumed_after, 2, &accepted);
        let resolved =
            effects.iter().any(|effect| matches!(effect, Effect::ProposalResolved(1, Outcome::Chosen)));
        assert_eq!((resolved, proposer.committed(register).is_some()), (acknowledged, acknowledged));
    }
}
