//! Several askers on one book, in made-up time: the rule's bound over all of them, with the counter at hand, silent, moved,
//! and for a gateway that is cut off. Guards against shares granted twice and against refusals inside a quota.

use archlink_messages::{CounterAdd, NodeRank};
use archlink_quota::counter::Counter;
use archlink_quota::counter_client::{Asker, Quota, Verdict};
use archlink_quota::local_share::{LocalShare, QuotaBound};
use archlink_quota::pending_calls::CallResult;
use std::collections::VecDeque;

const BOUND: QuotaBound = QuotaBound { window: 5.0, overrun: 0.1, slack: 20.0 };

struct Gateway {
    asker: Asker,
    share: LocalShare,
    /// Adds on their way, and when they arrive.
    way: VecDeque<(f64, Vec<CounterAdd>)>,
    back: VecDeque<(f64, CallResult)>,
}

/// Plays `gateways` for `length` seconds with `pressed` requests a second in all; `reach(gateway, now)` is the counter's
/// term, 0 where it isn't reached. Gives back when requests were let on.
fn play(
    gateways: usize,
    quota: &Quota,
    pressed: f64,
    length: f64,
    reach: impl Fn(usize, f64) -> u64,
) -> Vec<f64> {
    const STEP: f64 = 0.002;
    const WAY: f64 = 0.02;
    let start = 1000.0;
    let mut book = Counter::default();
    let mut all: Vec<Gateway> = (0..gateways)
        .map(|n| {
            let mut asker = Asker::new(start, n as u64);
            let counted = BOUND.counted_fraction(quota.rate, quota.burst, gateways as u32);
            asker.quotas(&[Quota { counted, ..quota.clone() }]);
            Gateway {
                asker,
                share: LocalShare::new(start - BOUND.window),
                way: VecDeque::new(),
                back: VecDeque::new(),
            }
        })
        .collect();
    let (mut let_on, mut due, mut next) = (Vec::new(), 0.0, 0);
    for step in 0..(length / STEP) as u64 {
        let now = start + step as f64 * STEP;
        due += pressed * STEP;
        while due >= 1.0 {
            due -= 1.0;
            next = (next + 1) % gateways;
            all[next].asker.request(now, &quota.tenant, 1.0);
        }
        for (n, gateway) in all.iter_mut().enumerate() {
            while gateway.way.front().is_some_and(|w| w.0 <= now) {
                let (_, adds) = gateway.way.pop_front().unwrap();
                match reach(n, now) {
                    0 => gateway.asker.call_finished(now, CallResult::NotAdded(adds)),
                    term => {
                        let totals = book.add(now, term, &adds).unwrap();
                        gateway.back.push_back((now + WAY, CallResult::Totals(adds, totals)));
                    }
                }
            }
            while gateway.back.front().is_some_and(|w| w.0 <= now) {
                let (_, settled) = gateway.back.pop_front().unwrap();
                gateway.asker.call_finished(now, settled);
            }
            if gateway.asker.wake_at().is_some_and(|at| at <= now) {
                gateway.asker.timer_fired(now);
            }
            for (_, verdict) in gateway.asker.take_verdicts() {
                let lot = NodeRank { rank: n, nodes: gateways };
                let mut share = || gateway.share.try_admit(now, &BOUND, quota.rate, quota.burst, lot);
                if verdict == Verdict::Granted || share() {
                    let_on.push(now - start);
                }
            }
            let adds = gateway.asker.take_adds();
            if !adds.is_empty() {
                gateway.way.push_back((now + WAY, adds));
            }
        }
    }
    let_on
}

fn most_in_a_window(let_on: &[f64]) -> usize {
    let from = |n: usize| let_on[n..].iter().take_while(|at| **at < let_on[n] + BOUND.window).count();
    (0..let_on.len()).map(from).max().unwrap_or(0)
}

fn quota(rate: f64, burst: f64) -> Quota {
    Quota { tenant: "lab".into(), rate, burst, counted: 0.0 }
}

fn allowed(quota: &Quota) -> f64 {
    (quota.rate * BOUND.window + quota.burst) * (1.0 + BOUND.overrun) + BOUND.slack
}

#[test]
fn a_pressed_quota_is_kept_and_used_with_the_counter_at_hand() {
    for quota in [quota(120.0, 120.0), quota(8.0, 8.0), quota(30.0, 90.0)] {
        let let_on = play(9, &quota, quota.rate * 5.0, 16.0, |_, _| 1);
        let most = most_in_a_window(&let_on) as f64;
        assert!(most <= allowed(&quota), "{most} of {} for {quota:?}", allowed(&quota));
        let rate = let_on.iter().filter(|at| **at > 6.0).count() as f64 / 10.0;
        assert!(rate >= quota.rate * 0.95, "{rate} a second for {quota:?}");
    }
}

#[test]
fn a_calm_tenant_is_let_on_whole() {
    let quota = quota(60.0, 60.0);
    let let_on = play(9, &quota, 37.0, 12.0, |_, _| 1);
    assert!(let_on.len() as f64 >= 37.0 * 12.0 * 0.99 - 2.0, "{}", let_on.len());
}

/// Four gateways lose the counter and go on alone while the others press it; then it moves to a new holder, which is
/// silent first; and some come back to it.
#[test]
fn the_quota_holds_for_gateways_cut_off_and_through_a_new_holder() {
    for quota in [quota(120.0, 120.0), quota(8.0, 8.0)] {
        let reach = |n: usize, now: f64| match now - 1000.0 {
            t if n < 4 && (3.0..9.0).contains(&t) => 0,
            t if (7.0..7.1 + archlink_quota::counter::NEW_HOLDER_SILENCE).contains(&t) => 0,
            t if t < 7.0 => 1,
            _ => 2,
        };
        let let_on = play(9, &quota, quota.rate * 6.0, 20.0, reach);
        let most = most_in_a_window(&let_on) as f64;
        assert!(most <= allowed(&quota), "{most} of {} for {quota:?}", allowed(&quota));
    }
}

/// Among many gateways a small quota has no share worth having: the counter grants nearly all of it, and the bound holds.
#[test]
fn a_small_quota_is_not_lost_among_many_gateways() {
    for (rate, gateways) in [(6.0, 63), (40.0, 92)] {
        let quota = quota(rate, rate);
        let calm = play(gateways, &quota, rate * 0.6, 20.0, |_, _| 1);
        assert!(calm.len() as f64 >= rate * 0.6 * 20.0 * 0.97 - 2.0, "{} of {rate}", calm.len());
        let pressed = play(gateways, &quota, rate * 5.0, 12.0, |_, _| 1);
        let most = most_in_a_window(&pressed) as f64;
        assert!(most <= allowed(&quota), "{most} of {}", allowed(&quota));
    }
}

/// Without any counter the shares alone let on, within their own sum, and still serve a calm tenant in part.
#[test]
fn a_silent_counter_leaves_the_shares() {
    let quota = quota(120.0, 120.0);
    let let_on = play(9, &quota, 600.0, 15.0, |_, _| 0);
    let most = most_in_a_window(&let_on) as f64;
    assert!(most <= BOUND.total_shares(quota.rate, quota.burst, 9), "{most}");
    assert!(most >= BOUND.total_shares(quota.rate, quota.burst, 9) * 0.8, "{most}");
}

/// "Not added" is true of all adds of a question, and a term that is over adds nothing: the asker claims them again.
#[test]
fn a_book_without_room_or_of_another_term_adds_nothing() {
    let add = |name: u64| CounterAdd { key: name, amount: 1.0, lifetime: 50.0 };
    let mut book = Counter::default();
    let mut fill = 0;
    while book.add(0.0, 2, &[add(fill)]).is_some() {
        fill += 1;
    }
    assert_eq!(book.add(0.0, 2, &[add(0), add(fill)]), None);
    assert_eq!(book.add(0.0, 1, &[add(0)]), None);
    assert_eq!(book.add(0.0, 2, &[add(0)]), Some(vec![2.0]));
}
