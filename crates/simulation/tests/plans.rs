//! A few drawn plans of each size, the same every time, and plans that once ended with a fault, shrunk. For hours of them:
//! `cargo run --release -p sounding -- run --seeds 0..1000000 --jobs 8 --size grown`.

use archlink_simulation::shrink::tried;
use archlink_simulation::{Kind, Plan, Size};

#[test]
fn drawn_plans_end_well() {
    std::thread::scope(|scope| {
        for part in 0..4 {
            scope.spawn(move || {
                for n in 0..5 {
                    let size = if n == 0 { Size::Grown } else { Size::Small };
                    let plan = Plan::drawn(part * 100 + n, size);
                    assert_eq!(tried(&plan, false).fault, None, "{}", plan.text());
                }
            });
        }
    });
}

/// Guards against a change of voters that stands still for ever: a voter lost its disk as the change began, the newcomer's disk
/// had been lost before, and each waited for the other to tell.
#[test]
fn a_change_begun_as_a_voter_loses_its_disk_ends() {
    let plan = Plan::read(
        r#"{"seed": 202735, "size": "Small", "rates": [1.0,1.0,1.0,1.0], "syncs": [0.0,0.0,0.0,0.0], "steps": [
            [0.0,{"Wipe":{"node":4,"down":1.23}}],
            [12.575,{"Wipe":{"node":1,"down":0.055}}],
            [0.0,{"Reseat":{"node":3,"old":3,"new":4}}]]}"#,
    );
    assert_eq!(tried(&plan.unwrap(), false).fault, None);
}

/// Guards against two holders of a duty: what one teller said about grants came to an emptied voter late, after it was whole, and
/// took the place of a grant that the holder still counted on.
#[test]
fn a_late_teller_does_not_undo_what_was_granted_since() {
    let plan = Plan::read(
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
    assert_eq!(tried(&plan.unwrap(), false).fault, None);
}

/// Guards against a recall that asks ever more seldom: the voter was not whole long after it could have been.
#[test]
fn a_voter_cut_off_after_it_lost_its_disk_is_whole_soon_after() {
    let plan = Plan::read(
        r#"{"seed": 2411, "size": "Grown", "rates": [1.0,1.0,1.0,1.0,1.0,1.0], "syncs": [0.0,0.0,0.0,0.0,0.0,0.0], "steps": [
            [0.0,{"Isolate":{"node":5,"seconds":56.66}}],
            [0.0,{"Wipe":{"node":3,"down":0.062}}],
            [0.0,{"Isolate":{"node":1,"seconds":46.494}}],
            [4.375,{"Reads":{"node":5,"every":0.005,"seconds":2.247}}],
            [23.468,{"Reseat":{"node":4,"old":4,"new":5}}]]}"#,
    );
    assert_eq!(tried(&plan.unwrap(), false).fault, None);
}

/// Losses as the operators define them, each in the very moment from which on it is allowed: replaced machines, the oldest disks,
/// closing faults on top. With a `CatchUp` of 1000 s, as if a silent seat were given away after 300 s, the same plans end badly.
#[test]
fn losses_at_the_border_are_borne() {
    std::thread::scope(|scope| {
        for part in 0..4 {
            scope.spawn(move || {
                for n in 0..6 {
                    let size = if n == 0 { Size::Grown } else { Size::Small };
                    let plan = Plan::of(Kind::Losses, part * 100 + n, size);
                    assert_eq!(tried(&plan, false).fault, None, "{}", plan.text());
                }
            });
        }
    });
    let planted = |seed| Plan { catch_up: 1000.0, ..Plan::of(Kind::Losses, seed, Size::Small) };
    assert!(
        (0..4).any(|seed| tried(&planted(seed), false).fault.is_some()),
        "the planted constants go unseen"
    );
}

fn played(text: &str) -> Option<String> {
    tried(&Plan::read(text).unwrap(), false).fault
}

/// Guards against a leaver that ends with its seat because it hears nobody who could take it: all others were off at that moment.
#[test]
fn a_leaver_that_hears_nobody_waits_for_the_others() {
    let plan = r#"{"seed": 436, "size": "Small", "catch_up": 4, "rates": [1.0,1.0,1.0,1.0], "syncs": [0.0,0.0,0.0,0.0], "steps": [
        [0.0,{"Chart":{"node":2,"above":1,"patience":0.287}}],
        [0.0,{"Replace":{"node":1,"gap":4.429,"planned":true}}],
        [0.0,{"Lose":{"node":3,"loss":"Wipe","seconds":2.302}}],
        [0.0,{"PowerAll":{"down":1.429}}]]}"#;
    assert_eq!(played(plan), None);
}

/// Guards against a first change that gives a leaver's seat away and keeps one that is gone, as it had not been silent for long
/// yet, and against spares with empty disks that have to be silent once more after a kill of all.
#[test]
fn a_leavers_and_a_lost_seat_go_in_one_change_to_spares_that_were_emptied() {
    let plan = r#"{"seed": 15, "size": "Small", "catch_up": 4, "rates": [1.0,1.0,1.0,1.0], "syncs": [0.0,0.0,0.0,0.0], "steps": [
        [0.0,{"Lose":{"node":4,"loss":"Wipe","seconds":0.311}}],
        [0.0,{"Chart":{"node":3,"above":-1,"patience":0.649}}],
        [0.0,{"Replace":{"node":3,"gap":4.101,"planned":true}}],
        [0.0,{"Replace":{"node":1,"gap":0.941,"planned":false}}],
        [0.0,{"KillAll":{"down":0.04}}],
        [0.0,{"LoseOldest":{"loss":"Wipe","seconds":0.388}}],
        [0.0,{"KillAll":{"down":0.47}}]]}"#;
    assert_eq!(played(plan), None);
}
