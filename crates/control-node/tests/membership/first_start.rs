//! The first start of a cluster: the seed nodes are the first voters, and add others until there are as many
//! as required.

use crate::{agreed_voter_set, check_cluster, run_until};
use archlink_consensus::Outcome;
use archlink_messages::{NodeId, Register};
use archlink_simulation::Fleet;

/// All or some nodes are killed at any moment of the first start and restart, one of the seed nodes possibly
/// with an empty disk.
#[test]
fn a_first_start_survives_a_kill_at_any_moment() {
    bolero::check!().with_iterations(120).with_type::<(u64, u16, u8, u8)>().for_each(
        |&(seed, moment, killed, emptied)| {
            let context = format!("{seed} {moment} {killed} {emptied}");
            let mut fleet = Fleet::with_size(seed, 5, 6);
            (1..=6).for_each(|node| fleet.set_sync(node, 0.002));
            fleet.run(f64::from(moment % 3000) * 1e-3);
            let is_killed = |node: NodeId| killed & 0x40 == 0 || killed >> (node - 1) & 1 == 1;
            (1..=6).filter(|node| is_killed(*node)).for_each(|node| fleet.kill(node, false));
            if let Some(node) = (1..=3).find(|node| emptied % 6 == *node as u8) {
                fleet.kill(node, true);
            }
            (1..=6).for_each(|node| fleet.start(node, false));
            fleet.run(9.0);
            let voter_set = agreed_voter_set(&fleet, &context);
            assert!(
                voter_set.epoch > 2 && [3, 5].contains(&voter_set.voters.len()),
                "{context}: {voter_set:?}"
            );
            check_cluster(&mut fleet, &context);
        },
    );
}

/// With six machines, links of 12 ms and syncs of 2 ms, five nodes are voters within 0.6 s, and no proposal
/// is accepted before. Regression: a node that had learned of a further node in the meantime mistook its own
/// change for another node's, and waited for its turn.
#[test]
fn a_first_start_adds_voters_quickly_and_accepts_no_proposal_before() {
    for seed in 0..10 {
        let mut fleet = Fleet::with_size(seed, 5, 6);
        fleet.net.min_latency = 0.012;
        fleet.net.jitter = 0.001;
        (1..=6).for_each(|node| fleet.set_sync(node, 0.002));
        fleet.replace(1, 1, 4);
        assert_eq!(fleet.done.get(&1), Some(&Outcome::Unknown));
        let five_voters = |fleet: &Fleet| fleet.live.values().all(|node| node.voter_set().voters.len() == 5);
        assert!(run_until(&mut fleet, 0.6, five_voters));
        assert!(fleet.live.values().all(|node| node.proposer.committed(Register::Configuration).is_none()));
        fleet.run(0.1);
        check_cluster(&mut fleet, &format!("seed {seed}"));
    }
}

#[test]
fn a_first_start_completes_with_the_seed_nodes_alone() {
    let mut fleet = Fleet::with_size(3, 5, 3);
    fleet.run(4.0);
    let voter_set = agreed_voter_set(&fleet, "alone");
    assert_eq!((voter_set.epoch, voter_set.voters.len()), (3, 3));
    check_cluster(&mut fleet, "alone");
}

/// A voter set with fewer voters than required grows once other nodes have been reachable for some time.
#[test]
fn a_small_voter_set_grows_automatically() {
    let mut fleet = Fleet::with_size(2, 5, 6);
    (4..=6).for_each(|node| fleet.kill(node, false));
    fleet.run(4.0);
    assert_eq!(agreed_voter_set(&fleet, "alone").voters, [1, 2, 3]);
    fleet.replace(1, 1, 5);
    (4..=6).for_each(|node| fleet.start(node, false));
    fleet.run(40.0);
    assert_eq!(agreed_voter_set(&fleet, "grown").voters.len(), 5);
    check_cluster(&mut fleet, "grown");
}
