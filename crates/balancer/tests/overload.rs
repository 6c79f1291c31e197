//! Many data nodes and few hosts, in simulated time: open-loop clients send more requests to one service than it has
//! capacity for. The test checks what fraction is answered within the latency target, not any formula of load shedding.

use archlink_balancer::balancer::{
    AttemptEnd, Balancer, HostRequest, ShedCandidate, WarmUpBound, WarmUpLimits,
};
use archlink_messages::{HostInstance, NodeId};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Latency target of all requests in seconds.
const LATENCY_TARGET: f64 = 0.5;
/// Mean service time of a request at a host in seconds.
const MEAN_SERVICE_TIME: f64 = 0.12;
const SLOTS: usize = 2;
const QUEUE_LENGTH: usize = 8;
/// Seconds from one try of a client to the next: the round trip, and the retry delay that it is told.
const RETRY_DELAY: f64 = 0.085;
/// One-way delay from a data node to its client in seconds.
const CLIENT_DELAY: f64 = 0.02;
/// Tries that a client makes before it gives up.
const MAX_TRIES: u32 = 4;
/// Steps of the simulated clock in a second.
const TICKS_PER_SECOND: f64 = 1e7;

struct Scenario {
    data_nodes: usize,
    hosts: usize,
    /// Offered load as a multiple of what the hosts can serve.
    load: f64,
    /// One-way delay from a data node to a host in seconds.
    one_way_delay: f64,
}

#[derive(Default, Debug)]
struct Counts {
    offered: u32,
    in_time: u32,
    late: u32,
    /// In time if counted from the try that was admitted, but not from the first one.
    in_time_from_admission: u32,
    rejected: u32,
    rejected_by_full_host: u32,
}

/// An attempt in flight.
#[derive(Clone, Copy)]
struct Attempt {
    data_node: usize,
    key: u64,
    sent_at: f64,
    first_try_at: f64,
    admitted_at: f64,
}

#[derive(Clone, Copy)]
enum Event {
    ClientTries { first_try_at: f64, earlier_tries: u32 },
    AttemptArrives { host: usize, attempt: Attempt },
    ServiceEnds { host: usize, attempt: Attempt },
    ResponseArrives { attempt: Attempt, load: (f64, f64, f64), is_full: bool },
}

#[derive(Default)]
struct Host {
    running: usize,
    waiting: VecDeque<Attempt>,
}

struct Simulation {
    scenario: Scenario,
    rng: oorandom::Rand64,
    balancers: Vec<Balancer>,
    host_index_by_id: HashMap<String, usize>,
    hosts: Vec<Host>,
    /// Keyed by time in ticks, then by order of scheduling.
    events: BTreeMap<(u64, u64), Event>,
    scheduled_events: u64,
    counts: Counts,
}

fn host_instances(count: usize) -> Vec<HostInstance> {
    let instance = |n| HostInstance {
        id: format!("i-{n:03}"),
        service: "s".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z".into(),
        capacity: SLOTS as u32,
        draining: false,
        warm_up_seconds: 0.0,
    };
    (0..count).map(instance).collect()
}

fn new_balancer(node: NodeId, nodes: &[NodeId], instances: &[HostInstance]) -> Balancer {
    let regions = HashMap::from([("z".to_string(), "r".to_string())]);
    let warm_up = WarmUpBound { overrun: 1.5, slack: 5.0 };
    let mut balancer = Balancer::new(node, "z".into(), "r".into(), regions, warm_up, u64::from(node));
    balancer.set_data_nodes(nodes);
    balancer.set_services([("s".into(), WarmUpLimits::default())].into());
    balancer.update_hosts(0.0, instances);
    balancer
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Simulation {
        let nodes: Vec<NodeId> = (0..scenario.data_nodes as NodeId).map(|n| 0x0a01_0000 + n).collect();
        let instances = host_instances(scenario.hosts);
        Simulation {
            rng: oorandom::Rand64::new(u128::from(seed)),
            balancers: nodes.iter().map(|&node| new_balancer(node, &nodes, &instances)).collect(),
            host_index_by_id: instances
                .iter()
                .enumerate()
                .map(|(n, instance)| (instance.id.clone(), n))
                .collect(),
            hosts: (0..scenario.hosts).map(|_| Host::default()).collect(),
            events: BTreeMap::new(),
            scheduled_events: 0,
            counts: Counts::default(),
            scenario,
        }
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.scheduled_events += 1;
        self.events.insert(((at * TICKS_PER_SECOND) as u64, self.scheduled_events), event);
    }

    /// Draws a service time in seconds, with a standard deviation of about half the mean.
    fn draw_service_time(&mut self) -> f64 {
        let normal: f64 = (0..12).map(|_| self.rng.rand_float()).sum::<f64>() - 6.0;
        MEAN_SERVICE_TIME * (0.47 * normal - 0.11).exp()
    }

    fn run(mut self, length: f64) -> Counts {
        let rate = self.scenario.load * (self.scenario.hosts * SLOTS) as f64 / MEAN_SERVICE_TIME;
        let mut at = 0.0;
        while at < length {
            at -= (1.0 - self.rng.rand_float()).ln() / rate;
            self.schedule(at, Event::ClientTries { first_try_at: at, earlier_tries: 0 });
        }
        while let Some(((ticks, _), event)) = self.events.pop_first() {
            let now = ticks as f64 / TICKS_PER_SECOND;
            match event {
                Event::ClientTries { first_try_at, earlier_tries } => {
                    self.client_tries(now, first_try_at, earlier_tries);
                }
                Event::AttemptArrives { host, attempt } => self.attempt_arrives(now, host, attempt),
                Event::ServiceEnds { host, attempt } => self.service_ends(now, host, attempt),
                Event::ResponseArrives { attempt, load, is_full } => {
                    self.response_arrives(now, attempt, load, is_full);
                }
            }
        }
        self.counts
    }

    fn client_tries(&mut self, now: f64, first_try_at: f64, earlier_tries: u32) {
        self.counts.offered += u32::from(earlier_tries == 0);
        let data_node = (self.rng.rand_float() * self.scenario.data_nodes as f64) as usize;
        let candidate = ShedCandidate { priority: 1, draw: self.rng.rand_float() };
        let request = HostRequest {
            service: "s",
            home_regions: &[],
            latency_target: LATENCY_TARGET,
            remaining: LATENCY_TARGET * 0.9,
            tried: &[],
            shed_candidate: Some(candidate),
        };
        match self.balancers[data_node].select(now, &request) {
            Some(selected) => {
                self.balancers[data_node].attempt_started(now, selected.key, LATENCY_TARGET);
                let host = self.host_index_by_id[&selected.id];
                let key = selected.key;
                let attempt = Attempt { data_node, key, sent_at: now, first_try_at, admitted_at: now };
                let arrives_at = now + self.scenario.one_way_delay;
                self.schedule(arrives_at, Event::AttemptArrives { host, attempt });
            }
            None if earlier_tries + 1 < MAX_TRIES => {
                let retry = Event::ClientTries { first_try_at, earlier_tries: earlier_tries + 1 };
                self.schedule(now + RETRY_DELAY, retry);
            }
            None => self.counts.rejected += 1,
        }
    }

    fn attempt_arrives(&mut self, now: f64, host: usize, attempt: Attempt) {
        if self.hosts[host].running < SLOTS {
            self.hosts[host].running += 1;
            let ends_at = now + self.draw_service_time();
            self.schedule(ends_at, Event::ServiceEnds { host, attempt });
        } else if self.hosts[host].waiting.len() < QUEUE_LENGTH {
            self.hosts[host].waiting.push_back(attempt);
        } else {
            let load = (SLOTS as f64, QUEUE_LENGTH as f64, SLOTS as f64);
            let full = Event::ResponseArrives { attempt, load, is_full: true };
            self.schedule(now + self.scenario.one_way_delay, full);
        }
    }

    fn service_ends(&mut self, now: f64, host: usize, attempt: Attempt) {
        self.hosts[host].running -= 1;
        if let Some(next) = self.hosts[host].waiting.pop_front() {
            self.hosts[host].running += 1;
            let ends_at = now + self.draw_service_time();
            self.schedule(ends_at, Event::ServiceEnds { host, attempt: next });
        }
        let Host { running, waiting } = &self.hosts[host];
        let load = (*running as f64, waiting.len() as f64, SLOTS as f64);
        let answer = Event::ResponseArrives { attempt, load, is_full: false };
        self.schedule(now + self.scenario.one_way_delay, answer);
    }

    fn response_arrives(&mut self, now: f64, attempt: Attempt, load: (f64, f64, f64), is_full: bool) {
        let end = if is_full { AttemptEnd::Full(Some(load)) } else { AttemptEnd::Answered(Some(load)) };
        let elapsed = now - attempt.sent_at;
        self.balancers[attempt.data_node].attempt_ended(now, attempt.key, elapsed, end);
        let received_at = now + CLIENT_DELAY;
        if is_full {
            self.counts.rejected_by_full_host += 1;
            let first_try_at = attempt.first_try_at;
            self.schedule(now + RETRY_DELAY, Event::ClientTries { first_try_at, earlier_tries: 1 });
        } else if received_at - attempt.first_try_at <= LATENCY_TARGET {
            self.counts.in_time += 1;
        } else if received_at - attempt.admitted_at <= LATENCY_TARGET {
            self.counts.in_time_from_admission += 1;
        } else {
            self.counts.late += 1;
        }
    }
}

/// Guards against assuming that a host without recent load reports is idle: the hosts' queues were full, and two thirds
/// of the admitted requests were answered late.
#[test]
fn overloaded_service_answers_requests_in_time_up_to_capacity() {
    for (data_nodes, hosts) in [(63, 27), (92, 40), (9, 8)] {
        let run_at = |load| {
            let scenario = Scenario { data_nodes, hosts, load, one_way_delay: 0.006 };
            Simulation::new(scenario, 1).run(20.0)
        };
        let fraction = |count: u32, counts: &Counts| f64::from(count) / f64::from(counts.offered);
        let underloaded = run_at(0.75);
        let (saturated, overloaded) = (run_at(1.05), run_at(1.3));
        assert!(
            fraction(underloaded.in_time, &underloaded) > 0.98 && underloaded.rejected == 0,
            "{underloaded:?}"
        );
        assert!(
            fraction(saturated.in_time, &saturated) > 0.58 && fraction(saturated.late, &saturated) < 0.25,
            "{saturated:?}"
        );
        // The offered load exceeds the capacity of the hosts by three tenths, and rejected clients try again.
        let (in_time, late) =
            (fraction(overloaded.in_time, &overloaded), fraction(overloaded.late, &overloaded));
        assert!(in_time > 0.33 && late < 0.3, "{overloaded:?}");
    }
}
