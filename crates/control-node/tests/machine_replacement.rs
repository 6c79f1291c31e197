//! Control machines that are gone for good, with a successor under another address and an empty disk, and the next loss in the
//! very moment when the operators stop counting the one before. Each schedule is played once more with a `CatchUp` of 1000 s,
//! as if a silent seat were given away after 300 s: the planted fault, which is found.

use archlink_consensus::Outcome;
use archlink_control_node::node::ControlNodeState;
use archlink_messages::{NodeId, Register, SingletonRole, VoterSet};
use archlink_simulation::Fleet;
use std::collections::BTreeSet;

const CATCH_UP: f64 = 4.0;
/// Longer than any test: no silent seat is given away.
const NEVER: f64 = 1000.0;
const FIRST_ORDER: u64 = 1;
/// After the last loss, until everything has to be right again, in seconds.
const RECOVERY: f64 = 8.0;

fn fleet(seed: u64, (needed, size): (usize, NodeId), catch_up: f64) -> Fleet {
    let mut fleet = Fleet::empty(seed, needed, size);
    fleet.catch_up = catch_up;
    (1..=size).for_each(|node| fleet.start(node, true));
    fleet.run(2.0);
    fleet.replace(2, FIRST_ORDER, 7);
    fleet.run(1.0);
    assert_eq!(fleet.done.get(&FIRST_ORDER), Some(&Outcome::Chosen), "seed {seed}");
    fleet
}

/// Links of 12 ms each way, and syncs of that long on every disk.
fn far_and_slow(fleet: &mut Fleet, sync: f64) {
    (fleet.net.least, fleet.net.spread) = (0.012, 0.002);
    let nodes: Vec<NodeId> = fleet.nodes().collect();
    nodes.into_iter().for_each(|node| fleet.set_sync(node, sync));
}

/// The set that the newest epoch names, as far as anybody who is there knows.
fn newest(fleet: &Fleet) -> VoterSet {
    fleet
        .live
        .values()
        .map(ControlNodeState::voter_set)
        .max_by_key(|voter_set| voter_set.epoch)
        .unwrap()
        .clone()
}

/// Does an order come through at every gateway that is there, with all that was acknowledged before?
fn serves(fleet: &mut Fleet) -> bool {
    let nodes: Vec<NodeId> = fleet.live.keys().copied().collect();
    nodes.into_iter().all(|node| {
        let (token, acknowledged) = (1_000_000 + fleet.steps, fleet.checks.acknowledged());
        let held = fleet.live[&node].proposer.chosen(Register::Configuration).map_or(0, |held| held.revision);
        fleet.replace(node, token, 1000 + fleet.now as u64 * 100 + u64::from(node));
        fleet.run(1.0);
        held >= acknowledged && fleet.done.get(&token) == Some(&Outcome::Chosen)
    })
}

/// One machine's end, its successor's start, and the moment from which on the next loss is allowed.
#[derive(Clone, Copy, Debug)]
struct Replaced {
    old: NodeId,
    new: NodeId,
    /// Seconds between the two.
    gap: f64,
    /// The new one starts first, and the old one is told to end.
    planned: bool,
}

impl Replaced {
    fn play(&self, fleet: &mut Fleet) {
        if self.planned {
            fleet.join(self.new);
            let allowed = fleet.now + CATCH_UP;
            fleet.run(self.gap);
            end_in_order(fleet, self.old);
            let left = allowed - fleet.now;
            fleet.run(left.max(0.0));
        } else {
            fleet.kill(self.old, true);
            fleet.run(self.gap);
            fleet.join(self.new);
            fleet.run(CATCH_UP);
        }
    }
}

/// As the program does on SIGTERM, within 5.1 s: the seat goes to another one first, if there is one.
fn end_in_order(fleet: &mut Fleet, node: NodeId) {
    fleet.step(node, |control, now| control.leave(now));
    let until = fleet.now + 5.1;
    fleet.run(0.5);
    while fleet.now < until && !fleet.live[&node].may_shut_down(fleet.clock(node)) {
        fleet.run(0.05);
    }
    fleet.kill(node, true);
}

fn wiped_and_back(fleet: &mut Fleet, node: NodeId) {
    fleet.power_off(node, true);
    fleet.run(1.2);
    fleet.start(node, false);
}

/// A machine is replaced, and each of the others that votes then loses its disk as soon as that is allowed.
fn replaced_then_wiped(seed: u64, replaced: Replaced, sync: f64, catch_up: f64) -> bool {
    (0..3).all(|n| {
        let mut fleet = fleet(seed, (3, 4), catch_up);
        far_and_slow(&mut fleet, sync);
        replaced.play(&mut fleet);
        let Some(&victim) =
            newest(&fleet).all_voters().iter().filter(|node| fleet.live.contains_key(node)).nth(n)
        else {
            return true;
        };
        // What the slow disks have not done by now is not done in time.
        far_and_slow(&mut fleet, 0.002);
        wiped_and_back(&mut fleet, victim);
        fleet.run(RECOVERY);
        serves(&mut fleet)
    })
}

#[test]
fn a_replaced_voter_and_the_next_lost_disk_are_borne() {
    for seed in 0..3 {
        for (gap, planned) in [(0.5, false), (1.0, false), (5.0, false), (1.0, true), (5.0, true)] {
            let replaced = Replaced { old: 1 + seed as NodeId % 3, new: 5, gap, planned };
            for sync in [0.002, 0.2] {
                assert!(replaced_then_wiped(seed, replaced, sync, CATCH_UP), "{seed} {replaced:?} {sync}");
            }
        }
    }
    let replaced = Replaced { old: 1, new: 5, gap: 0.5, planned: false };
    assert!(!replaced_then_wiped(1, replaced, 0.002, NEVER), "the planted fault goes unseen");
}

/// Three machines, all of which vote: nobody is there to take a seat before the successor comes.
#[test]
fn without_a_spare_the_successor_takes_the_seat_in_time() {
    let bears = |seed: u64, gap: f64, sync: f64, catch_up: f64| {
        let mut fleet = fleet(seed, (3, 3), catch_up);
        far_and_slow(&mut fleet, sync);
        Replaced { old: 2, new: 4, gap, planned: false }.play(&mut fleet);
        far_and_slow(&mut fleet, 0.002);
        wiped_and_back(&mut fleet, 1);
        fleet.run(RECOVERY);
        serves(&mut fleet)
    };
    for seed in 0..10 {
        for gap in [0.5, 1.0, 5.0] {
            assert!(bears(seed, gap, 0.002, CATCH_UP), "seed {seed}, gap {gap}");
            assert!(bears(seed, gap, 0.1, CATCH_UP), "seed {seed}, gap {gap}, slow disks");
        }
    }
    assert!(!bears(1, 0.5, 0.002, NEVER), "the planted fault goes unseen");
}

/// Two are replaced within a second, two disks hang for two seconds as the successors have just come, all are killed.
fn replaced_twice(seed: u64, catch_up: f64) -> bool {
    let mut fleet = fleet(seed, (3, 4), catch_up);
    fleet.kill(1, true);
    fleet.run(0.94);
    fleet.join(6);
    fleet.run(1.0);
    // The planted fault ends without handing its seat over.
    if catch_up == NEVER {
        fleet.kill(2, true)
    } else {
        end_in_order(&mut fleet, 2)
    };
    fleet.run(2.5);
    fleet.join(5);
    fleet.run(1.0);
    let seats = newest(&fleet).voters;
    seats.iter().take(2).for_each(|&node| fleet.hang(node, 1.9));
    fleet.run(1.9 + CATCH_UP);
    let nodes: Vec<NodeId> = fleet.live.keys().copied().collect();
    nodes.iter().for_each(|&node| fleet.kill(node, false));
    fleet.run(1.2);
    nodes.iter().for_each(|&node| fleet.start(node, false));
    fleet.run(RECOVERY);
    serves(&mut fleet)
}

#[test]
fn two_replaced_within_a_second_full_disks_and_a_kill_of_all_are_borne() {
    (0..10).for_each(|seed| assert!(replaced_twice(seed, CATCH_UP), "seed {seed}"));
    assert!(!replaced_twice(1, NEVER), "the planted fault goes unseen");
}

/// Five of six vote: two go for good at once, and two more lose their disks once that is allowed.
#[test]
fn two_of_five_replaced_and_the_next_two_lost_disks_are_borne() {
    const LONGER: f64 = 6.0;
    let bears = |seed: u64, catch_up: f64| {
        let mut fleet = fleet(seed, (5, 6), catch_up);
        far_and_slow(&mut fleet, 0.02);
        let seats = newest(&fleet).voters;
        let gone = [seats[seed as usize % 5], seats[(seed as usize + 1 + seed as usize / 5) % 5]];
        gone.iter().for_each(|&node| fleet.kill(node, true));
        fleet.run(0.5);
        [7, 8].iter().for_each(|&node| fleet.join(node));
        fleet.run(LONGER);
        let left: Vec<NodeId> =
            newest(&fleet).voters.into_iter().filter(|node| fleet.live.contains_key(node)).collect();
        left.iter().take(2).for_each(|&node| fleet.power_off(node, true));
        fleet.run(1.2);
        left.iter().take(2).for_each(|&node| fleet.start(node, false));
        fleet.run(RECOVERY);
        serves(&mut fleet)
    };
    (0..15).for_each(|seed| assert!(bears(seed, LONGER), "seed {seed}"));
    assert!(!bears(1, NEVER), "the planted fault goes unseen");
}

/// Every machine is replaced, one after the other, as soon as that is allowed; one that was cut off all the while, and one that
/// was down, find the set that stands, and with each other they are no majority.
#[test]
fn all_are_replaced_one_after_the_other_and_who_was_away_finds_the_set() {
    for seed in 0..6 {
        let mut fleet = fleet(seed, (3, 4), CATCH_UP);
        fleet.kill(3, false);
        fleet.run(CATCH_UP);
        for other in fleet.nodes() {
            fleet.cut(2, other);
            fleet.cut(other, 2);
        }
        fleet.run(CATCH_UP);
        // Of the first four, 1 and 4 are left, and with them successors in turn.
        for (old, new) in [(1, 5), (4, 6), (5, 7), (6, 8)] {
            if new == 5 {
                [5, 6].iter().for_each(|&node| fleet.join(node));
                fleet.run(CATCH_UP);
            }
            fleet.kill(old, true);
            fleet.run(0.5);
            fleet.join(new + 2);
            fleet.run(CATCH_UP);
            assert!(serves(&mut fleet) || !fleet.live.contains_key(&2), "seed {seed}: {old} is replaced");
        }
    }
}

/// A voter that stands still for a moment, again and again: its seat goes to another one once, and no more changes follow.
#[test]
fn one_that_comes_and_goes_loses_its_seat_once() {
    let mut changes = Vec::new();
    for seed in 0..6 {
        let mut fleet = fleet(seed, (3, 4), CATCH_UP);
        let before = newest(&fleet).epoch;
        for _ in 0..12 {
            fleet.freeze(2, 2.0);
            fleet.run(5.0);
        }
        changes.push((newest(&fleet).epoch - before) / 2);
        assert!(serves(&mut fleet), "seed {seed}");
    }
    assert!(changes.iter().all(|&changes| changes == 1), "changes in a minute: {changes:?}");
}

/// All are told to end and start again one after the other, as on a rolled day: one seat passes on for each that has one, the
/// registers and the duties stay, and an order comes through at any moment.
#[test]
fn a_roll_hands_each_seat_over_once_and_orders_come_through() {
    for seed in 0..6 {
        let mut fleet = fleet(seed, (3, 4), CATCH_UP);
        let before = newest(&fleet).epoch;
        for node in 1..=4 {
            fleet.step(node, |control, now| control.leave(now));
            let until = fleet.now + 5.1;
            fleet.run(0.5);
            while fleet.now < until && !fleet.live[&node].may_shut_down(fleet.clock(node)) {
                fleet.run(0.05);
            }
            assert!(fleet.now < until, "seed {seed}: {node} found nobody to take its seat");
            assert!(!newest(&fleet).contains(node), "seed {seed}: {node} ends with a seat");
            fleet.kill(node, false);
            fleet.run(1.0);
            fleet.start(node, false);
            fleet.run(1.0);
            assert!(serves(&mut fleet), "seed {seed}: after {node}");
        }
        let changes = (newest(&fleet).epoch - before) / 2;
        assert!(changes <= 4, "seed {seed}: {changes} changes");
        assert!(fleet.holder(SingletonRole::QuotaCounter).is_some(), "seed {seed}");
    }
}

/// The leaver ends once it may, and the voter that ended the change loses its disk in that moment: the others know of the set.
#[test]
fn a_leaver_ends_only_once_the_others_know_of_the_set() {
    for seed in 0..20 {
        let mut fleet = fleet(seed, (3, 4), CATCH_UP);
        far_and_slow(&mut fleet, 0.01);
        end_in_order(&mut fleet, 3);
        let known: BTreeSet<u64> = fleet.live.values().map(|control| control.voter_set().epoch).collect();
        assert_eq!(known.len(), 1, "seed {seed}: {known:?}");
        wiped_and_back(&mut fleet, 1);
        fleet.run(RECOVERY);
        assert!(serves(&mut fleet), "seed {seed}");
    }
}

/// A voter that is heard of but whose disk hangs answers nothing: its seat goes to one that does, and the next loss is borne.
#[test]
fn a_voter_whose_disk_hangs_gives_its_seat_away() {
    for seed in 0..6 {
        let mut fleet = fleet(seed, (3, 4), CATCH_UP);
        fleet.hang(2, 20.0);
        fleet.run(2.0 * CATCH_UP);
        assert!(!newest(&fleet).contains(2), "seed {seed}: {:?}", newest(&fleet));
        wiped_and_back(&mut fleet, 1);
        fleet.run(RECOVERY);
        assert!(
            fleet.live[&3]
                .proposer
                .confirmed(Register::Configuration)
                .is_some_and(|at| at > fleet.clock(3) - 2.0)
        );
    }
}

/// An address that is gone for good is named to nobody soon after, and called no more in the end; those that are there stay.
#[test]
fn an_address_that_is_gone_for_good_is_forgotten() {
    let mut fleet = fleet(1, (3, 4), CATCH_UP);
    Replaced { old: 1, new: 5, gap: 0.5, planned: false }.play(&mut fleet);
    let named = |fleet: &Fleet, node: NodeId| -> Vec<NodeId> {
        let registry = &fleet.live[&node].event_log.registry;
        registry
            .advertised_control_nodes(fleet.clock(node))
            .iter()
            .map(|control_node| control_node.node)
            .collect()
    };
    assert!(named(&fleet, 2).contains(&1), "it may only be away for a moment");
    fleet.run(30.0);
    (2..=5).for_each(|node| assert_eq!(named(&fleet, node), [2, 3, 4, 5], "told by {node}"));
    let known = |fleet: &Fleet| {
        fleet.live[&3].event_log.registry.control_nodes().iter().any(|control_node| control_node.node == 1)
    };
    assert!(known(&fleet), "it is called for longer");
    fleet.run(600.0);
    assert!(!known(&fleet));
    assert_eq!(named(&fleet, 3), [2, 3, 4, 5]);
}

/// What one repair took, in made-up seconds, syncs and bytes.
struct Repair {
    /// From the voter's end until all that are there go by the new set.
    took: f64,
    without_orders: f64,
    without_counts: f64,
    syncs: u64,
    bytes: usize,
}

fn repair(seed: u64, sync: f64) -> Repair {
    const STEP: f64 = 0.02;
    let mut fleet = fleet(seed, (3, 4), CATCH_UP);
    far_and_slow(&mut fleet, sync);
    fleet.run(1.0);
    let written = |fleet: &Fleet| {
        fleet.disks.values().fold((0, 0), |(syncs, bytes), disk| (syncs + disk.syncs, bytes + disk.bytes))
    };
    let (began, epoch, before) = (fleet.now, newest(&fleet).epoch, written(&fleet));
    fleet.kill(1 + seed as NodeId % 3, true);
    let mut seen =
        Repair { took: f64::INFINITY, without_orders: 0.0, without_counts: 0.0, syncs: 0, bytes: 0 };
    let (mut taken, mut held, mut token) = (began, began, 10);
    let asked = fleet.live.keys().copied().last().unwrap();
    fleet.evacuate(asked, token, "z", true);
    while fleet.now < began + 5.0 {
        fleet.run(STEP);
        // One order after the other.
        if let Some(outcome) = fleet.done.remove(&token) {
            taken = if outcome == Outcome::Chosen { fleet.now } else { taken };
            token += 1;
            fleet.evacuate(asked, token, "z", token % 2 == 0);
        }
        held = if fleet.holder(SingletonRole::QuotaCounter).is_some() { fleet.now } else { held };
        seen.without_orders = seen.without_orders.max(fleet.now - taken);
        seen.without_counts = seen.without_counts.max(fleet.now - held);
        let there = |control: &ControlNodeState| control.voter_set().epoch == epoch + 2;
        if seen.took.is_infinite() && fleet.live.values().all(there) {
            seen.took = fleet.now - began;
            let after = written(&fleet);
            (seen.syncs, seen.bytes) = (after.0 - before.0, after.1 - before.1);
        }
    }
    seen
}

/// For `docs/control.md`: cargo test --release -p harbour --test replaced -- --ignored --nocapture
#[test]
#[ignore = "prints what a repair takes; the bounds are in the tests above"]
fn what_a_repair_takes() {
    for sync in [0.002, 0.1, 0.2] {
        let seen: Vec<Repair> = (0..100).map(|seed| repair(seed, sync)).collect();
        let show = |name: &str, of: &dyn Fn(&Repair) -> f64| {
            let mut all: Vec<f64> = seen.iter().map(of).collect();
            all.sort_by(f64::total_cmp);
            println!("sync {sync}: {name} median {:.2} worst {:.2}", all[50], all[99]);
        };
        show("repaired after", &|repair| repair.took);
        show("without orders", &|repair| repair.without_orders);
        show("without a holder of the counts", &|repair| repair.without_counts);
        show("syncs, orders included", &|repair| repair.syncs as f64);
        show("bytes, orders included", &|repair| repair.bytes as f64);
    }
}

/// Guards against orders that keep a change of the voters from coming through: the registers were settled behind all orders that
/// waited, and a settling that met an order gave way to each one after it.
#[test]
fn orders_without_a_pause_do_not_hold_up_a_repair() {
    for seed in 0..8 {
        for sync in [0.002, 0.1] {
            let took = repair(seed, sync).took;
            assert!(took < 5.0, "seed {seed}, sync {sync}: {took}");
        }
    }
}
