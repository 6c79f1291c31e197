//! Proposals and quorum reads with slow disks, and with a voter that loses its disk between two replies.

use crate::started_fleet;
use archlink_consensus::proposer::{Change, Proposer};
use archlink_consensus::{Effect, Outcome};
use archlink_messages::{AcceptedValue, ConsensusMessage, Message, ProposalNumber, Register, VoterSet};

/// Regression: with slow disks, proposals were retried forever. A whole attempt had as much time as each of
/// its phases has now, which was too short for a sync of 0.2 s on each side.
#[test]
fn proposals_commit_when_every_sync_takes_0_3_s() {
    for seed in 0..5 {
        let mut fleet = started_fleet(seed);
        (1..=4).for_each(|node| fleet.set_sync(node, 0.3));
        fleet.run(2.0);
        fleet.replace(3, 10, 8);
        fleet.run(1.0);
        assert_eq!(fleet.done.get(&10), Some(&Outcome::Chosen), "seed {seed}");
    }
}

/// Regression: a proposer that resumed after a freeze counted the reply of a voter that had since lost its
/// disk and restarted: the proposal was acknowledged while it was on one disk only.
#[test]
fn a_proposer_that_was_frozen_counts_no_earlier_reply() {
    let mut proposer = Proposer::new(4, 1);
    proposer.set_voter_set(0.0, &VoterSet::initial(&[1, 2, 3]));
    let effects = proposer.propose(0.0, Change::Evacuation { zone: "a".into(), on: true }, 1);
    let proposal = effects.iter().find_map(|effect| match effect {
        Effect::Send(_, Message::Consensus(_, ConsensusMessage::Prepare(_, proposal))) => Some(*proposal),
        _ => None,
    });
    let proposal = proposal.expect("a prepare request");
    for node in [1, 2] {
        proposer.step(0.1, node, &ConsensusMessage::Promise(Register::Evacuations, proposal, None));
    }
    let accepted = ConsensusMessage::Accepted(Register::Evacuations, proposal);
    proposer.step(0.2, 1, &accepted);
    let effects = proposer.step(9.0, 2, &accepted);
    assert!(
        !effects.iter().any(|effect| matches!(effect, Effect::ProposalResolved(_, Outcome::Chosen))),
        "{effects:?}"
    );
}

/// Regression: an early reply and a later one were counted as a quorum. The voter of the early reply had
/// since lost its disk, and had recovered from the others before the second of them accepted the value in the
/// reply.
#[test]
fn a_read_reply_from_before_a_disk_was_lost_is_not_counted_with_later_ones() {
    let mut proposer = Proposer::new(4, 1);
    proposer.set_voter_set(0.0, &VoterSet::initial(&[1, 2, 3]));
    let value = AcceptedValue {
        proposal: ProposalNumber { round: 5, node: 3, nonce: 1 },
        revision: 2,
        ..AcceptedValue::default()
    };
    let accepted = [(Register::Configuration, value.proposal)];
    for (node, now) in [(1, 0.1), (2, 3.0)] {
        let serial = proposer.tick(now).into_iter().find_map(|effect| match effect {
            Effect::Send(_, Message::Consensus(_, ConsensusMessage::ReadRequest(serial))) => Some(serial),
            _ => None,
        });
        let serial = serial.expect("a read request");
        proposer.step(now, node, &ConsensusMessage::ReadReply(serial, accepted.to_vec()));
    }
    proposer.step(3.0, 2, &ConsensusMessage::FetchedValue(Register::Configuration, value));
    assert_eq!(proposer.committed(Register::Configuration), None);
}
