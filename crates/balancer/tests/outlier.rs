//! Ejection of unreachable hosts, and avoidance of hosts that fail requests, in simulated time.

mod common;

use archlink_balancer::balancer::{AttemptEnd, Balancer};
use common::{balancer, instance, request, selected_id};

#[test]
fn unreachable_host_is_ejected_and_then_probed_by_one_request() {
    let mut balancer = balancer();
    balancer.update_hosts(0.0, &[instance("one", "a")]);
    let first = balancer.select(0.0, &request()).unwrap();
    balancer.attempt_started(0.0, first.key, 0.3);
    balancer.attempt_ended(0.0, first.key, 0.0, AttemptEnd::ConnectFailed);
    assert_eq!(selected_id(&mut balancer, 0.1, &request()), None);
    let probe = balancer.select(0.5, &request()).unwrap();
    balancer.attempt_started(0.5, probe.key, 0.3);
    assert_eq!(selected_id(&mut balancer, 0.5, &request()), None);
    balancer.attempt_ended(0.6, probe.key, 0.1, AttemptEnd::Answered(None));
    assert!(selected_id(&mut balancer, 0.6, &request()).is_some());
}

/// Guards against preferring a host that fails half of its requests: it fails them quickly, so it appears the least
/// loaded.
#[test]
fn failing_host_gets_few_requests_until_it_recovers() {
    let mut balancer = balancer();
    balancer.update_hosts(0.0, &[instance("failing", "a"), instance("healthy", "a")]);
    let mut now = 0.0;
    let mut requests_to_failing = |balancer: &mut Balancer, fails: bool| {
        (0..200).fold(0, |count, n| {
            now += 0.05;
            let selected = balancer.select(now, &request()).unwrap();
            balancer.attempt_started(now, selected.key, 0.3);
            let is_failing = selected.id == "failing";
            let (elapsed, end) = match is_failing && fails && n % 2 == 0 {
                true => (0.002, AttemptEnd::Failed(Some((0.0, 0.0, 2.0)))),
                false => (0.06, AttemptEnd::Answered(Some((1.0, 0.0, 2.0)))),
            };
            balancer.attempt_ended(now + elapsed, selected.key, elapsed, end);
            count + i32::from(is_failing)
        })
    };
    let while_failing = requests_to_failing(&mut balancer, true);
    let recovered = requests_to_failing(&mut balancer, false);
    assert!((1..25).contains(&while_failing), "{while_failing} of 200 requests while the host fails");
    assert!(
        recovered > 45 && recovered > 2 * while_failing,
        "{recovered} of 200 requests after the host has recovered, {while_failing} before"
    );
}

/// Guards against blaming a host for clients that disconnect: it is not ejected, unhealthy or suspected because of
/// them.
#[test]
fn client_disconnects_do_not_count_against_their_host() {
    for end in [AttemptEnd::CancelledBeforeSend, AttemptEnd::CancelledAfterSend] {
        let mut balancer = balancer();
        balancer.update_hosts(0.0, &[instance("near", "a"), instance("next", "b")]);
        let mut now = 0.0;
        for _ in 0..50 {
            let selected = balancer.select(now, &request()).unwrap();
            assert_eq!(selected.id, "near", "{end:?} at {now} s");
            balancer.attempt_started(now, selected.key, 0.3);
            balancer.attempt_ended(now + 0.03, selected.key, 0.03, end);
            now += 1.0;
        }
    }
}
