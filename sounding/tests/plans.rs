//! A few drawn plans of each size, the same every time, and plans that once ended with a fault, shrunk. For hours of them:
//! `cargo run --release -p sounding -- run --seeds 0..1000000 --jobs 8 --size grown`.

use sounding::shrink::tried;
use sounding::{Plan, Size};

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
