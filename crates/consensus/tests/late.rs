//! Words that come very late, and a disk that is lost meanwhile: stories that the models found, each with the very cores and
//! nothing else, so that the order of words is the test's.

use archlink_consensus::helm::{Change, Helm};
use archlink_consensus::voter::Voter;
use archlink_consensus::{Act, Outcome};
use archlink_messages::{Ballot, Held, Muster, Node, Poll, Register, Slot, Word};
use bytes::Bytes;
use std::collections::BTreeMap;

const R: Register = Register::Chart;

fn muster() -> Muster {
    Muster::first(&[1, 2, 3])
}

fn polls(acts: &[Act]) -> Vec<Poll> {
    let word = |word: &Word| if let Word::Poll(_, poll) = word { vec![poll.clone()] } else { Vec::new() };
    let of = |act: &Act| match act {
        Act::Send(_, sent) => word(sent),
        Act::Store(_, then) => then.iter().flat_map(|(_, sent)| word(sent)).collect(),
        _ => Vec::new(),
    };
    acts.iter().flat_map(of).collect()
}

fn ballot(round: u64, node: Node) -> Ballot {
    Ballot { round, node, nonce: 7 }
}

fn held(ballot: Ballot, text: &'static str) -> Held {
    Held { ballot, stamp: 8, value: Bytes::from(text), marks: Vec::new() }
}

fn voter(node: Node, slots: Option<BTreeMap<Register, Slot>>) -> Voter {
    let mut voter = Voter::new(0.0, node, slots);
    voter.set_muster(&muster());
    voter
}

/// Guards against an order that is acknowledged on a disk that is gone: one voter took it, lost its disk and read from the
/// others, and only then the second took it; a writer that stood still meanwhile counted both.
#[test]
fn what_was_accepted_counts_only_while_its_attempt_lives() {
    let mut helm = Helm::new(4, 1);
    helm.set_muster(0.0, &muster());
    let change = Change::Chart { version: 7, digest: [1; 16], text: Bytes::from("text") };
    let Some(Poll::Prepare(_, ballot)) = polls(&helm.propose(0.0, change, 1)).first().cloned() else {
        panic!("an attempt begins with a question")
    };
    for node in [1, 2] {
        helm.hear(0.05, node, &Poll::Promise(R, ballot, None));
    }
    helm.hear(0.1, 1, &Poll::Accepted(R, ballot));
    // No tick: the process stood still, and the words that came are heard first.
    let acts = helm.hear(5.0, 2, &Poll::Accepted(R, ballot));
    let chosen = |act: &Act| matches!(act, Act::Learned(_) | Act::Done(_, Outcome::Chosen));
    assert!(!acts.iter().any(chosen), "{acts:?}");
}

/// Guards against two chosen values: voter 1 promised a later attempt, forgot that with its disk, took over an earlier value
/// from voter 2 and named it as held; with voter 2 that is a majority. The later attempt's words, held up on the way, were
/// accepted by a majority all the same.
#[test]
fn what_an_emptied_voter_read_is_not_counted_against_what_it_had_promised() {
    let (early, late) = (ballot(1, 4), ballot(2, 3));
    let (mut two, mut three) = (voter(2, Some(BTreeMap::new())), voter(3, Some(BTreeMap::new())));
    // The early attempt is accepted by voter 2 alone, and given up. The late one has promises of voter 1, whose disk is lost
    // right after, and of voter 3: nobody holds anything, so it is free to choose, and its words are on their way.
    two.hear(4, &Poll::Prepare(R, early));
    two.hear(4, &Poll::Accept(R, held(early, "early")));
    three.hear(3, &Poll::Prepare(R, late));
    let mut one = voter(1, None);
    let mut asked = Vec::new();
    for n in 0..100 {
        asked.extend(one.tick(f64::from(n) * 0.05));
    }
    let Some(Poll::Recall(serial)) = polls(&asked).last().cloned() else { panic!("it asks") };
    for (node, teller) in [(2, &two), (3, &three)] {
        one.hear(node, &Poll::Recalled(serial, teller.slots(), Vec::new()));
    }
    let names = |voter: &mut Voter, ballot| {
        let answers = polls(&voter.hear(4, &Poll::Ask(1)));
        answers.iter().any(|p| matches!(p, Poll::Answer(_, held) if held.contains(&(R, ballot))))
    };
    let early_chosen = names(&mut one, early) && names(&mut two, early);
    one.hear(3, &Poll::Accept(R, held(late, "late")));
    three.hear(3, &Poll::Accept(R, held(late, "late")));
    let late_chosen = names(&mut one, late) && names(&mut three, late);
    assert!(!(early_chosen && late_chosen), "both are taken for chosen");
}
