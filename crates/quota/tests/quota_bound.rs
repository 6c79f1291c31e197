//! Several data nodes on one counter, in simulated time: the quota's bound over all of them with the counter available,
//! unavailable, moved to another holder, and for data nodes that are partitioned from it. Guards against shares granted
//! twice and against rejections inside a quota.

use archlink_messages::{CounterAdd, NodeRank};
use archlink_quota::counter::{Counter, NEW_HOLDER_WAIT};
use archlink_quota::counter_client::{CounterClient, Quota, Verdict};
use archlink_quota::local_share::{LocalShare, QuotaBound};
use archlink_quota::pending_calls::CallResult;
use std::collections::VecDeque;

const BOUND: QuotaBound = QuotaBound { window: 5.0, overrun: 0.1, slack: 20.0 };
/// Start of a run, on the fleet's clock, in seconds.
const START: f64 = 1000.0;
/// Seconds between two steps of a run.
const STEP: f64 = 0.002;
/// Seconds from a data node to the counter, or back.
const ONE_WAY_DELAY: f64 = 0.02;

struct DataNode {
    client: CounterClient,
    share: LocalShare,
    /// Adds in flight, and when they arrive at the counter.
    adds_in_flight: VecDeque<(f64, Vec<CounterAdd>)>,
    /// Results in flight, and when they arrive at the data node.
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

    /// Delivers what has arrived at either end; `term` 0 is a counter that isn't reached.
    fn deliver(&mut self, now: f64, term: u64, counter: &mut Counter) {
        while self.adds_in_flight.front().is_some_and(|adds| adds.0 <= now) {
            let (_, adds) = self.adds_in_flight.pop_front().unwrap();
            if term == 0 {
                self.client.call_finished(now, CallResult::NotAdded(adds));
            } else {
                let totals = counter.add(now, term, &adds).unwrap();
                self.results_in_flight.push_back((now + ONE_WAY_DELAY, CallResult::Totals(adds, totals)));
            }
        }
        while self.results_in_flight.front().is_some_and(|result| result.0 <= now) {
            let (_, result) = self.results_in_flight.pop_front().unwrap();
            self.client.call_finished(now, result);
        }
        if self.client.wake_at().is_some_and(|at| at <= now) {
            self.client.timer_fired(now);
        }
    }

    /// The number of requests admitted by the counter or the share since the last call.
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

/// Runs `nodes` data nodes for `length` seconds with `offered` requests a second in all; `term(node, now)` is the term
/// of the counter that a node reaches, 0 for none. Returns when requests were admitted, in seconds from the start.
fn run(nodes: usize, quota: &Quota, offered: f64, length: f64, term: impl Fn(usize, f64) -> u64) -> Vec<f64> {
    let mut counter = Counter::default();
    let mut data_nodes: Vec<DataNode> = (0..nodes).map(|index| DataNode::new(index, nodes, quota)).collect();
    let (mut admitted_at, mut due, mut next_node) = (Vec::new(), 0.0, 0);
    for step in 0..(length / STEP) as u64 {
        let now = START + step as f64 * STEP;
        due += offered * STEP;
        while due >= 1.0 {
            due -= 1.0;
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

fn max_in_any_window(admitted_at: &[f64]) -> usize {
    let in_window_from =
        |n: usize| admitted_at[n..].iter().take_while(|at| **at < admitted_at[n] + BOUND.window).count();
    (0..admitted_at.len()).map(in_window_from).max().unwrap_or(0)
}

fn quota(rate: f64, burst: f64) -> Quota {
    Quota { tenant: "lab".into(), rate, burst, counted_fraction: 0.0 }
}

fn allowed(quota: &Quota) -> f64 {
    (quota.rate * BOUND.window + quota.burst) * (1.0 + BOUND.overrun) + BOUND.slack
}

#[test]
fn overloaded_quota_is_kept_and_used_with_the_counter_available() {
    for quota in [quota(120.0, 120.0), quota(8.0, 8.0), quota(30.0, 90.0)] {
        let admitted_at = run(9, &quota, quota.rate * 5.0, 16.0, |_, _| 1);
        let max = max_in_any_window(&admitted_at) as f64;
        assert!(max <= allowed(&quota), "{max} of {} for {quota:?}", allowed(&quota));
        let rate = admitted_at.iter().filter(|at| **at > 6.0).count() as f64 / 10.0;
        assert!(rate >= quota.rate * 0.95, "{rate} a second for {quota:?}");
    }
}

#[test]
fn tenant_within_its_quota_is_not_rejected() {
    let quota = quota(60.0, 60.0);
    let admitted_at = run(9, &quota, 37.0, 12.0, |_, _| 1);
    assert!(admitted_at.len() as f64 >= 37.0 * 12.0 * 0.99 - 2.0, "{}", admitted_at.len());
}

/// Four data nodes lose the counter and go on alone while the others keep it busy; then it moves to a new holder, which
/// does not answer at first; and some reach it again.
#[test]
fn bound_holds_through_a_partition_and_a_new_holder() {
    for quota in [quota(120.0, 120.0), quota(8.0, 8.0)] {
        let term = |node: usize, now: f64| match now - START {
            t if node < 4 && (3.0..9.0).contains(&t) => 0,
            t if (7.0..7.1 + NEW_HOLDER_WAIT).contains(&t) => 0,
            t if t < 7.0 => 1,
            _ => 2,
        };
        let admitted_at = run(9, &quota, quota.rate * 6.0, 20.0, term);
        let max = max_in_any_window(&admitted_at) as f64;
        assert!(max <= allowed(&quota), "{max} of {} for {quota:?}", allowed(&quota));
    }
}

/// With many data nodes a small quota has no useful shares: the counter grants nearly all of it, and the bound holds.
#[test]
fn small_quota_is_served_among_many_data_nodes() {
    for (rate, nodes) in [(6.0, 63), (40.0, 92)] {
        let quota = quota(rate, rate);
        let calm = run(nodes, &quota, rate * 0.6, 20.0, |_, _| 1);
        assert!(calm.len() as f64 >= rate * 0.6 * 20.0 * 0.97 - 2.0, "{} of {rate}", calm.len());
        let overloaded = run(nodes, &quota, rate * 5.0, 12.0, |_, _| 1);
        let max = max_in_any_window(&overloaded) as f64;
        assert!(max <= allowed(&quota), "{max} of {}", allowed(&quota));
    }
}

/// Without any counter the local shares alone admit requests: within their sum, and most of it.
#[test]
fn unavailable_counter_leaves_the_local_shares() {
    let quota = quota(120.0, 120.0);
    let admitted_at = run(9, &quota, 600.0, 15.0, |_, _| 0);
    let max = max_in_any_window(&admitted_at) as f64;
    assert!(max <= BOUND.total_shares(quota.rate, quota.burst, 9), "{max}");
    assert!(max >= BOUND.total_shares(quota.rate, quota.burst, 9) * 0.8, "{max}");
}

/// "Not added" holds for all adds of a call, and a term that is over adds nothing: the client claims them again.
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
