//! What clients that leave cost their customers: nothing, unless a host may have run it.

use crate::world::*;
use archlink_admission::interface::*;

fn world() -> World {
    let plan = PlanLimits { rate: 5.0, burst: 40.0, ..PlanLimits::default() };
    World::new(AdmissionSettings { plans: vec![plan], gateways: 1, ..terms() }, 3)
}

fn leave(world: &mut World, id: u32) {
    world.rules.taken.entry(id).and_modify(|taken| taken.answer = Some(Answer::Left));
    world.gateway.client_disconnected(world.rules.now, &mut world.rules, id);
    world.count_all();
}

fn used(world: &World) -> f64 {
    world.totals.values().map(|total| total.0).sum()
}

/// Its add was not taken back: a customer whose clients are impatient used its quota up without any request run.
#[test]
fn what_a_client_that_left_while_it_was_counted_took_is_given_back() {
    let mut world = world();
    for n in 0..60 {
        let id = world.arrive(0, 0, 1, 1.0, 2.5);
        leave(&mut world, id);
        assert!(used(&world).abs() < 1e-9, "{} used after {n}", used(&world));
        world.pass(0.01);
    }
    assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
}

/// What a host is at work on, or may have run, stays counted.
#[test]
fn what_may_have_run_stays_counted_when_its_client_leaves() {
    for ended in [None, Some(Outcome::Reset)] {
        let mut world = world();
        // Effectful: after a reset it may go nowhere else, and its client may leave before it is told.
        let id = world.arrive(2, 0, 1, 1.0, 2.5);
        world.count_all();
        assert_eq!(world.hand_offs(id), 1);
        if let Some(outcome) = ended {
            world.end(id, 0, outcome);
        }
        leave(&mut world, id);
        assert!((used(&world) - 1.0).abs() < 1e-9, "{ended:?}: {} used", used(&world));
    }
}
