//! Many data nodes before few hosts, in simulated time: open-loop clients whose requests are all bound to one service with
//! less capacity than they ask for. Checked is what is answered within its latency target, not that a formula holds.

use archlink_balancer::balancer::{
    AttemptEnd, Balancer, HostRequest, QueueTicket, ServiceLimits, WarmUpBound,
};
use archlink_messages::{HostInstance, NodeId};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Seconds.
const LATENCY_TARGET: f64 = 0.5;
/// Mean seconds of a request's work at a host.
const WORK: f64 = 0.12;
const SLOTS: usize = 2;
const QUEUE_LENGTH: usize = 8;
/// Seconds from one try of a client to the next: the way there and back, and the delay that it is told.
const RETRY_DELAY: f64 = 0.085;
/// Seconds from a data node to its client.
const WAY_TO_CLIENT: f64 = 0.02;
/// Tries that a client makes before it gives up.
const MAX_TRIES: u32 = 4;
/// Steps of the simulated clock in a second.
const TICKS_PER_SECOND: f64 = 1e7;

struct Scenario {
    data_nodes: usize,
    hosts: usize,
    /// Offered load as a multiple of what the hosts can serve.
    load: f64,
    /// Seconds from a data node to a host.
    one_way_delay: f64,
}

#[derive(Default, Debug)]
struct Counts {
    offered: u32,
    in_time: u32,
    late: u32,
    /// In time, counted from the try that was admitted.
    in_time_of_last_try: u32,
    rejected: u32,
    rejected_by_full_host: u32,
}

/// An attempt on its way.
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
    WorkEnds { host: usize, attempt: Attempt },
    AnswerArrives { attempt: Attempt, load: (f64, f64, f64), is_full: bool },
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
    host_of_id: HashMap<String, usize>,
    hosts: Vec<Host>,
    /// By time in ticks and order of scheduling.
    events: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
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

fn balancer_of(node: NodeId, nodes: &[NodeId], instances: &[HostInstance]) -> Balancer {
    let regions = HashMap::from([("z".to_string(), "r".to_string())]);
    let warm_up = WarmUpBound { overrun: 1.5, slack: 5.0 };
    let mut balancer = Balancer::new(node, "z".into(), "r".into(), regions, warm_up, u64::from(node));
    balancer.set_data_nodes(nodes);
    balancer.set_services([("s".into(), ServiceLimits::default())].into());
    balancer.update_hosts(0.0, instances);
    balancer
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Simulation {
        let nodes: Vec<NodeId> = (0..scenario.data_nodes as NodeId).map(|n| 0x0a01_0000 + n).collect();
        let instances = host_instances(scenario.hosts);
        Simulation {
            rng: oorandom::Rand64::new(u128::from(seed)),
            balancers: nodes.iter().map(|&node| balancer_of(node, &nodes, &instances)).collect(),
            host_of_id: instances.iter().enumerate().map(|(n, instance)| (instance.id.clone(), n)).collect(),
            hosts: (0..scenario.hosts).map(|_| Host::default()).collect(),
            events: BTreeMap::new(),
            scheduled: 0,
            counts: Counts::default(),
            scenario,
        }
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.scheduled += 1;
        self.events.insert(((at * TICKS_PER_SECOND) as u64, self.scheduled), event);
    }

    /// Seconds of one request's work, with a standard deviation of about half of the mean.
    fn draw_work(&mut self) -> f64 {
        let normal: f64 = (0..12).map(|_| self.rng.rand_float()).sum::<f64>() - 6.0;
        WORK * (0.47 * normal - 0.11).exp()
    }

    fn run(mut self, length: f64) -> Counts {
        let rate = self.scenario.load * (self.scenario.hosts * SLOTS) as f64 / WORK;
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
                Event::WorkEnds { host, attempt } => self.work_ends(now, host, attempt),
                Event::AnswerArrives { attempt, load, is_full } => {
                    self.answer_arrives(now, attempt, load, is_full);
                }
            }
        }
        self.counts
    }

    fn client_tries(&mut self, now: f64, first_try_at: f64, earlier_tries: u32) {
        self.counts.offered += u32::from(earlier_tries == 0);
        let data_node = (self.rng.rand_float() * self.scenario.data_nodes as f64) as usize;
        let ticket = QueueTicket { priority: 1, draw: self.rng.rand_float() };
        let request = HostRequest {
            service: "s",
            home_regions: &[],
            latency_target: LATENCY_TARGET,
            remaining: LATENCY_TARGET * 0.9,
            tried: &[],
            queue_ticket: Some(ticket),
        };
        match self.balancers[data_node].select(now, &request) {
            Some(selected) => {
                self.balancers[data_node].attempt_started(now, selected.key, LATENCY_TARGET);
                let host = self.host_of_id[&selected.id];
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
            let ends_at = now + self.draw_work();
            self.schedule(ends_at, Event::WorkEnds { host, attempt });
        } else if self.hosts[host].waiting.len() < QUEUE_LENGTH {
            self.hosts[host].waiting.push_back(attempt);
        } else {
            let load = (SLOTS as f64, QUEUE_LENGTH as f64, SLOTS as f64);
            let full = Event::AnswerArrives { attempt, load, is_full: true };
            self.schedule(now + self.scenario.one_way_delay, full);
        }
    }

    fn work_ends(&mut self, now: f64, host: usize, attempt: Attempt) {
        self.hosts[host].running -= 1;
        if let Some(next) = self.hosts[host].waiting.pop_front() {
            self.hosts[host].running += 1;
            let ends_at = now + self.draw_work();
            self.schedule(ends_at, Event::WorkEnds { host, attempt: next });
        }
        let Host { running, waiting } = &self.hosts[host];
        let load = (*running as f64, waiting.len() as f64, SLOTS as f64);
        let answer = Event::AnswerArrives { attempt, load, is_full: false };
        self.schedule(now + self.scenario.one_way_delay, answer);
    }

    fn answer_arrives(&mut self, now: f64, attempt: Attempt, load: (f64, f64, f64), is_full: bool) {
        let end = if is_full { AttemptEnd::Full(Some(load)) } else { AttemptEnd::Answered(Some(load)) };
        let elapsed = now - attempt.sent_at;
        self.balancers[attempt.data_node].attempt_ended(now, attempt.key, elapsed, end);
        let at_client = now + WAY_TO_CLIENT;
        if is_full {
            self.counts.rejected_by_full_host += 1;
            let first_try_at = attempt.first_try_at;
            self.schedule(now + RETRY_DELAY, Event::ClientTries { first_try_at, earlier_tries: 1 });
        } else if at_client - attempt.first_try_at <= LATENCY_TARGET {
            self.counts.in_time += 1;
        } else if at_client - attempt.admitted_at <= LATENCY_TARGET {
            self.counts.in_time_of_last_try += 1;
        } else {
            self.counts.late += 1;
        }
    }
}

/// Guards against hosts taken for idle that were not heard from lately: their queues were full, and two thirds of the
/// admitted requests were answered late.
#[test]
fn overloaded_service_answers_in_time_what_it_can() {
    for (data_nodes, hosts) in [(63, 27), (92, 40), (9, 8)] {
        let run = |load| {
            let scenario = Scenario { data_nodes, hosts, load, one_way_delay: 0.006 };
            Simulation::new(scenario, 1).run(20.0)
        };
        let part = |count: u32, counts: &Counts| f64::from(count) / f64::from(counts.offered);
        let calm = run(0.75);
        let (full, overloaded) = (run(1.05), run(1.3));
        assert!(part(calm.in_time, &calm) > 0.98 && calm.rejected == 0, "{calm:?}");
        assert!(part(full.in_time, &full) > 0.58 && part(full.late, &full) < 0.25, "{full:?}");
        // Three in ten are beyond what the hosts can serve at all, and rejected clients keep coming back.
        let (in_time, late) = (part(overloaded.in_time, &overloaded), part(overloaded.late, &overloaded));
        assert!(in_time > 0.33 && late < 0.3, "{overloaded:?}");
    }
}
