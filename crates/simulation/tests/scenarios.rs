//! A few generated scenarios of each size, the same in every run, and shrunk scenarios that once violated an invariant. To run
//! many more: `cargo run --release -p archlink-simulation -- run --seeds 0..1000000 --jobs 8 --size large`.

use archlink_simulation::shrink::run_catching_panics;
use archlink_simulation::{Scenario, Size, Workload};

#[test]
fn generated_scenarios_violate_no_invariant() {
    std::thread::scope(|scope| {
        for part in 0..4 {
            scope.spawn(move || {
                for n in 0..5 {
                    let size = if n == 0 { Size::Large } else { Size::Small };
                    let scenario = Scenario::generate(Workload::Any, part * 100 + n, size);
                    assert_eq!(run_catching_panics(&scenario, false).violation, None, "{}", scenario.text());
                }
            });
        }
    });
}

/// Guards against a membership change that never completes: a voter lost its disk as the change began, the incoming voter had
/// lost its disk earlier, and each waited for the other's state.
#[test]
fn membership_change_completes_if_a_voter_loses_its_disk_at_its_start() {
    let scenario = Scenario::read(
        r#"{"seed": 202735, "size": "Small", "rates": [1.0,1.0,1.0,1.0], "syncs": [0.0,0.0,0.0,0.0], "steps": [
            [0.0,{"Wipe":{"node":4,"down":1.23}}],
            [12.575,{"Wipe":{"node":1,"down":0.055}}],
            [0.0,{"Reseat":{"node":3,"old":3,"new":4}}]]}"#,
    );
    assert_eq!(run_catching_panics(&scenario.unwrap(), false).violation, None);
}

/// Guards against two holders of one lease: the lease grants of a delayed state transfer reached a voter after it had recovered
/// from the loss of its disk, and replaced a grant on which the holder still relied.
#[test]
fn delayed_state_transfer_does_not_replace_later_lease_grants() {
    let scenario = Scenario::read(
        r#"{"seed": 506766, "size": "Small", "rates": [1.0,1.0,1.0,1.0], "syncs": [0.006967850060710723,0.009510716916620077,0.011605957600833102,0.011603343736822314], "steps": [
              [0.872,{"Hang":{"node":1,"seconds":1.688}}],
              [0.074,{"Race":{"nodes":[3,4],"gap":0.065}}],
              [0.023,{"Power":{"node":1,"down":0.806}}],
              [0.576,{"Freeze":{"node":1,"seconds":9.367}}],
              [1.22,{"Race":{"nodes":[2,3],"gap":0.022}}],
              [0.0,{"Noise":{"lossy":0.01,"doubled":0.004,"late":0.028,"late_by":0.06,"seconds":1.93}}],
              [0.014,{"Slow":{"node":2,"sync":0.012,"seconds":0.482}}],
              [0.002,{"Wipe":{"node":2,"down":0.539}}],
              [0.0,{"Cut":{"from":2,"to":4,"seconds":19.367}}],
              [0.0,{"Cut":{"from":3,"to":1,"seconds":14.525}}],
              [2.247,{"Freeze":{"node":4,"seconds":7.93}}],
              [0.324,{"Race":{"nodes":[1,2],"gap":0.133}}],
              [3.228,{"Kill":{"node":1,"down":0.027}}],
              [0.761,{"Stall":{"from":2,"to":3,"seconds":17.611}}],
              [0.504,{"Chart":{"node":4,"above":0,"patience":2.0}}]
            ]}"#,
    );
    assert_eq!(run_catching_panics(&scenario.unwrap(), false).violation, None);
}

/// Guards against a state transfer whose requests are repeated at ever longer intervals: the voter recovered long after the
/// partition had ended.
#[test]
fn voter_partitioned_after_disk_loss_recovers_soon_after_the_partition() {
    let scenario = Scenario::read(
        r#"{"seed": 2411, "size": "Grown", "rates": [1.0,1.0,1.0,1.0,1.0,1.0], "syncs": [0.0,0.0,0.0,0.0,0.0,0.0], "steps": [
            [0.0,{"Isolate":{"node":5,"seconds":56.66}}],
            [0.0,{"Wipe":{"node":3,"down":0.062}}],
            [0.0,{"Isolate":{"node":1,"seconds":46.494}}],
            [4.375,{"Reads":{"node":5,"every":0.005,"seconds":2.247}}],
            [23.468,{"Reseat":{"node":4,"old":4,"new":5}}]]}"#,
    );
    assert_eq!(run_catching_panics(&scenario.unwrap(), false).violation, None);
}

/// Losses as the operators define them, each at the earliest time at which it is allowed: replaced machines, lost oldest disks,
/// and crashes of all nodes in addition. With a `CatchUp` of 1000 s, as if a silent voter were replaced only after 300 s, some
/// of the same scenarios violate an invariant.
#[test]
fn losses_at_the_tolerated_limit_violate_no_invariant() {
    std::thread::scope(|scope| {
        for part in 0..4 {
            scope.spawn(move || {
                for n in 0..6 {
                    let size = if n == 0 { Size::Large } else { Size::Small };
                    let scenario = Scenario::generate(Workload::Losses, part * 100 + n, size);
                    assert_eq!(run_catching_panics(&scenario, false).violation, None, "{}", scenario.text());
                }
            });
        }
    });
    let with_excessive_catch_up =
        |seed| Scenario { catch_up: 1000.0, ..Scenario::generate(Workload::Losses, seed, Size::Small) };
    assert!(
        (0..4).any(|seed| run_catching_panics(&with_excessive_catch_up(seed), false).violation.is_some()),
        "no scenario detects the excessive CatchUp"
    );
}

fn violation_of(text: &str) -> Option<String> {
    run_catching_panics(&Scenario::read(text).unwrap(), false).violation
}

/// Guards against a departing node that shuts down while it is still a voter because it knows of no node that could replace it:
/// all other nodes were off at that moment.
#[test]
fn departing_voter_without_contact_waits_for_a_replacement() {
    let scenario = r#"{"seed": 436, "size": "Small", "catch_up": 4, "rates": [1.0,1.0,1.0,1.0], "syncs": [0.0,0.0,0.0,0.0], "steps": [
        [0.0,{"Chart":{"node":2,"above":1,"patience":0.287}}],
        [0.0,{"Replace":{"node":1,"gap":4.429,"planned":true}}],
        [0.0,{"Lose":{"node":3,"loss":"Wipe","seconds":2.302}}],
        [0.0,{"PowerAll":{"down":1.429}}]]}"#;
    assert_eq!(violation_of(scenario), None);
}

/// Guards against a first membership change that replaces the departing voter but keeps a lost one, because that one had not yet
/// been silent for long, and against restarting the silence timers of spare nodes with empty disks after a crash of all nodes.
#[test]
fn departing_and_lost_voter_are_replaced_in_one_change_by_spares_with_lost_disks() {
    let scenario = r#"{"seed": 15, "size": "Small", "catch_up": 4, "rates": [1.0,1.0,1.0,1.0], "syncs": [0.0,0.0,0.0,0.0], "steps": [
        [0.0,{"Lose":{"node":4,"loss":"Wipe","seconds":0.311}}],
        [0.0,{"Chart":{"node":3,"above":-1,"patience":0.649}}],
        [0.0,{"Replace":{"node":3,"gap":4.101,"planned":true}}],
        [0.0,{"Replace":{"node":1,"gap":0.941,"planned":false}}],
        [0.0,{"KillAll":{"down":0.04}}],
        [0.0,{"LoseOldest":{"loss":"Wipe","seconds":0.388}}],
        [0.0,{"KillAll":{"down":0.47}}]]}"#;
    assert_eq!(violation_of(scenario), None);
}
