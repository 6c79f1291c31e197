//! Tiers, windows and rate limits of a plan while the counter replies; one regression test for each failure found.

use crate::harness::{Harness, settings};
use crate::quota_requests::{admitted, quota_settings, request_is_admitted};
use archlink_admission::interface::*;
use archlink_admission::quota::{Tier, tiers};
use quickcheck::{Gen, QuickCheck, TestResult};

#[test]
fn tiers_together_stay_within_the_quota() {
    for (rate, burst, units) in
        [(5.0, 40.0, 4.0), (1.6, 12.0, 6.0), (20.0, 30.0, 1.0), (0.01, 9.0, 1.0), (3.0, 0.5, 1.0)]
    {
        let plan = PlanLimits { rate, burst, overage_cost: 1.0, ..PlanLimits::default() };
        let all = tiers(&plan, units);
        let at_once: f64 = all
            .iter()
            .map(|tier| {
                tier.limit * (1.0 + (tier.active / tier.window).min(1.0) * f64::from(tier.cooldown > 0.0))
            })
            .sum();
        let sustained_rate = |tier: &Tier| match tier.cooldown > 0.0 {
            true => tier.limit * (1.0 + tier.active / tier.window) / (tier.active + tier.cooldown),
            false => tier.limit / tier.window,
        };
        assert!(at_once <= burst + 1e-9, "rate {rate}, burst {burst}: {at_once} at once");
        assert!(
            all.iter().map(sustained_rate).sum::<f64>() <= rate + 1e-9,
            "rate {rate}, burst {burst}: the tiers exceed the rate"
        );
    }
}

#[test]
fn burst_enters_the_burst_tier_once_and_again_after_its_cooldown() {
    let mut harness = Harness::new(AdmissionSettings { max_units: 1.0, ..quota_settings() }, 5);
    let all = tiers(&harness.checker.settings.plans[0], 1.0);
    let (base, above) = (all[0].limit as usize, all[1].limit as usize);
    assert_eq!(admitted(&mut harness, 60), base + above, "base and burst tier, then rejected");
    harness.advance(all[1].active / 2.0);
    let during = admitted(&mut harness, 60);
    // The burst tier has ended: the base tier is in use again and has drained, but the burst tier is in its cooldown.
    harness.advance(all[1].active);
    let after = admitted(&mut harness, 60);
    assert!(
        after > during && after < base,
        "{during} while the burst tier replaces the base tier, {after} after"
    );
    harness.advance(all[1].active + all[1].cooldown + all[0].window);
    assert_eq!(admitted(&mut harness, 60), base + above, "the burst tier may be entered again");
}

/// A third of a small burst's units was lost, because neither tier's limit was a whole number of requests.
#[test]
fn small_burst_is_not_split_into_tiers() {
    let plan = PlanLimits { rate: 1.5, burst: 8.0, ..quota_settings().plans[0].clone() };
    assert_eq!(tiers(&plan, 1.0).iter().map(|tier| tier.limit).collect::<Vec<_>>(), [8.0]);
    assert_eq!(tiers(&PlanLimits { rate: 8.0, burst: 37.0, ..plan }, 1.0).len(), 2);
}

#[test]
fn units_of_rejected_requests_are_refunded() {
    let mut harness = Harness::new(quota_settings(), 5);
    let sent = admitted(&mut harness, 60) as f64;
    let units: f64 =
        harness.counter_totals.values().map(|(total, _)| *total).filter(|total| *total > 2.0).sum();
    assert_eq!(units, sent, "the windows hold the admitted units and nothing else");
}

/// Whatever the sequence of requests, those admitted by two gateways stay within a plain token bucket of the quota.
#[test]
fn quota_holds_across_gateways() {
    fn property(steps: Vec<(u8, u8)>) -> TestResult {
        let mut harnesses = [Harness::new(quota_settings(), 5), Harness::new(quota_settings(), 5)];
        let (mut tokens, mut now) = (40.0_f64, 0.0);
        for (wait, units) in steps {
            let wait = f64::from(wait % 64).powi(2) / 400.0;
            harnesses.iter_mut().for_each(|harness| harness.advance(wait));
            tokens = (tokens + 5.0 * (harnesses[0].checker.now - now)).min(40.0);
            now = harnesses[0].checker.now;
            let (at, units) = (usize::from(units) % 2, f64::from(units / 2 % 4) + 1.0);
            let totals = std::mem::take(&mut harnesses[1 - at].counter_totals);
            harnesses[at].counter_totals = totals;
            tokens -= if request_is_admitted(&mut harnesses[at], 1, units) { units } else { 0.0 };
            let totals = std::mem::take(&mut harnesses[at].counter_totals);
            harnesses[1 - at].counter_totals = totals;
            if tokens < -0.02 {
                return TestResult::error(format!("{tokens} tokens at {now} s"));
            }
        }
        TestResult::passed()
    }
    let property: fn(Vec<(u8, u8)>) -> TestResult = property;
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 3)).tests(60).quickcheck(property);
}

/// An even part of the rate limit rejected customers far within their quota whose requests came unevenly.
#[test]
fn rate_limit_above_the_quota_is_enforced_by_the_counter_and_even_parts() {
    let plan = PlanLimits {
        rate: 2.0,
        burst: 8.0,
        rate_limit: 4.0,
        rate_limit_burst: 16.0,
        ..quota_settings().plans[0].clone()
    };
    let mut harness = Harness::new(AdmissionSettings { plans: vec![plan], gateways: 4, ..settings() }, 5);
    harness.spread = 4;
    assert!(admitted(&mut harness, 20) >= 6, "the quota, all through one gateway");
    let mut admitted_without_counter = |seconds: f64| {
        harness.advance(seconds);
        (0..40)
            .filter(|_| {
                harness.checker.counter_calls.clear();
                let id = harness.arrive(0, 0, 2, 1.0, 2.5);
                harness.advance(0.06);
                let admitted = harness.attempt_count(id) > 0;
                harness.end_attempt(id, 0, Outcome::Answered);
                admitted
            })
            .count()
    };
    let (soon, later) = (admitted_without_counter(0.0), admitted_without_counter(20.0));
    assert!(soon <= 2, "{soon} admitted: the even part starts empty");
    assert!((1..=6).contains(&later), "{later} admitted: an even part of the burst above the quota");
}

#[test]
fn true_units_are_settled_with_the_next_add() {
    let mut harness = Harness::new(AdmissionSettings { settles: true, ..quota_settings() }, 5);
    let id = harness.arrive(0, 0, 1, 2.0, 2.5);
    harness.answer_counter_calls();
    let (now, host) = (harness.checker.now, harness.checker.requests[&id].attempts[0].host);
    let (outcome, load, true_units) = (Outcome::Answered, Load::default(), 3.0);
    let ended = AttemptResult {
        request: id,
        attempt: 0,
        final_attempt: true,
        outcome,
        elapsed: 0.1,
        true_units,
        host,
        load,
    };
    harness.admission.attempt_ended(now, &mut harness.checker, ended);
    harness.arrive(0, 0, 1, 2.0, 2.5);
    let adds: Vec<f64> = harness.checker.counter_calls.values().flatten().map(|c| c.0).collect();
    assert_eq!(adds, [3.0], "two units, and the one by which the first request was underestimated");
}

#[test]
fn overage_is_bounded_by_the_tier_beyond_the_quota() {
    let mut settings = quota_settings();
    settings.plans[0].overage_revenue = 0.5;
    let mut harness = Harness::new(settings, 5);
    let admitted = admitted(&mut harness, 200);
    assert!(admitted > 40 && admitted <= 80, "{admitted}: the quota's burst, then up to one more");
}

/// Sends requests of one customer, two units each, at these times, each to a gateway that has never seen the customer.
/// Returns how many were admitted, and the number of calls to the counter.
fn each_at_a_new_gateway(rate: f64, burst: f64, times: impl Iterator<Item = f64>) -> (usize, usize) {
    let plans = vec![PlanLimits { rate, burst, ..PlanLimits::default() }];
    let settings = AdmissionSettings { plans, gateways: 300, ..settings() };
    let (mut totals, mut admitted, mut calls) = (std::collections::BTreeMap::new(), 0, 0);
    for at in times {
        let mut harness = Harness::new(settings.clone(), 5);
        (harness.spread, harness.checker.now) = (200, 1000.0 + at);
        harness.counter_totals = std::mem::take(&mut totals);
        let id = harness.arrive(0, 0, 1, 2.0, 2.5);
        while let Some(key) =
            harness.checker.counter_calls.iter().find(|(_, calls)| !calls.is_empty()).map(|(key, _)| *key)
        {
            calls += 1;
            harness.answer_counter_call(key, Some(true));
        }
        admitted += harness.attempt_count(id);
        totals = harness.counter_totals;
    }
    (admitted, calls)
}

/// With hundreds of gateways each request of a customer reaches one that has not seen the customer before. Many requests
/// within the quota were rejected there, as if all earlier use had come at the end of its window, and most made a second
/// call to read the closed window.
#[test]
fn single_total_suffices_for_a_gateway_new_to_the_customer() {
    let bursts = (0..80).map(|n| f64::from(n % 8) * 0.5 + f64::from(n / 8) * 8.0);
    let (within, calls) = each_at_a_new_gateway(3.0, 12.0, bursts);
    assert!(within >= 74, "{within} of 80 admitted at two thirds of the rate, in bursts of the plan's size");
    assert!(calls <= 110, "{calls} calls for 80");
    let (beyond, _) = each_at_a_new_gateway(3.0, 12.0, (0..240).map(|n| f64::from(n) * 0.2));
    let part = beyond as f64 / (12.0 + 3.0 * 48.0) * 2.0;
    assert!((0.8..=1.1).contains(&part), "{part} of the quota at three times the rate");
}
