//! No message is sent before the write that it depends on is durable.

use super::simulated_cluster::{NODES, SimulatedDisk, advance, run, running_node};
use archlink_messages::{AcceptedValue, ConsensusMessage, Message, ProposalNumber, Register};
use tokio::sync::mpsc;

/// A change that the disk's queue had no room for is written before any later message is sent. The failure was a voter with a
/// full queue that had accepted a value only in memory and reported it in its next reply, so that a quorum could be counted
/// for a value that is on no disk.
#[test]
fn no_message_reports_what_the_disk_did_not_accept() {
    run(async {
        let disk = SimulatedDisk::default();
        let node = running_node(NODES[0], disk.clone());
        let (sender, mut messages) = mpsc::channel(256);
        node.links.borrow_mut().insert(NODES[1], sender);
        let proposal = ProposalNumber { round: 5, node: NODES[1], nonce: 1 };
        let accepted =
            AcceptedValue { proposal, revision: 3, value: "east".into(), recent_versions: Vec::new() };
        let receive = |message| node.receive(NODES[1], Message::Consensus(1, message));
        let on_disk = |register| disk.state().acceptors.get(&register).cloned();
        disk.set_full(true);
        receive(ConsensusMessage::Accept(Register::Evacuations, accepted));
        let next = ProposalNumber { round: 6, ..proposal };
        receive(ConsensusMessage::Prepare(Register::Configuration, next));
        disk.set_full(false);
        receive(ConsensusMessage::ReadRequest(1));
        advance(0.01).await;
        let mut reported = ProposalNumber::default();
        while let Ok(message) = messages.try_recv() {
            match message {
                Message::Consensus(_, ConsensusMessage::ReadReply(1, proposals)) => reported = proposals[1].1,
                Message::Consensus(_, ConsensusMessage::Accepted(..) | ConsensusMessage::Promise(..)) => {
                    panic!("{message:?} was sent before its write was durable")
                }
                _ => {}
            }
        }
        assert_eq!(reported, proposal);
        let written =
            on_disk(Register::Evacuations).and_then(|acceptor| acceptor.accepted).map(|value| value.proposal);
        assert_eq!(written, Some(proposal), "the proposal was reported but is not on disk");
        // Without a further message the next tick writes the backlog.
        disk.set_full(true);
        receive(ConsensusMessage::Prepare(Register::Configuration, ProposalNumber { round: 7, ..proposal }));
        disk.set_full(false);
        advance(0.1).await;
        let promised = on_disk(Register::Configuration).map(|acceptor| acceptor.promised.round);
        assert_eq!(promised, Some(7));
    });
}
