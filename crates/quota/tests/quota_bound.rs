//! Several data nodes with one counter, in simulated time: the quota's bound over all data nodes while the counter is
//! available, unavailable, moved to another holder, or partitioned from some of them. Guards against shares that are granted
//! twice and against rejections within a quota.

use archlink_messages::{CounterAdd, NodeRank};
use archlink_quota::counter::{Counter, NEW_HOLDER_WAIT};
use archlink_quota::counter_client::{CounterClient, Quota, Verdict};
use archlink_quota::local_share::{LocalShare, QuotaBound};
use archlink_quota::pending_calls::CallResult;
use std::collections::VecDeque;

const BOUND: QuotaBound = QuotaBound { window: 5.0, overrun: 0.1, slack: 20.0 };
/// Start of a run, in seconds on the cluster clock.
const START: f64 = 1000.0;
/// Seconds between two steps of a run.
const STEP: f64 = 0.002;
/// Seconds that a message takes from a data node to the counter, or back.
const ONE_WAY_DELAY: f64 = 0.02;

struct DataNode {
    client: CounterClient,
    share: LocalShare,
    /// Adds in flight, with their arrival times at the counter.
    adds_in_flight: VecDeque<(f64, Vec<CounterAdd>)>,
    /// Results in flight, with their arrival times at the data node.
    results_in_flight: VecDeque<(f64, CallResult)>,
}

impl DataNode {
    fn new(index: usize, nodes: usize, quota: &Quota) -> DataNode {
        let mut client = CounterClient::new(START, index as u64);
        let counted = BOUND.counted_fraction(quota.rate, quota.burst, nodes as u32);
        client.set_quotas(&[Quota { counted_fraction: counted, ..quota.clone() }]);
        DataNode {
            client,
            share: LocalShare::new(START - BOUND.window),
            adds_in_flight: VecDeque::new(),
            results_in_flight: VecDeque::new(),
        }
    }

    /// Delivers the messages that have arrived at either end. A `term` of 0 means that the counter is unreachable.
    fn deliver(&mut self, now: f64, term: u64, counter: &mut Counter) {
        while self.adds_in_flight.front().is_some_and(|(arrives_at, _)| *arrives_at <= now) {
            let (_, adds) = self.adds_in_flight.pop_front().unwrap();
            if term == 0 {
                self.client.call_finished(now, CallResult::NotAdded(adds));
            } else {
                let totals = counter.add(now, term, &adds).unwrap();
                self.results_in_flight.push_back((now + ONE_WAY_DELAY, CallResult::Totals(adds, totals)));
            }
        }
        while self.results_in_flight.front().is_some_and(|(arrives_at, _)| *arrives_at <= now) {
            let (_, result) = self.results_in_flight.pop_front().unwrap();
            self.client.call_finished(now, result);
        }
        if self.client.wake_at().is_some_and(|at| at <= now) {
            self.client.timer_fired(now);
        }
    }

    /// Decides the requests that got a verdict since the last call, and returns how many the counter or the share admits.
    fn admit(&mut self, now: f64, quota: &Quota, rank: NodeRank) -> usize {
        let mut admitted = 0;
        for (_, verdict) in self.client.take_verdicts() {
            let mut by_share = || self.share.try_admit(now, &BOUND, quota.rate, quota.burst, rank);
            admitted += usize::from(verdict == Verdict::Granted || by_share());
        }
        admitted
    }

    fn send_adds(&mut self, now: f64) {
        let adds = self.client.take_adds();
        if !adds.is_empty() {
            self.adds_in_flight.push_back((now + ONE_WAY_DELAY, adds));
        }
    }
}

/// Runs `nodes` data nodes for `duration` seconds with `offered_rate` requests per second in total. `term(node, now)` is the
/// term of the counter that a node reaches, 0 for none. Returns the times at which requests were admitted, in seconds from
/// the start.
fn run(
    nodes: usize,
    quota: &Quota,
    offered_rate: f64,
    duration: f64,
    term: impl Fn(usize, f64) -> u64,
) -> Vec<f64> {
    let mut counter = Counter::default();
    let mut data_nodes: Vec<DataNode> = (0..nodes).map(|index| DataNode::new(index, nodes, quota)).collect();
    let (mut admitted_at, mut due_requests, mut next_node) = (Vec::new(), 0.0, 0);
    for step in 0..(duration / STEP) as u64 {
        let now = START + step as f64 * STEP;
        due_requests += offered_rate * STEP;
        while due_requests >= 1.0 {
            due_requests -= 1.0;
            next_node = (next_node + 1) % nodes;
            data_nodes[next_node].client.request(now, &quota.tenant, 1.0);
        }
        for (index, node) in data_nodes.iter_mut().enumerate() {
            node.deliver(now, term(index, now), &mut counter);
            let admitted = node.admit(now, quota, NodeRank { rank: index, nodes });
            admitted_at.extend(std::iter::repeat_n(now - START, admitted));
            node.send_adds(now);
        }
    }
    admitted_at
}

/// The largest number of requests admitted in any window.
fn max_in_any_window(admitted_at: &[f64]) -> usize {
    let in_window_from = |first: usize| {
        admitted_at[first..].iter().take_while(|at| **at < admitted_at[first] + BOUND.window).count()
    };
    (0..admitted_at.len()).map(in_window_from).max().unwrap_or(0)
}

fn quota(rate: f64, burst: f64) -> Quota {
    Quota { tenant: "lab".into(), rate, burst, counted_fraction: 0.0 }
}

/// The bound on the requests of a tenant that all data nodes admit in any window.
fn allowed(quota: &Quota) -> f64 {
    (quota.rate * BOUND.window + quota.burst) * (1.0 + BOUND.overrun) + BOUND.slack
}

#[test]
fn overloaded_quota_is_enforced_and_used_with_the_counter_available() {
    for quota in [quota(120.0, 120.0), quota(8.0, 8.0), quota(30.0, 90.0)] {
        let admitted_at = run(9, &quota, quota.rate * 5.0, 16.0, |_, _| 1);
        let max = max_in_any_window(&admitted_at) as f64;
        assert!(
            max <= allowed(&quota),
            "{max} admitted in a window, {} are allowed for {quota:?}",
            allowed(&quota)
        );
        let rate = admitted_at.iter().filter(|at| **at > 6.0).count() as f64 / 10.0;
        assert!(rate >= quota.rate * 0.95, "only {rate} requests per second were admitted for {quota:?}");
    }
}

#[test]
fn tenant_within_its_quota_is_not_rejected() {
    let quota = quota(60.0, 60.0);
    let admitted_at = run(9, &quota, 37.0, 12.0, |_, _| 1);
    assert!(
        admitted_at.len() as f64 >= 37.0 * 12.0 * 0.99 - 2.0,
        "only {} requests were admitted",
        admitted_at.len()
    );
}

/// Four data nodes lose the counter and use their local shares while the others keep the counter busy. Then the counter
/// moves to a new holder, which does not answer at first, and later the four reach it again.
#[test]
fn bound_holds_through_a_partition_and_a_new_holder() {
    for quota in [quota(120.0, 120.0), quota(8.0, 8.0)] {
        let term = |node: usize, now: f64| match now - START {
            elapsed if node < 4 && (3.0..9.0).contains(&elapsed) => 0,
            elapsed if (7.0..7.1 + NEW_HOLDER_WAIT).contains(&elapsed) => 0,
            elapsed if elapsed < 7.0 => 1,
            _ => 2,
        };
        let admitted_at = run(9, &quota, quota.rate * 6.0, 20.0, term);
        let max = max_in_any_window(&admitted_at) as f64;
        assert!(
            max <= allowed(&quota),
            "{max} admitted in a window, {} are allowed for {quota:?}",
            allowed(&quota)
        );
    }
}

/// With many data nodes the shares of a small quota are too small to be useful: the counter grants nearly the whole quota,
/// and the bound holds.
#[test]
fn small_quota_is_served_among_many_data_nodes() {
    for (rate, nodes) in [(6.0, 63), (40.0, 92)] {
        let quota = quota(rate, rate);
        let within_quota = run(nodes, &quota, rate * 0.6, 20.0, |_, _| 1);
        assert!(
            within_quota.len() as f64 >= rate * 0.6 * 20.0 * 0.97 - 2.0,
            "only {} requests were admitted at a rate of {rate}",
            within_quota.len()
        );
        let overloaded = run(nodes, &quota, rate * 5.0, 12.0, |_, _| 1);
        let max = max_in_any_window(&overloaded) as f64;
        assert!(max <= allowed(&quota), "{max} admitted in a window, {} are allowed", allowed(&quota));
    }
}

/// Without a counter the local shares alone admit requests: no more than their sum, and at least 80% of it.
#[test]
fn local_shares_alone_admit_while_the_counter_is_unavailable() {
    let quota = quota(120.0, 120.0);
    let admitted_at = run(9, &quota, 600.0, 15.0, |_, _| 0);
    let max = max_in_any_window(&admitted_at) as f64;
    assert!(max <= BOUND.total_shares(quota.rate, quota.burst, 9), "{max} admitted in a window");
    assert!(max >= BOUND.total_shares(quota.rate, quota.burst, 9) * 0.8, "{max} admitted in a window");
}

/// "Not added" holds for all adds of a call, and nothing is added for a term that has ended: the client claims such adds
/// again.
#[test]
fn full_counter_or_past_term_adds_nothing() {
    let add = |key: u64| CounterAdd { key, amount: 1.0, lifetime: 50.0 };
    let mut counter = Counter::default();
    let mut keys = 0;
    while counter.add(0.0, 2, &[add(keys)]).is_some() {
        keys += 1;
    }
    assert_eq!(counter.add(0.0, 2, &[add(0), add(keys)]), None);
    assert_eq!(counter.add(0.0, 1, &[add(0)]), None);
    assert_eq!(counter.add(0.0, 2, &[add(0)]), Some(vec![2.0]));
}
