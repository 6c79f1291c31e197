//! Voters that lost their disk: the state transfer that recovers them, also during membership changes.

use crate::{REPLACE, agreed_voter_set, check_cluster, started_fleet};
use archlink_consensus::{Effect, MembershipChange};
use archlink_messages::{AcceptorState, ConsensusMessage, Message, REGISTERS, Register};
use archlink_simulation::Fleet;

/// Regression: a voter repeated its state transfer request every 0.25 s and discarded the replies received so
/// far, so that it never recovered if the other disks took longer than that. Checked also during a membership
/// change, and with a new configuration every 0.2 s.
#[test]
fn a_voter_with_a_lost_disk_recovers_among_slow_disks_within_four_seconds() {
    for seed in 0..10 {
        let mut fleet = started_fleet(seed);
        (1..=4).for_each(|node| fleet.set_sync(node, 0.45));
        fleet.power_off(1, true);
        fleet.start(1, false);
        if seed % 2 == 1 {
            fleet.change_membership(2, 2, REPLACE);
        }
        for n in 0..20 {
            fleet.replace(3, 10 + n, 8 + n);
            fleet.run(0.2);
        }
        assert!(fleet.live[&1].acceptor.is_recovered(), "seed {seed}");
    }
}

/// Regression: a voter and an incoming voter that had both lost their disks waited for each other, since each
/// belonged to the quorum of the incoming voters that the other one needed.
#[test]
fn a_voter_and_an_incoming_voter_with_lost_disks_do_not_wait_for_each_other() {
    for seed in 0..10 {
        let mut fleet = started_fleet(seed);
        fleet.kill(4, true);
        fleet.start(4, false);
        fleet.run(0.3 * seed as f64);
        fleet.kill(1, true);
        fleet.start(1, false);
        fleet.run(0.3);
        fleet.change_membership(3, 2, MembershipChange::Replace { old: 2, new: 4 });
        fleet.run(8.0);
        let context = format!("seed {seed}");
        assert_eq!(agreed_voter_set(&fleet, &context).voters, [1, 3, 4], "{context}");
        check_cluster(&mut fleet, &context);
    }
}

/// Restarts node 1 without its disk. Returns the serial of the state transfer request that it sends to node
/// 2.
fn lose_disk_and_request_transfer(fleet: &mut Fleet) -> u64 {
    fleet.kill(1, true);
    fleet.start(1, false);
    fleet.run(0.1);
    let now = fleet.clock(1) + 3.0;
    let effects = fleet.live.get_mut(&1).unwrap().tick(now);
    let serial = effects.into_iter().find_map(|effect| match effect {
        Effect::Send(2, Message::Consensus(_, ConsensusMessage::StateTransferRequest(serial))) => {
            Some(serial)
        }
        _ => None,
    });
    serial.expect("a state transfer request")
}

/// Regression: serials of state transfer requests began at the same number in each incarnation. A reply to
/// the request of an earlier incarnation, delayed by a hanging disk, carries acceptor states from before that
/// incarnation recovered and made further promises.
#[test]
fn a_transfer_reply_to_an_earlier_incarnation_is_ignored() {
    let mut fleet = started_fleet(1);
    let first = lose_disk_and_request_transfer(&mut fleet);
    let second = lose_disk_and_request_transfer(&mut fleet);
    let empty = REGISTERS.map(|register| (register, AcceptorState::default())).to_vec();
    for (serial, is_recovered) in [(first, false), (second, true)] {
        for from in [2, 3] {
            let reply = ConsensusMessage::StateTransferReply(serial, empty.clone(), Vec::new());
            let reply = Message::Consensus(1, reply);
            fleet.step(1, |control_node, now| control_node.step(now, from, reply));
        }
        assert_eq!(fleet.live[&1].acceptor.is_recovered(), is_recovered);
    }
}

/// After a lost disk, no voter set is stored until the acceptor states are stored as well, whatever the node
/// receives and whenever it is killed.
#[test]
fn a_lost_disk_has_no_voter_set_until_the_acceptor_is_recovered() {
    for seed in 0..10 {
        let mut fleet = started_fleet(seed);
        fleet.power_off(1, true);
        for _ in 0..3 {
            fleet.start(1, false);
            fleet.change_membership(2, 2 + seed, REPLACE);
            fleet.run(1.0 + 0.1 * seed as f64);
            let is_known = fleet.disks[&1].durable.voter_set.is_known();
            let is_recovered = fleet.live[&1].acceptor.is_recovered();
            assert!(!is_known && !is_recovered, "seed {seed}");
            fleet.kill(1, false);
        }
        fleet.start(1, false);
        fleet.run(14.0);
        let durable = &fleet.disks[&1].durable;
        assert!(durable.voter_set.is_known(), "seed {seed}");
        assert!(durable.acceptors[&Register::Configuration].accepted.is_some(), "seed {seed}");
    }
}
