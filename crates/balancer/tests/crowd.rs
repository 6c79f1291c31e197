//! Many gateways before few hosts, in made-up time: open-loop clients whose requests are all bound to one service with less
//! room than they ask for. Looked at is what arrives in its goal time, not that a formula holds.

use archlink_balancer::balancer::{
    AttemptEnd, Balancer, HostRequest, QueueTicket, ServiceLimits, WarmUpBound,
};
use archlink_messages::{HostInstance, NodeId};
use std::collections::{BTreeMap, HashMap, VecDeque};

const GOAL: f64 = 0.5;
const WORK: f64 = 0.12;
const SLOTS: usize = 2;
const QUEUE: usize = 8;
/// From one try of a client to the next: the way there and back, and the time that it is told.
const COME_BACK: f64 = 0.085;

struct Crowd {
    gateways: usize,
    hosts: usize,
    /// Of what the hosts can work off.
    load: f64,
    way: f64,
}

#[derive(Default, Debug)]
struct Seen {
    asked: u32,
    in_time: u32,
    late: u32,
    mended: u32,
    refused: u32,
    shed: u32,
}

#[derive(Clone, Copy)]
enum What {
    /// A client asks: its first try was at, and how many before this one.
    Asks {
        first: f64,
        tries: u32,
    },
    Arrives {
        gateway: usize,
        key: u64,
        host: usize,
        sent: f64,
        first: (f64, f64),
    },
    Ends {
        host: usize,
        gateway: usize,
        key: u64,
        sent: f64,
        first: (f64, f64),
    },
    Answers {
        gateway: usize,
        key: u64,
        sent: f64,
        first: (f64, f64),
        load: (f64, f64, f64),
        full: bool,
    },
}

#[derive(Default)]
struct Host {
    running: usize,
    waiting: VecDeque<(usize, u64, f64, (f64, f64))>,
}

fn play(crowd: &Crowd, length: f64, seed: u64) -> Seen {
    let mut chance = oorandom::Rand64::new(u128::from(seed));
    let nodes: Vec<NodeId> = (0..crowd.gateways as NodeId).map(|n| 0x0a01_0000 + n).collect();
    let address = "10.0.0.1:80".parse().unwrap();
    let lines: Vec<HostInstance> = (0..crowd.hosts)
        .map(|n| HostInstance {
            id: format!("i-{n:03}"),
            service: "s".into(),
            address,
            zone: "z".into(),
            capacity: SLOTS as u32,
            draining: false,
            warm_up_seconds: 0.0,
        })
        .collect();
    let number: HashMap<String, usize> = lines.iter().enumerate().map(|(n, l)| (l.id.clone(), n)).collect();
    let mut all: Vec<Balancer> = (nodes.iter())
        .map(|&node| {
            let zones = HashMap::from([("z".to_string(), "r".to_string())]);
            let cold = WarmUpBound { overrun: 1.5, slack: 5.0 };
            let mut balancer = Balancer::new(node, "z".into(), "r".into(), zones, cold, u64::from(node));
            balancer.set_gateways(&nodes);
            balancer.set_services([("s".into(), ServiceLimits::default())].into());
            balancer.update_hosts(0.0, &lines);
            balancer
        })
        .collect();
    let mut hosts: Vec<Host> = (0..crowd.hosts).map(|_| Host::default()).collect();
    let mut queue: BTreeMap<(u64, u64), What> = BTreeMap::new();
    let mut serial = 0;
    let mut put = |queue: &mut BTreeMap<(u64, u64), What>, at: f64, what: What| {
        serial += 1;
        queue.insert(((at * 1e7) as u64, serial), what);
    };
    let rate = crowd.load * (crowd.hosts * SLOTS) as f64 / WORK;
    let mut at = 0.0;
    while at < length {
        at -= (1.0 - chance.rand_float()).ln() / rate;
        put(&mut queue, at, What::Asks { first: at, tries: 0 });
    }
    // Work differs from request to request as far as half of its mean.
    let work = |chance: &mut oorandom::Rand64| {
        let normal: f64 = (0..12).map(|_| chance.rand_float()).sum::<f64>() - 6.0;
        WORK * (0.47 * normal - 0.11).exp()
    };
    let mut seen = Seen::default();
    while let Some(((ticks, _), what)) = queue.pop_first() {
        let now = ticks as f64 / 1e7;
        match what {
            What::Asks { first, tries } => {
                seen.asked += u32::from(tries == 0);
                let gateway = (chance.rand_float() * crowd.gateways as f64) as usize;
                let door = QueueTicket { priority: 1, draw: chance.rand_float() };
                let need = HostRequest {
                    service: "s",
                    home_regions: &[],
                    latency_target: GOAL,
                    remaining: GOAL * 0.9,
                    tried: &[],
                    queue_ticket: Some(door),
                };
                match all[gateway].select(now, &need) {
                    Some(to) => {
                        all[gateway].attempt_started(now, to.key, GOAL);
                        let (host, key, sent) = (number[&to.id], to.key, now);
                        let first = (first, now);
                        put(&mut queue, now + crowd.way, What::Arrives { gateway, key, host, sent, first });
                    }
                    None if tries < 3 => {
                        put(&mut queue, now + COME_BACK, What::Asks { first, tries: tries + 1 });
                    }
                    None => seen.refused += 1,
                }
            }
            What::Arrives { gateway, key, host, sent, first } => {
                let (here, n) = (&mut hosts[host], host);
                if here.running < SLOTS {
                    here.running += 1;
                    put(
                        &mut queue,
                        now + work(&mut chance),
                        What::Ends { host: n, gateway, key, sent, first },
                    );
                } else if here.waiting.len() < QUEUE {
                    here.waiting.push_back((gateway, key, sent, first));
                } else {
                    let load = (SLOTS as f64, QUEUE as f64, SLOTS as f64);
                    let full = What::Answers { gateway, key, sent, first, load, full: true };
                    put(&mut queue, now + crowd.way, full);
                }
            }
            What::Ends { host, gateway, key, sent, first } => {
                let here = &mut hosts[host];
                here.running -= 1;
                if let Some((gateway, key, sent, first)) = here.waiting.pop_front() {
                    here.running += 1;
                    put(&mut queue, now + work(&mut chance), What::Ends { host, gateway, key, sent, first });
                }
                let load = (here.running as f64, here.waiting.len() as f64, SLOTS as f64);
                let whole = What::Answers { gateway, key, sent, first, load, full: false };
                put(&mut queue, now + crowd.way, whole);
            }
            What::Answers { gateway, key, sent, first, load, full } => {
                let end = if full { AttemptEnd::Full(Some(load)) } else { AttemptEnd::Answered(Some(load)) };
                all[gateway].attempt_ended(now, key, now - sent, end);
                let way_to_client = 0.02;
                match full {
                    true => {
                        seen.shed += 1;
                        put(&mut queue, now + COME_BACK, What::Asks { first: first.0, tries: 1 });
                    }
                    false if now + way_to_client - first.0 <= GOAL => seen.in_time += 1,
                    false if now + way_to_client - first.1 <= GOAL => seen.mended += 1,
                    false => seen.late += 1,
                }
            }
        }
    }
    seen
}

/// Guards against hosts taken for idle that nobody has heard of lately: their queues stood full, and two thirds of what was
/// let in came late.
#[test]
fn among_many_gateways_a_full_service_answers_in_time_what_it_can() {
    for (gateways, hosts) in [(63, 27), (92, 40), (9, 8)] {
        let at = |load| play(&Crowd { gateways, hosts, load, way: 0.006 }, 20.0, 1);
        let part = |n: u32, seen: &Seen| f64::from(n) / f64::from(seen.asked);
        let calm = at(0.75);
        let (full, over) = (at(1.05), at(1.3));
        assert!(part(calm.in_time, &calm) > 0.98 && calm.refused == 0, "{calm:?}");
        assert!(part(full.in_time, &full) > 0.58 && part(full.late, &full) < 0.25, "{full:?}");
        // Three in ten are beyond what the hosts can do at all, and those at the door keep coming back.

        assert!(part(over.in_time, &over) > 0.33 && part(over.late, &over) < 0.3, "{over:?}");
    }
}
