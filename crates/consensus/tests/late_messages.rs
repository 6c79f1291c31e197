//! Very late messages combined with a lost disk: sequences that the model checker found, each replayed on the
//! state machines alone, so that the test controls the order of messages.

use archlink_consensus::acceptor::Acceptor;
use archlink_consensus::proposer::{Change, Proposer};
use archlink_consensus::{Effect, Outcome};
use archlink_messages::{
    AcceptedValue, AcceptorState, ConsensusMessage, Message, NodeId, ProposalNumber, Register, VoterSet,
};
use bytes::Bytes;
use std::collections::BTreeMap;

const REGISTER: Register = Register::Configuration;

fn voter_set() -> VoterSet {
    VoterSet::initial(&[1, 2, 3])
}

fn consensus_messages(effects: &[Effect]) -> Vec<ConsensusMessage> {
    let consensus_message = |message: &Message| match message {
        Message::Consensus(_, message) => Some(message.clone()),
        _ => None,
    };
    let messages_of = |effect: &Effect| match effect {
        Effect::Send(_, message) => consensus_message(message).into_iter().collect(),
        Effect::Store(_, messages) => {
            messages.iter().filter_map(|(_, message)| consensus_message(message)).collect()
        }
        _ => Vec::new(),
    };
    effects.iter().flat_map(messages_of).collect()
}

fn proposal(round: u64, node: NodeId) -> ProposalNumber {
    ProposalNumber { round, node, nonce: 7 }
}

fn accepted_value(proposal: ProposalNumber, text: &'static str) -> AcceptedValue {
    AcceptedValue { proposal, revision: 8, value: Bytes::from(text), recent_versions: Vec::new() }
}

fn acceptor(node: NodeId, registers: Option<BTreeMap<Register, AcceptorState>>) -> Acceptor {
    let mut acceptor = Acceptor::new(0.0, node, registers);
    acceptor.set_voter_set(&voter_set());
    acceptor
}

/// Guards against a change that is acknowledged although a disk with it is lost. One voter accepted it, lost
/// its disk and copied the state of the others before the second voter accepted it; a proposer that was
/// suspended meanwhile counted both.
#[test]
fn acceptances_count_only_until_the_proposal_times_out() {
    let mut proposer = Proposer::new(4, 1);
    proposer.set_voter_set(0.0, &voter_set());
    let change = Change::Configuration { version: 7, digest: [1; 16], text: Bytes::from("text") };
    let Some(ConsensusMessage::Prepare(_, proposal)) =
        consensus_messages(&proposer.propose(0.0, change, 1)).first().cloned()
    else {
        panic!("a proposal begins with a prepare request")
    };
    for node in [1, 2] {
        proposer.step(0.05, node, &ConsensusMessage::Promise(REGISTER, proposal, None));
    }
    proposer.step(0.1, 1, &ConsensusMessage::Accepted(REGISTER, proposal));
    // No tick: the process was suspended, and handles the messages that had arrived before its timers.
    let effects = proposer.step(5.0, 2, &ConsensusMessage::Accepted(REGISTER, proposal));
    let chosen =
        |effect: &Effect| matches!(effect, Effect::Learned(_) | Effect::ProposalResolved(_, Outcome::Chosen));
    assert!(!effects.iter().any(chosen), "{effects:?}");
}

/// Guards against two chosen values. Voter 1 promised a later proposal, forgot that with its disk, copied an
/// earlier value from voter 2 and reported it as accepted; with voter 2 that is a majority. The delayed
/// messages of the later proposal were then accepted by a majority all the same.
#[test]
fn a_value_copied_after_a_lost_disk_does_not_count_against_a_forgotten_promise() {
    let (early, late) = (proposal(1, 4), proposal(2, 3));
    let (mut second, mut third) = (acceptor(2, Some(BTreeMap::new())), acceptor(3, Some(BTreeMap::new())));
    // The early proposal is accepted by voter 2 alone, and abandoned. The late one has promises from voter 1,
    // whose disk is lost right after, and from voter 3. Neither has accepted anything, so it may propose any
    // value, and its messages are in flight.
    second.step(4, &ConsensusMessage::Prepare(REGISTER, early));
    second.step(4, &ConsensusMessage::Accept(REGISTER, accepted_value(early, "early")));
    third.step(3, &ConsensusMessage::Prepare(REGISTER, late));
    let mut first = acceptor(1, None);
    let mut requests = Vec::new();
    for step in 0..100 {
        requests.extend(first.tick(f64::from(step) * 0.05));
    }
    let Some(ConsensusMessage::StateTransferRequest(serial)) = consensus_messages(&requests).last().cloned()
    else {
        panic!("no state transfer request")
    };
    for (node, sender) in [(2, &second), (3, &third)] {
        let reply = ConsensusMessage::StateTransferReply(serial, sender.registers(), Vec::new());
        first.step(node, &reply);
    }
    let reports = |acceptor: &mut Acceptor, proposal| {
        let replies = consensus_messages(&acceptor.step(4, &ConsensusMessage::ReadRequest(1)));
        replies.iter().any(|reply| match reply {
            ConsensusMessage::ReadReply(_, proposals) => proposals.contains(&(REGISTER, proposal)),
            _ => false,
        })
    };
    let early_chosen = reports(&mut first, early) && reports(&mut second, early);
    first.step(3, &ConsensusMessage::Accept(REGISTER, accepted_value(late, "late")));
    third.step(3, &ConsensusMessage::Accept(REGISTER, accepted_value(late, "late")));
    let late_chosen = reports(&mut first, late) && reports(&mut third, late);
    assert!(!(early_chosen && late_chosen), "both values count as chosen");
}
