//! What hosts must and must not get, in made-up time.

use archlink_balancer::balancer::{AttemptEnd, Balancer, HostRequest, ServiceLimits, WarmUpBound};
use archlink_balancer::retry_budget::{RetryBound, RetryBudget};
use archlink_messages::HostInstance;
use std::collections::{BTreeSet, HashMap};

fn line(id: &str, zone: &str, cold_for: f32) -> HostInstance {
    let address = "10.0.0.1:80".parse().unwrap();
    let (service, capacity) = ("s".into(), 2);
    HostInstance {
        id: id.into(),
        service,
        address,
        zone: zone.into(),
        capacity,
        draining: false,
        warm_up_seconds: cold_for,
    }
}

fn balancer() -> Balancer {
    let zones = [("a", "x"), ("b", "x"), ("c", "y")].map(|(z, r)| (z.to_string(), r.to_string()));
    let cold = WarmUpBound { overrun: 1.5, slack: 5.0 };
    let mut balancer = Balancer::new(1, "a".into(), "x".into(), HashMap::from(zones), cold, 7);
    balancer.set_gateways(&[1, 2, 3, 4, 5, 6, 7, 8, 9]);
    balancer.set_services([("s".into(), ServiceLimits { warm_up_rate: 10.0, warm_up_period: 3.0 })].into());
    balancer
}

fn need() -> HostRequest<'static> {
    HostRequest {
        service: "s",
        home_regions: &[],
        latency_target: 0.3,
        remaining: 2.0,
        tried: &[],
        queue_ticket: None,
    }
}

fn chosen(balancer: &mut Balancer, now: f64, need: &HostRequest) -> Option<String> {
    balancer.select(now, need).map(|c| c.id)
}

#[test]
fn a_drained_gone_moved_or_evacuated_host_gets_nothing_new() {
    let mut balancer = balancer();
    balancer.update_hosts(0.0, &[line("one", "a", 0.0), line("two", "b", 0.0)]);
    assert_eq!(chosen(&mut balancer, 0.0, &need()).as_deref(), Some("one"));
    let drained = HostInstance { draining: true, ..line("one", "a", 0.0) };
    assert_eq!(balancer.update_hosts(0.1, &[drained, line("two", "b", 0.0)]).len(), 1);
    assert_eq!(chosen(&mut balancer, 0.1, &need()).as_deref(), Some("two"));
    balancer.set_evacuated(0.2, BTreeSet::from(["b".to_string()]));
    assert_eq!(chosen(&mut balancer, 0.2, &need()), None);
    // Taken back, its hosts may be cold: two a second from here, as nine gateways share.
    balancer.set_evacuated(0.3, BTreeSet::new());
    for _ in 0..2 {
        let to = balancer.select(0.3, &need()).unwrap();
        balancer.attempt_started(0.3, to.key, 0.3);
        balancer.attempt_ended(0.3, to.key, 0.01, AttemptEnd::Answered(None));
    }
    assert_eq!(chosen(&mut balancer, 1.2, &need()), None);
    let to = balancer.select(1.4, &need()).unwrap();
    balancer.attempt_started(1.4, to.key, 0.3);
    balancer.attempt_ended(1.4, to.key, 0.01, AttemptEnd::Misdirected);
    assert!(!balancer.is_listed(to.key) && chosen(&mut balancer, 9.0, &need()).is_none());
}

#[test]
fn homes_bind_and_the_own_zone_comes_first_until_it_is_full() {
    let mut balancer = balancer();
    balancer.update_hosts(0.0, &[line("near", "a", 0.0), line("next", "b", 0.0), line("far", "c", 0.0)]);
    let homes = ["y".to_string()];
    assert_eq!(
        chosen(&mut balancer, 0.0, &HostRequest { home_regions: &homes, ..need() }).as_deref(),
        Some("far")
    );
    let mut order = Vec::new();
    for _ in 0..40 {
        let to = balancer.select(0.0, &need()).unwrap();
        balancer.attempt_started(0.0, to.key, 0.3);
        order.push(to.id);
    }
    assert!(order[..2].iter().all(|id| id == "near"), "{order:?}");
    assert!(order.iter().position(|id| id == "next") < order.iter().position(|id| id == "far"), "{order:?}");
}

#[test]
fn a_host_that_is_not_reached_rests_and_is_tried_by_one_request() {
    let mut balancer = balancer();
    balancer.update_hosts(0.0, &[line("one", "a", 0.0)]);
    let to = balancer.select(0.0, &need()).unwrap();
    balancer.attempt_started(0.0, to.key, 0.3);
    balancer.attempt_ended(0.0, to.key, 0.0, AttemptEnd::ConnectFailed);
    assert_eq!(chosen(&mut balancer, 0.1, &need()), None);
    let again = balancer.select(0.5, &need()).unwrap();
    balancer.attempt_started(0.5, again.key, 0.3);
    assert_eq!(chosen(&mut balancer, 0.5, &need()), None);
    balancer.attempt_ended(0.6, again.key, 0.1, AttemptEnd::Answered(None));
    assert!(chosen(&mut balancer, 0.6, &need()).is_some());
}

/// Guards against a host that fails half of what it gets, quickly, and so looks the least busy of all.
#[test]
fn a_host_that_fails_gets_a_trickle_and_is_found_well_again() {
    let mut balancer = balancer();
    balancer.update_hosts(0.0, &[line("ill", "a", 0.0), line("well", "a", 0.0)]);
    let mut now = 0.0;
    let mut to_ill = |balancer: &mut Balancer, fails: bool| {
        (0..200).fold(0, |count, n| {
            now += 0.05;
            let to = balancer.select(now, &need()).unwrap();
            balancer.attempt_started(now, to.key, 0.3);
            let ill = to.id == "ill";
            let (took, end) = match ill && fails && n % 2 == 0 {
                true => (0.002, AttemptEnd::Failed(Some((0.0, 0.0, 2.0)))),
                false => (0.06, AttemptEnd::Answered(Some((1.0, 0.0, 2.0)))),
            };
            balancer.attempt_ended(now + took, to.key, took, end);
            count + i32::from(ill)
        })
    };
    let (ill, well) = (to_ill(&mut balancer, true), to_ill(&mut balancer, false));
    assert!((1..25).contains(&ill), "{ill} of 200 while it fails");
    assert!(well > 45 && well > 2 * ill, "{well} of 200 once it is well, {ill} before");
}

/// Nine gateways that earn and spend all they can keep the rule in any window of requests.
#[test]
fn further_tries_of_all_gateways_stay_within_the_rule() {
    let rule = RetryBound { ratio: 0.2, slack: 58.0 };
    let mut budgets: Vec<RetryBudget> = (0..9).map(|_| RetryBudget::default()).collect();
    let mut tries = 0;
    for request in 0..20_000 {
        let budget = &mut budgets[request % 9];
        budget.deposit(&rule, "s", 9);
        // Nobody tries again for a long while, and then all do at once.
        while request > 10_000 && budget.try_withdraw("s") {
            tries += 1;
        }
    }
    assert!(f64::from(tries) <= 9999.0 * rule.ratio + rule.slack && tries > 1400, "{tries}");
}

/// What its clients left behind says nothing bad of a host: it does not rest, is not ill, and is not taken for silent.
#[test]
fn clients_that_leave_cost_their_host_nothing() {
    for end in [AttemptEnd::Withdrawn, AttemptEnd::Abandoned] {
        let mut balancer = balancer();
        balancer.update_hosts(0.0, &[line("near", "a", 0.0), line("next", "b", 0.0)]);
        let mut now = 0.0;
        for _ in 0..50 {
            let to = balancer.select(now, &need()).unwrap();
            assert_eq!(to.id, "near", "{end:?} at {now}");
            balancer.attempt_started(now, to.key, 0.3);
            balancer.attempt_ended(now + 0.03, to.key, 0.03, end);
            now += 1.0;
        }
    }
}

/// Runs that were broken off late show that a host has become slow, as answers do that come late.
#[test]
fn runs_that_were_broken_off_late_show_a_slow_host() {
    let mut balancer = balancer();
    balancer.update_hosts(0.0, &[line("near", "a", 0.0), line("next", "b", 0.0)]);
    let mut now = 0.0;
    for _ in 0..40 {
        let to = balancer.select(now, &HostRequest { remaining: 20.0, ..need() }).unwrap();
        balancer.attempt_started(now, to.key, 0.3);
        now += 1.0;
        let end =
            if to.id == "near" { (1.0, AttemptEnd::Abandoned) } else { (0.05, AttemptEnd::Answered(None)) };
        balancer.attempt_ended(now, to.key, end.0, end.1);
    }
    assert_eq!(chosen(&mut balancer, now, &need()).as_deref(), Some("next"));
}
