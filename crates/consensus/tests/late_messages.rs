//! Words that come very late, and a disk that is lost meanwhile: stories that the models found, each with the very cores and
//! nothing else, so that the order of words is the test's.

use archlink_consensus::acceptor::Acceptor;
use archlink_consensus::proposer::{Change, Proposer};
use archlink_consensus::{Effect, Outcome};
use archlink_messages::{
    AcceptedValue, AcceptorState, ConsensusMessage, Message, NodeId, ProposalNumber, Register, VoterSet,
};
use bytes::Bytes;
use std::collections::BTreeMap;

const R: Register = Register::Configuration;

fn voter_set() -> VoterSet {
    VoterSet::initial(&[1, 2, 3])
}

fn polls(effects: &[Effect]) -> Vec<ConsensusMessage> {
    let word =
        |word: &Message| if let Message::Consensus(_, poll) = word { vec![poll.clone()] } else { Vec::new() };
    let of = |effect: &Effect| match effect {
        Effect::Send(_, sent) => word(sent),
        Effect::Store(_, then) => then.iter().flat_map(|(_, sent)| word(sent)).collect(),
        _ => Vec::new(),
    };
    effects.iter().flat_map(of).collect()
}

fn proposal(round: u64, node: NodeId) -> ProposalNumber {
    ProposalNumber { round, node, nonce: 7 }
}

fn held(proposal: ProposalNumber, text: &'static str) -> AcceptedValue {
    AcceptedValue { proposal, revision: 8, value: Bytes::from(text), recent_versions: Vec::new() }
}

fn voter(node: NodeId, slots: Option<BTreeMap<Register, AcceptorState>>) -> Acceptor {
    let mut voter = Acceptor::new(0.0, node, slots);
    voter.set_voter_set(&voter_set());
    voter
}

/// Guards against an order that is acknowledged on a disk that is gone: one voter took it, lost its disk and read from the
/// others, and only then the second took it; a writer that stood still meanwhile counted both.
#[test]
fn what_was_accepted_counts_only_while_its_attempt_lives() {
    let mut proposer = Proposer::new(4, 1);
    proposer.set_voter_set(0.0, &voter_set());
    let change = Change::Configuration { version: 7, digest: [1; 16], text: Bytes::from("text") };
    let Some(ConsensusMessage::Prepare(_, proposal)) =
        polls(&proposer.propose(0.0, change, 1)).first().cloned()
    else {
        panic!("an attempt begins with a question")
    };
    for node in [1, 2] {
        proposer.step(0.05, node, &ConsensusMessage::Promise(R, proposal, None));
    }
    proposer.step(0.1, 1, &ConsensusMessage::Accepted(R, proposal));
    // No tick: the process stood still, and the words that came are heard first.
    let effects = proposer.step(5.0, 2, &ConsensusMessage::Accepted(R, proposal));
    let chosen =
        |effect: &Effect| matches!(effect, Effect::Learned(_) | Effect::ProposalResolved(_, Outcome::Chosen));
    assert!(!effects.iter().any(chosen), "{effects:?}");
}

/// Guards against two chosen values: voter 1 promised a later attempt, forgot that with its disk, took over an earlier value
/// from voter 2 and named it as held; with voter 2 that is a majority. The later attempt's words, held up on the way, were
/// accepted by a majority all the same.
#[test]
fn what_an_emptied_voter_read_is_not_counted_against_what_it_had_promised() {
    let (early, late) = (proposal(1, 4), proposal(2, 3));
    let (mut two, mut three) = (voter(2, Some(BTreeMap::new())), voter(3, Some(BTreeMap::new())));
    // The early attempt is accepted by voter 2 alone, and given up. The late one has promises of voter 1, whose disk is lost
    // right after, and of voter 3: nobody holds anything, so it is free to choose, and its words are on their way.
    two.step(4, &ConsensusMessage::Prepare(R, early));
    two.step(4, &ConsensusMessage::Accept(R, held(early, "early")));
    three.step(3, &ConsensusMessage::Prepare(R, late));
    let mut one = voter(1, None);
    let mut asked = Vec::new();
    for n in 0..100 {
        asked.extend(one.tick(f64::from(n) * 0.05));
    }
    let Some(ConsensusMessage::StateTransferRequest(serial)) = polls(&asked).last().cloned() else {
        panic!("it asks")
    };
    for (node, teller) in [(2, &two), (3, &three)] {
        one.step(node, &ConsensusMessage::StateTransferReply(serial, teller.registers(), Vec::new()));
    }
    let names = |voter: &mut Acceptor, proposal| {
        let answers = polls(&voter.step(4, &ConsensusMessage::ReadRequest(1)));
        answers
            .iter()
            .any(|p| matches!(p, ConsensusMessage::ReadReply(_, held) if held.contains(&(R, proposal))))
    };
    let early_chosen = names(&mut one, early) && names(&mut two, early);
    one.step(3, &ConsensusMessage::Accept(R, held(late, "late")));
    three.step(3, &ConsensusMessage::Accept(R, held(late, "late")));
    let late_chosen = names(&mut one, late) && names(&mut three, late);
    assert!(!(early_chosen && late_chosen), "both are taken for chosen");
}
