//! Which hosts are eligible, and in which order they are selected, in simulated time.

mod common;

use archlink_balancer::balancer::{AttemptEnd, HostRequest};
use archlink_messages::HostInstance;
use common::{balancer, instance, request, selected_id};
use std::collections::BTreeSet;

#[test]
fn draining_evacuated_or_misdirected_host_is_not_selected() {
    let mut balancer = balancer();
    balancer.update_hosts(0.0, &[instance("one", "a"), instance("two", "b")]);
    assert_eq!(selected_id(&mut balancer, 0.0, &request()).as_deref(), Some("one"));
    let draining = HostInstance { draining: true, ..instance("one", "a") };
    assert_eq!(balancer.update_hosts(0.1, &[draining, instance("two", "b")]).len(), 1);
    assert_eq!(selected_id(&mut balancer, 0.1, &request()).as_deref(), Some("two"));
    balancer.set_evacuated(0.2, BTreeSet::from(["b".to_string()]));
    assert_eq!(selected_id(&mut balancer, 0.2, &request()), None);
    // The hosts of a zone that is no longer evacuated may be warming up. This data node may send two requests a second,
    // its portion of the bound among nine.
    balancer.set_evacuated(0.3, BTreeSet::new());
    for _ in 0..2 {
        let selected = balancer.select(0.3, &request()).unwrap();
        balancer.attempt_started(0.3, selected.key, 0.3);
        balancer.attempt_ended(0.3, selected.key, 0.01, AttemptEnd::Answered(None));
    }
    assert_eq!(selected_id(&mut balancer, 1.2, &request()), None);
    let selected = balancer.select(1.4, &request()).unwrap();
    balancer.attempt_started(1.4, selected.key, 0.3);
    balancer.attempt_ended(1.4, selected.key, 0.01, AttemptEnd::Misdirected);
    assert!(!balancer.is_available(selected.key) && selected_id(&mut balancer, 9.0, &request()).is_none());
}

#[test]
fn selection_keeps_to_home_regions_and_fills_nearer_zones_first() {
    let mut balancer = balancer();
    balancer.update_hosts(0.0, &[instance("near", "a"), instance("next", "b"), instance("far", "c")]);
    let home_regions = ["y".to_string()];
    let request_for_y = HostRequest { home_regions: &home_regions, ..request() };
    assert_eq!(selected_id(&mut balancer, 0.0, &request_for_y).as_deref(), Some("far"));
    let mut order = Vec::new();
    for _ in 0..40 {
        let selected = balancer.select(0.0, &request()).unwrap();
        balancer.attempt_started(0.0, selected.key, 0.3);
        order.push(selected.id);
    }
    assert!(order[..2].iter().all(|id| id == "near"), "order of selection: {order:?}");
    assert!(
        order.iter().position(|id| id == "next") < order.iter().position(|id| id == "far"),
        "order of selection: {order:?}"
    );
}

/// Attempts that are aborted late show that a host has become slow, as late responses do.
#[test]
fn late_aborted_attempts_reveal_a_slow_host() {
    let mut balancer = balancer();
    balancer.update_hosts(0.0, &[instance("near", "a"), instance("next", "b")]);
    let mut now = 0.0;
    for _ in 0..40 {
        let selected = balancer.select(now, &HostRequest { remaining: 20.0, ..request() }).unwrap();
        balancer.attempt_started(now, selected.key, 0.3);
        now += 1.0;
        let (elapsed, end) = if selected.id == "near" {
            (1.0, AttemptEnd::CancelledAfterSend)
        } else {
            (0.05, AttemptEnd::Answered(None))
        };
        balancer.attempt_ended(now, selected.key, elapsed, end);
    }
    assert_eq!(selected_id(&mut balancer, now, &request()).as_deref(), Some("next"));
}
