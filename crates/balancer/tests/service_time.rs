//! Service times that were measured while hosts were slow don't keep requests away for good, in simulated time.

mod common;

use archlink_balancer::balancer::{AttemptEnd, Balancer, HostRequest};
use archlink_messages::HostInstance;
use common::{balancer, instance, request};
use std::collections::BTreeMap;

/// Latency target of the requests, and the time that a response may take, in seconds.
const TARGET: f64 = 0.24;
const MAX_RESPONSE: f64 = 0.9 * TARGET;
/// Service time of a warm host in seconds; a response takes less than half of the target.
const SERVICE_TIME: f64 = 0.1;
/// Requests per second, far below what the hosts can serve.
const RATE: f64 = 24.0;
const STEP: f64 = 0.005;
/// Seconds after which a service has to be served again: the interval without an alternative, then a probe each tenth of a
/// second, of each of four hosts, and the responses.
const RECOVERY: f64 = 0.5 + 4.0 * 0.1 + 5.0 * SERVICE_TIME;

struct InFlight {
    key: u64,
    id: String,
    sent_at: f64,
    ends_at: f64,
}

/// One data node and its hosts, which take as long as `service_time` says.
struct Simulation<F: Fn(f64, &str) -> f64> {
    balancer: Balancer,
    now: f64,
    service_time: F,
    in_flight: Vec<InFlight>,
    /// Requests sent to each host, and the number of those without a host.
    sent: BTreeMap<String, usize>,
    rejected: usize,
    next_request_at: f64,
    home_regions: Vec<String>,
}

impl<F: Fn(f64, &str) -> f64> Simulation<F> {
    fn new(hosts: &[HostInstance], service_time: F) -> Simulation<F> {
        let mut balancer = balancer();
        balancer.set_data_nodes(&[1]);
        balancer.update_hosts(0.0, hosts);
        Simulation {
            balancer,
            now: 0.0,
            service_time,
            in_flight: Vec::new(),
            sent: BTreeMap::new(),
            rejected: 0,
            next_request_at: 0.0,
            home_regions: Vec::new(),
        }
    }

    /// Runs for some seconds and returns the numbers of requests that were sent and rejected meanwhile.
    fn run(&mut self, seconds: f64) -> (usize, usize) {
        let before = (self.sent.values().sum::<usize>(), self.rejected);
        let end = self.now + seconds;
        while self.now < end {
            self.now += STEP;
            self.end_attempts();
            while self.next_request_at <= self.now {
                self.next_request_at += 1.0 / RATE;
                self.send();
            }
        }
        (self.sent.values().sum::<usize>() - before.0, self.rejected - before.1)
    }

    fn send(&mut self) {
        let home_regions = std::mem::take(&mut self.home_regions);
        let request = HostRequest {
            latency_target: TARGET,
            remaining: MAX_RESPONSE,
            home_regions: &home_regions,
            ..request()
        };
        let selected = self.balancer.select(self.now, &request);
        self.home_regions = home_regions;
        let Some(selected) = selected else {
            self.rejected += 1;
            return;
        };
        self.balancer.attempt_started(self.now, selected.key, TARGET);
        let ends_at = self.now + (self.service_time)(self.now, &selected.id);
        *self.sent.entry(selected.id.clone()).or_default() += 1;
        self.in_flight.push(InFlight { key: selected.key, id: selected.id, sent_at: self.now, ends_at });
    }

    fn end_attempts(&mut self) {
        let now = self.now;
        let (ended, in_flight) =
            self.in_flight.drain(..).partition(|attempt: &InFlight| attempt.ends_at <= now);
        self.in_flight = in_flight;
        for InFlight { key, sent_at, .. } in ended {
            self.balancer.attempt_ended(now, key, now - sent_at, AttemptEnd::Answered(None));
        }
    }
}

fn hosts(warm_up_seconds: f32) -> Vec<HostInstance> {
    let host =
        |n: usize| HostInstance { warm_up_seconds, ..instance(&format!("host-{n}"), ["a", "b"][n % 2]) };
    (0..4).map(host).collect()
}

/// Guards against a service that is never served because its hosts were warming up when the first responses came: they counted
/// as if warm hosts had sent them, and no request was sent that could have shown otherwise (review/6).
#[test]
fn service_whose_hosts_are_cold_at_first_is_served_once_they_are_warm() {
    let slowdown = |now: f64| if now < 3.0 { 2.0 } else { 1.0 };
    let mut simulation = Simulation::new(&hosts(3.0), |now, _| SERVICE_TIME * slowdown(now));
    simulation.run(3.0);
    simulation.run(RECOVERY);
    let (sent, rejected) = simulation.run(20.0);
    assert!(rejected == 0, "{rejected} rejected, {sent} sent");
}

/// Guards against the same by hosts that are slow for a while, before the data node has started or later, in all regions or in
/// the home region of the requests.
#[test]
fn service_is_served_again_after_all_its_hosts_were_slow() {
    for (slow_from, home_regions) in [(0.0, vec![]), (10.0, vec![]), (10.0, vec!["x".to_string()])] {
        let slow = slow_from..slow_from + 6.5;
        let slowdown = |now: f64| if slow.contains(&now) { 5.0 } else { 1.0 };
        let mut simulation = Simulation::new(&hosts(0.0), |now, _| SERVICE_TIME * slowdown(now));
        simulation.home_regions = home_regions;
        simulation.run(slow.end);
        simulation.run(RECOVERY);
        let (sent, rejected) = simulation.run(20.0);
        assert!(rejected == 0, "slow from {slow_from}: {rejected} rejected, {sent} sent");
        let used = simulation.sent.len();
        assert!(used == 4, "slow from {slow_from}: {used} hosts used");
    }
}

/// While all hosts are slow, the requests that are let through to test them are few: one at a time at a host, at most one each
/// half second there.
#[test]
fn slow_hosts_get_few_requests() {
    let mut simulation = Simulation::new(&hosts(0.0), |_, _| 5.0 * SERVICE_TIME);
    simulation.run(3.0);
    for _ in 0..100 {
        let (sent, rejected) = simulation.run(1.0);
        assert!(sent <= 2 * 4 && rejected >= 15, "{sent} sent and {rejected} rejected in a second");
        let mut busy: Vec<&str> = simulation.in_flight.iter().map(|attempt| attempt.id.as_str()).collect();
        busy.sort_unstable();
        assert!(busy.windows(2).all(|pair| pair[0] != pair[1]), "two in flight at a host: {busy:?}");
    }
}

/// Guards against a host that is lost for good because it was slow while the others were not: it is tested every ten seconds.
#[test]
fn single_host_that_was_slow_is_used_again() {
    let slowdown = |now: f64, id: &str| if id == "host-0" && now < 10.0 { 5.0 } else { 1.0 };
    let mut simulation = Simulation::new(&hosts(0.0), |now, id| SERVICE_TIME * slowdown(now, id));
    simulation.run(10.0);
    let before = simulation.sent["host-0"];
    let (_, rejected) = simulation.run(30.0);
    let after = simulation.sent["host-0"] - before;
    assert!(
        after > 40 && rejected == 0,
        "{before} requests while it was slow, {after} in 30 s after it, {rejected} rejected"
    );
}
