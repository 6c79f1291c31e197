//! One small test a failure found, and the life of a tier. The counter and hosts do what each test says.

use crate::world::{Answer, HOST, World, line, terms};
use archlink_admission::admission::Admission;
use archlink_admission::interface::*;
use archlink_admission::quota::{Tier, tiers};
use quickcheck::{Gen, QuickCheck, TestResult};

/// One lane of pure inquiries, one plan: 5 units a second, 40 at once.
fn quota() -> AdmissionSettings {
    let plan = PlanLimits { rate: 5.0, burst: 40.0, ..PlanLimits::default() };
    AdmissionSettings { plans: vec![plan], gateways: 1, ..terms() }
}

/// An inquiry whose calls are all answered and whose hand-off, if any, is honoured; true if it was sent on.
fn ask(world: &mut World, customer: u64, units: f64) -> bool {
    let id = world.arrive(0, 0, customer, units, 2.5);
    world.count_all();
    let sent = world.hand_offs(id) > 0;
    world.end(id, 0, Outcome::Answered);
    sent
}

fn granted(world: &mut World, tries: usize) -> usize {
    (0..tries).filter(|_| ask(world, 1, 1.0)).count()
}

#[test]
fn tiers_stay_inside_any_quota() {
    for (rate, burst, units) in
        [(5.0, 40.0, 4.0), (1.6, 12.0, 6.0), (20.0, 30.0, 1.0), (0.01, 9.0, 1.0), (3.0, 0.5, 1.0)]
    {
        let plan = PlanLimits { rate, burst, overage_cost: 1.0, ..PlanLimits::default() };
        let all = tiers(&plan, units);
        let at_once: f64 = all
            .iter()
            .map(|t| t.limit * (1.0 + (t.active / t.window).min(1.0) * f64::from(t.cooldown > 0.0)))
            .sum();
        let pace = |t: &Tier| match t.cooldown > 0.0 {
            true => t.limit * (1.0 + t.active / t.window) / (t.active + t.cooldown),
            false => t.limit / t.window,
        };
        assert!(at_once <= burst + 1e-9, "{rate} {burst}: {at_once} at once");
        assert!(all.iter().map(pace).sum::<f64>() <= rate + 1e-9, "{rate} {burst}: too fast");
    }
}

#[test]
fn a_burst_enters_the_tier_above_once_and_again_after_its_cooldown() {
    let mut world = World::new(AdmissionSettings { max_units: 1.0, ..quota() }, 5);
    let all = tiers(&world.rules.terms.plans[0], 1.0);
    let (base, above) = (all[0].limit as usize, all[1].limit as usize);
    assert_eq!(granted(&mut world, 60), base + above, "base and burst tier, then pushed back at once");
    world.pass(all[1].active / 2.0);
    let during = granted(&mut world, 60);
    // Lapsed: the base is back and has drained since, but the tier rests.
    world.pass(all[1].active);
    let after = granted(&mut world, 60);
    assert!(after > during && after < base, "{during} while shadowed, {after} after");
    world.pass(all[1].active + all[1].cooldown + all[0].window);
    assert_eq!(granted(&mut world, 60), base + above, "the tier may be entered again");
}

/// A third of a small burst's units was lost: neither tier's limit held a whole number of inquiries.
#[test]
fn a_burst_of_a_few_inquiries_is_not_split() {
    let plan = PlanLimits { rate: 1.5, burst: 8.0, ..quota().plans[0].clone() };
    assert_eq!(tiers(&plan, 1.0).iter().map(|t| t.limit).collect::<Vec<_>>(), [8.0]);
    assert_eq!(tiers(&PlanLimits { rate: 8.0, burst: 37.0, ..plan }, 1.0).len(), 2);
}

#[test]
fn what_is_refused_is_taken_back() {
    let mut world = World::new(quota(), 5);
    let sent = granted(&mut world, 60) as f64;
    let units: f64 = world.totals.values().map(|t| t.0).filter(|t| *t > 2.0).sum();
    assert_eq!(units, sent, "the windows hold what was sent on and nothing else");
}

/// A plain store beside the module: whatever comes, what is sent on through two gateways stays inside the quota.
#[test]
fn the_quota_holds_across_gateways() {
    fn property(steps: Vec<(u8, u8)>) -> TestResult {
        let mut worlds = [World::new(quota(), 5), World::new(quota(), 5)];
        let (mut store, mut now) = (40.0_f64, 0.0);
        for (wait, units) in steps {
            let wait = f64::from(wait % 64).powi(2) / 400.0;
            worlds.iter_mut().for_each(|w| w.pass(wait));
            store = (store + 5.0 * (worlds[0].rules.now - now)).min(40.0);
            now = worlds[0].rules.now;
            let (at, units) = (usize::from(units) % 2, f64::from(units / 2 % 4) + 1.0);
            let totals = std::mem::take(&mut worlds[1 - at].totals);
            worlds[at].totals = totals;
            store -= if ask(&mut worlds[at], 1, units) { units } else { 0.0 };
            let totals = std::mem::take(&mut worlds[at].totals);
            worlds[1 - at].totals = totals;
            if store < -0.02 {
                return TestResult::error(format!("{store} at {now}"));
            }
        }
        TestResult::passed()
    }
    let property: fn(Vec<(u8, u8)>) -> TestResult = property;
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 3)).tests(60).quickcheck(property);
}

/// Where goals are short, a busy counter's answer after a tenth of one was taken for a silent counter's.
#[test]
fn a_busy_counter_is_waited_for_where_goals_are_short() {
    let mut terms = quota();
    terms.classes.iter_mut().for_each(|lane| lane.latency_target = 0.21);
    let mut world = World::new(terms, 5);
    for _ in 0..20 {
        let id = world.arrive(0, 0, 1, 1.0, 0.8);
        world.pass(0.02);
        assert_eq!(world.hand_offs(id), 0, "decided alone");
        world.count_all();
        assert_eq!(world.hand_offs(id), 1);
        world.end(id, 0, Outcome::Answered);
    }
}

/// Alone, a customer inside its quota whose inquiries came here close together by chance was refused each second one.
#[test]
fn alone_an_uneven_customer_owes_a_burst_ahead_and_no_more() {
    let plan = PlanLimits { rate: 1.0, burst: 4.0, ..PlanLimits::default() };
    let terms = AdmissionSettings { plans: vec![plan], may_count: false, ..terms() };
    let mut world = World::new(terms, 5);
    let mut asks = |seconds: f64| {
        world.pass(seconds);
        ask(&mut world, 1, 2.0)
    };
    assert_eq!([0.0, 0.1, 4.9, 1.0].map(&mut asks), [true, false, true, true], "at 0, 0.1, 5 and 6 s");
    let more = (0..400).filter(|_| asks(0.5)).count();
    assert!((48..=52).contains(&more), "{more} of two units, each for two gateways, in 200 s");
}

/// A counter whose connections break now and then is neither slow nor crowded: it was hardly asked for seconds.
#[test]
fn calls_cut_off_in_time_spare_the_counter_nothing() {
    let mut world = World::new(quota(), 5);
    let asked = |world: &World| world.rules.calls.values().map(|calls| calls.len()).sum::<usize>();
    for customer in 0..60 {
        let id = world.arrive(0, 0, customer, 1.0, 2.5);
        assert_eq!(asked(&world), 1, "customer {customer} was decided without asking");
        let name = *world.rules.calls.iter().find(|c| !c.1.is_empty()).unwrap().0;
        world.count(name, None);
        world.end(id, 0, Outcome::Answered);
    }
}

/// A client that leaves early sent its host to rest, as if the host had been silent.
#[test]
fn a_client_that_leaves_early_costs_its_host_nothing() {
    let mut world = World::new(quota(), 1);
    for _ in 0..5 {
        let id = world.arrive(0, 0, 1, 1.0, 2.5);
        world.count_all();
        assert_eq!(world.hand_offs(id), 1, "its host rests");
        world.pass(0.05);
        world.rules.taken.entry(id).and_modify(|t| t.answer = Some(Answer::Left));
        world.gateway.client_disconnected(world.rules.now, &mut world.rules, id);
        world.pass(0.01);
    }
}

/// One silent connection in fifty sent hosts to rest that answered all the others, until most of them rested.
#[test]
fn a_silent_connection_of_a_host_that_answers_others_sends_it_to_no_rest() {
    let mut world = World::new(quota(), 1);
    for _ in 0..3 {
        let silent = world.arrive(0, 0, 1, 1.0, 2.5);
        world.count_all();
        world.pass(0.1);
        assert!(ask(&mut world, 2, 1.0), "the host rests");
        world.pass(2.45);
        assert!(world.rules.taken[&silent].answer.is_some());
    }
}

/// Half a reply was waited for until the client's time was up.
#[test]
fn a_reply_that_begins_and_does_not_end_is_called_off_soon() {
    let mut world = World::new(quota(), 2);
    let id = world.arrive(0, 0, 1, 1.0, 2.5);
    world.count_all();
    world.gateway.response_started(world.rules.now, &mut world.rules, id, 0);
    world.pass(0.2);
    assert_eq!(world.rules.taken[&id].hand_offs[0].ended, Some(Outcome::Cancelled));
    assert_eq!(world.hand_offs(id), 2, "another host is asked");
    world.end(id, 1, Outcome::Answered);
    assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
}

#[test]
fn a_silent_counter_holds_nothing_up_and_opens_no_quota() {
    let mut world = World::new(quota(), 5);
    let mut sent = 0;
    for _ in 0..300 {
        let id = world.arrive(0, 0, 1, 1.0, 2.5);
        world.pass(0.048);
        sent += world.hand_offs(id);
        assert!(world.hand_offs(id) == 1 || world.rules.taken[&id].answer.is_some(), "decided within 50 ms");
        world.end(id, 0, Outcome::Answered);
    }
    let quota = 40.0 + 40.0 + 5.0 * world.rules.now;
    assert!(
        sent as f64 <= quota / 2.0 + 1.0 && sent > 20,
        "{sent}: about its part of {quota}, a burst owed ahead"
    );
}

#[test]
fn an_emptied_counter_grants_no_second_burst() {
    let mut world = World::new(quota(), 5);
    let first = granted(&mut world, 60);
    world.totals.clear();
    let second = granted(&mut world, 60);
    assert!(second <= 6, "{first} before the counter was emptied, {second} at once after");
}

#[test]
fn a_turned_away_add_goes_along_with_the_next() {
    let mut world = World::new(quota(), 5);
    for _ in 0..2 {
        world.arrive(0, 0, 1, 2.0, 2.5);
        let name = *world.rules.calls.iter().find(|c| !c.1.is_empty()).unwrap().0;
        world.count(name, Some(false));
    }
    let asked = |world: &World| world.rules.calls.values().flatten().map(|c| c.0).collect::<Vec<f64>>();
    let mut held = 4.0;
    while asked(&world).is_empty() && held < 40.0 {
        world.arrive(0, 0, 1, 2.0, 2.5);
        held += 2.0;
    }
    assert_eq!(asked(&world), [held], "what was turned away, and what was let on without a call");
}

#[test]
fn a_late_try_is_answered_at_once() {
    let mut world = World::new(terms(), 5);
    for lane in 0..4 {
        let id = world.arrive(lane, 0, 1, 1.0, 0.003);
        world.pass(0.02);
        let taken = &world.rules.taken[&id];
        assert!(matches!(taken.answer, Some(Answer::PushedBack(_))), "{taken:?}");
        assert_eq!(taken.hand_offs.len(), 0);
    }
}

#[test]
fn a_cold_host_gets_less_and_many_gateways_get_less_each() {
    let out = |gateways: u32, started: f64| {
        let mut world =
            World::new(AdmissionSettings { gateways, plans: vec![PlanLimits::default()], ..terms() }, 0);
        world.pass(100.0);
        let lines: Vec<HostEntry> =
            (0..4).map(|n| line(n, HostState::Ready, if n == 0 { started } else { 0.0 })).collect();
        world.list(HostListUpdate::Full, &lines);
        (0..100).for_each(|_| _ = world.arrive(0, 0, 1, 1.0, 2.5));
        (world.out_at(HOST), (0..4).map(|n| world.out_at(HOST + n)).sum::<usize>())
    };
    let (warm, all) = out(1, 0.0);
    assert!(out(1, 100.0).0 * 3 <= warm, "a fifth of its capacity, so at most a third of the work");
    assert!(out(9, 0.0).1 * 6 <= all, "gateways that start together do not bury the hosts");
    assert!(out(40, 0.0).1 < 4, "limits below one hand-off a host are kept over all hosts");
}

#[test]
fn slow_answers_lower_a_hosts_limit_and_quick_ones_raise_it() {
    let out_after = |took: f64| {
        let mut world =
            World::new(AdmissionSettings { gateways: 1, plans: vec![PlanLimits::default()], ..terms() }, 1);
        for _ in 0..100 {
            let ids: Vec<u32> = (0..80).map(|_| world.arrive(0, 0, 1, 1.0, 2.5)).collect();
            world.pass(took);
            ids.iter().for_each(|id| world.end(*id, 0, Outcome::Answered));
        }
        (0..80).for_each(|_| _ = world.arrive(0, 0, 1, 1.0, 2.5));
        world.out_at(HOST)
    };
    let (slow, quick) = (out_after(0.4), out_after(0.02));
    assert!(slow <= 2 && quick >= 9, "{slow} and {quick}");
}

#[test]
fn a_silent_host_is_left_and_a_busy_one_is_not_doubted() {
    let plans = vec![PlanLimits::default()];
    let mut world = World::new(AdmissionSettings { plans, gateways: 1, ..terms() }, 2);
    let ids: Vec<u32> = (0..4).map(|_| world.arrive(0, 0, 1, 1.0, 2.5)).collect();
    let at = |world: &World, id: u32| world.rules.taken[&id].hand_offs.first().map(|h| h.host);
    let dead = at(&world, ids[0]);
    world.pass(0.1);
    let well = *ids.iter().find(|id| at(&world, **id) != dead).unwrap();
    world.end(well, 0, Outcome::Answered);
    world.pass(1.6);
    for id in ids {
        let doubted = world.hand_offs(id) > 1;
        assert_eq!(doubted, at(&world, id) == dead);
    }
    for _ in 0..2 {
        let id = world.arrive(0, 0, 1, 1.0, 2.5);
        assert_ne!(at(&world, id), dead, "rests");
    }
    assert!(world.rules.probes.is_empty(), "a probe would not find the lane silent");
    let id = world.arrive(2, 0, 1, 1.0, 2.5);
    let other = world.arrive(2, 0, 1, 1.0, 2.5);
    assert!(at(&world, id) == dead || at(&world, other) == dead, "its other lanes go on");
    world.pass(6.0);
    let ids: Vec<u32> = (0..2).map(|_| world.arrive(0, 0, 1, 1.0, 2.5)).collect();
    let tried = ids.iter().filter(|id| at(&world, **id) == dead).count();
    assert_eq!(tried, 1, "one at a time after the rest");
}

/// Lanes of one kind failed at a host, and it rested for all of them, or none, whatever it served.
#[test]
fn a_lane_that_a_host_fails_rests_there_and_the_others_go_first_to_that_host() {
    let plans = vec![PlanLimits::default()];
    let mut world = World::new(AdmissionSettings { plans, gateways: 1, ..terms() }, 2);
    let at = |world: &World, id: u32| world.rules.taken[&id].hand_offs[0].host;
    let failed = world.arrive(0, 0, 1, 1.0, 2.5);
    let failing = at(&world, failed);
    world.end(failed, 0, Outcome::Error);
    assert_ne!(world.rules.taken[&failed].hand_offs[1].host, failing);
    world.end(failed, 1, Outcome::Answered);
    let mut met = [0; 4];
    for n in 0..20 {
        let id = world.arrive([0, 2][n / 2 % 2], 0, 1, 1.0, 2.5);
        met[(n / 2 % 2) * 2 + usize::from(at(&world, id) == failing)] += 1;
        world.end(id, 0, Outcome::Answered);
    }
    assert!(met[1] == 0 && met[3] > met[2], "{met:?}");
}

/// An even part of the ceiling refused customers far inside their quota who came unevenly.
#[test]
fn the_counter_keeps_a_ceiling_above_the_quota_and_an_even_part_the_rest() {
    let plan = PlanLimits {
        rate: 2.0,
        burst: 8.0,
        rate_limit: 4.0,
        rate_limit_burst: 16.0,
        ..quota().plans[0].clone()
    };
    let mut world = World::new(AdmissionSettings { plans: vec![plan], gateways: 4, ..terms() }, 5);
    world.spread = 4;
    assert!(granted(&mut world, 20) >= 6, "the quota, all through one gateway");
    let mut alone = |seconds: f64| {
        world.pass(seconds);
        (0..40)
            .filter(|_| {
                world.rules.calls.clear();
                let id = world.arrive(0, 0, 2, 1.0, 2.5);
                world.pass(0.06);
                let sent = world.hand_offs(id) > 0;
                world.end(id, 0, Outcome::Answered);
                sent
            })
            .count()
    };
    let (soon, later) = (alone(0.0), alone(20.0));
    assert!(soon <= 2, "{soon}: the even part starts from nothing");
    assert!((1..=6).contains(&later), "{later}: an even part of what is above the quota");
}

#[test]
fn a_receipted_inquiry_is_repeated_only_where_its_repeat_is_known() {
    let mut world = World::new(terms(), 6);
    let id = world.arrive(1, 1, 1, 1.0, 2.5);
    world.count_all();
    world.end(id, 0, Outcome::Error);
    let hosts: Vec<u64> = world.rules.taken[&id].hand_offs.iter().map(|h| h.host - HOST).collect();
    assert_eq!(hosts.len(), 2);
    assert!(hosts[0] != hosts[1] && hosts[0] % 3 == hosts[1] % 3, "the other host of its cell");
    let other = (0..6).find(|n| n % 3 == hosts[0] % 3 && *n != hosts[0]).unwrap();
    world.list(
        HostListUpdate::Delta,
        &[line(other, HostState::Draining, 0.0), line(hosts[0], HostState::Removed, 0.0)],
    );
    world.end(id, 1, Outcome::Error);
    assert_eq!(world.rules.taken[&id].answer, Some(Answer::Terminated), "no host of its cell is left");
}

#[test]
fn without_hosts_an_inquiry_is_pushed_back_at_once() {
    let mut world = World::new(terms(), 0);
    for lane in 0..4 {
        let id = world.arrive(lane, 0, 1, 1.0, 2.5);
        assert!(matches!(world.rules.taken[&id].answer, Some(Answer::PushedBack(wait)) if wait > 0.0));
    }
}

#[test]
fn true_units_go_along_with_the_next_add() {
    let mut world = World::new(AdmissionSettings { settles: true, ..quota() }, 5);
    let id = world.arrive(0, 0, 1, 2.0, 2.5);
    world.count_all();
    let (now, host) = (world.rules.now, world.rules.taken[&id].hand_offs[0].host);
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
    world.gateway.attempt_ended(now, &mut world.rules, ended);
    world.arrive(0, 0, 1, 2.0, 2.5);
    let asked: Vec<f64> = world.rules.calls.values().flatten().map(|c| c.0).collect();
    assert_eq!(asked, [3.0], "two units and the one that the guess lacked");
}

#[test]
fn a_soft_plan_may_pass_its_quota_by_its_own_tier_only() {
    let mut terms = quota();
    terms.plans[0].overage_revenue = 0.5;
    let mut world = World::new(terms, 5);
    let soft = granted(&mut world, 200);
    assert!(soft > 40 && soft <= 80, "{soft}: the quota's burst, then up to one more");
}

#[test]
fn gateways_do_not_all_turn_to_the_same_host_first() {
    let first = |seed: u64| {
        let mut world = World::new(terms(), 0);
        world.gateway = Admission::start(terms(), seed, 0.0, &mut world.rules);
        world.list(
            HostListUpdate::Cached,
            &(0..5).map(|n| line(n, HostState::Ready, 0.0)).collect::<Vec<_>>(),
        );
        let id = world.arrive(0, 0, 1, 1.0, 2.5);
        world.count_all();
        world.rules.taken[&id].hand_offs[0].host
    };
    let met: std::collections::BTreeSet<HostId> = (0..30).map(first).collect();
    assert_eq!(met.len(), 5, "thirty gateways meet all five hosts");
}

#[test]
fn a_reset_sends_no_host_to_rest_and_a_failed_connect_does() {
    for (outcome, rests) in [(Outcome::Reset, 0), (Outcome::ConnectFailed, 1)] {
        let mut world = World::new(AdmissionSettings { plans: vec![PlanLimits::default()], ..terms() }, 2);
        let id = world.arrive(0, 0, 1, 1.0, 2.5);
        world.end(id, 0, outcome);
        world.pass(1.1);
        assert_eq!(world.rules.probes.len(), rests, "{outcome:?}");
    }
}

#[test]
fn a_counter_that_fails_is_spared_calls_that_nobody_waits_for() {
    let mut world = World::new(quota(), 5);
    let (mut calls, mut empty) = (0, 0);
    for _ in 0..200 {
        let id = world.arrive(0, 0, 1, 4.0, 2.5);
        world.pass(0.05);
        while let Some((&name, asked)) = world.rules.calls.iter().find(|c| !c.1.is_empty()) {
            (calls, empty) = (calls + 1, empty + usize::from(asked[0].0 == 0.0));
            world.count(name, Some(false));
        }
        world.end(id, 0, Outcome::Answered);
    }
    assert!(calls > 5 && calls < 25 && empty == 0, "{calls} calls, {empty} of them empty");
}

#[test]
fn alone_a_wide_spread_customer_runs_into_debt() {
    let mut world = World::new(AdmissionSettings { may_count: false, ..quota() }, 5);
    world.spread = 500;
    let mut sent = || {
        world.pass(1.0);
        ask(&mut world, 1, 1.0)
    };
    assert_eq!(
        (0..60).filter(|_| sent()).count(),
        1,
        "one unit seen here stands for 500, a hundred seconds' worth"
    );
}

#[test]
fn among_many_gateways_a_slow_host_is_told_from_few_answers() {
    let mut world =
        World::new(AdmissionSettings { gateways: 200, plans: vec![PlanLimits::default()], ..terms() }, 4);
    let mut at_slow = [0; 2];
    for n in 0..200 {
        let id = world.arrive(0, 0, 1, 1.0, 2.5);
        let host = world.rules.taken[&id].hand_offs[0].host;
        at_slow[n / 100] += usize::from(host == HOST);
        world.pass(if host == HOST { 0.7 } else { 0.1 });
        world.end(id, 0, Outcome::Answered);
        world.pass(4.0);
    }
    assert!(at_slow[0] <= 20 && at_slow[1] <= 5, "{at_slow:?} of a hundred each");
}

#[test]
fn a_gateway_that_stood_still_hears_first_what_came_meanwhile() {
    let mut world = World::new(AdmissionSettings { plans: vec![PlanLimits::default()], ..terms() }, 3);
    let id = world.arrive(0, 0, 1, 1.0, 2.5);
    world.pass(0.1);
    world.stand_still(1.5);
    assert!(world.rules.cancels.is_empty(), "its answer may have come in the same moment");
    world.end(id, 0, Outcome::Answered);
    world.pass(3.0);
    assert!(world.rules.probes.is_empty() && world.hand_offs(id) == 1);
}

#[test]
fn whoever_waits_while_the_gateway_stands_still_is_answered_on_its_first_turn() {
    let mut world = World::new(quota(), 3);
    let ids = [0.5, 2.5].map(|left| world.arrive(0, 0, 1, 1.0, left));
    world.stand_still(0.498);
    assert!(matches!(world.rules.taken[&ids[0]].answer, Some(Answer::PushedBack(_))));
    assert_eq!(world.rules.taken[&ids[1]].answer, None, "has time to hear the counter's answer first");
    world.count_all();
    assert_eq!(ids.map(|id| world.hand_offs(id)), [0, 1]);
}

/// A wake-up costs a gateway as much as a message: what has been answered rings no more.
#[test]
fn what_was_answered_wakes_nobody() {
    let mut world = World::new(quota(), 3);
    let id = world.arrive(0, 0, 1, 1.0, 2.5);
    let lapse = *world.rules.wakes.last().unwrap();
    world.count_all();
    let patience = *world.rules.wakes.last().unwrap();
    assert!(patience > lapse, "the wait for the counter is over");
    world.end(id, 0, Outcome::Answered);
    world.rules.wakes.clear();
    let other = world.arrive(0, 0, 2, 1.0, 2.5);
    world.pass(0.1);
    assert_eq!(world.hand_offs(other), 1, "a wait that is not over still rings");
}

/// Among hundreds of gateways each hand-off opened a connection of its own, and a host was heard of once in 20 s.
#[test]
fn among_many_gateways_each_turns_to_a_part_of_the_hosts_and_all_hosts_are_turned_to() {
    let plans = vec![PlanLimits::default()];
    let lines: Vec<HostEntry> = (0..100).map(|n| line(n, HostState::Ready, 0.0)).collect();
    let met = |number: u32, gateways: u32| {
        let terms = AdmissionSettings { gateways, gateway_number: number, plans: plans.clone(), ..terms() };
        let mut world = World::new(terms, 0);
        world.list(HostListUpdate::Full, &lines);
        let mut met = std::collections::BTreeMap::new();
        for _ in 0..200 {
            let id = world.arrive(0, 0, 1, 1.0, 2.5);
            *met.entry(world.rules.taken[&id].hand_offs[0].host).or_insert(0) += 1;
            world.pass(0.02);
            world.end(id, 0, Outcome::Answered);
        }
        met
    };
    assert_eq!(met(0, 3).len(), 100, "three gateways turn to all hosts");
    let mut at_host = std::collections::BTreeMap::new();
    for number in 0..300 {
        let met = met(number, 300);
        assert_eq!(met.len(), 5, "gateway {number}");
        met.into_iter().for_each(|(host, times)| *at_host.entry(host).or_insert(0) += times);
    }
    assert_eq!(at_host.len(), 100, "no host is left out");
    let (least, most) = (at_host.values().min().unwrap(), at_host.values().max().unwrap());
    assert!(most <= &(least * 5), "{least} to {most} hand-offs a host");
}

/// A host that rests, drains or is gone gives its place to the next one in the gateway's order.
#[test]
fn a_host_out_of_the_rotation_gives_its_place_to_another() {
    let terms = AdmissionSettings { gateways: 300, plans: vec![PlanLimits::default()], ..terms() };
    let mut world = World::new(terms, 60);
    for _ in 0..40 {
        let id = world.arrive(0, 0, 1, 1.0, 2.5);
        let host = world.rules.taken[&id].hand_offs.last().unwrap().host;
        world.end(id, 0, Outcome::ConnectFailed);
        assert_eq!(world.hand_offs(id), 2, "another host is left");
        assert_ne!(world.rules.taken[&id].hand_offs[1].host, host);
        world.end(id, 1, Outcome::Answered);
        world.list(HostListUpdate::Delta, &[line(host - HOST, HostState::Removed, 0.0)]);
    }
    assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
}

/// Inquiries of one customer, two units each, at these times, each at a gateway that has never seen it; those let on,
/// and the calls to the counter.
fn at_ever_new_gateways(rate: f64, burst: f64, times: impl Iterator<Item = f64>) -> (usize, usize) {
    let plans = vec![PlanLimits { rate, burst, ..PlanLimits::default() }];
    let terms = AdmissionSettings { plans, gateways: 300, ..terms() };
    let (mut totals, mut sent, mut calls) = (std::collections::BTreeMap::new(), 0, 0);
    for at in times {
        let mut world = World::new(terms.clone(), 5);
        (world.spread, world.rules.now) = (200, 1000.0 + at);
        world.totals = std::mem::take(&mut totals);
        let id = world.arrive(0, 0, 1, 2.0, 2.5);
        while let Some(name) = world.rules.calls.iter().find(|c| !c.1.is_empty()).map(|c| *c.0) {
            calls += 1;
            world.count(name, Some(true));
        }
        sent += world.hand_offs(id);
        totals = world.totals;
    }
    (sent, calls)
}

/// Among hundreds of gateways each inquiry of a customer meets one that has not seen it: of those inside the quotas
/// many were refused there, as if all earlier use had come at its window's end, and most read the closed window too.
#[test]
fn one_total_tells_a_gateway_that_never_saw_the_customer() {
    let spells = (0..80).map(|n| f64::from(n % 8) * 0.5 + f64::from(n / 8) * 8.0);
    let (inside, calls) = at_ever_new_gateways(3.0, 12.0, spells);
    assert!(inside >= 74, "{inside} of 80 at two thirds of the rate, in spells of a burst's length");
    assert!(calls <= 110, "{calls} calls for 80");
    let (beyond, _) = at_ever_new_gateways(3.0, 12.0, (0..240).map(|n| f64::from(n) * 0.2));
    let part = beyond as f64 / (12.0 + 3.0 * 48.0) * 2.0;
    assert!((0.8..=1.1).contains(&part), "{part} of the quota at three times the rate");
}

/// A gateway of few inquiries went on deciding alone for a minute after the counter was back.
#[test]
fn a_counter_that_is_back_is_asked_again_within_seconds() {
    let mut world = World::new(quota(), 5);
    for _ in 0..40 {
        let id = world.arrive(0, 0, 1, 1.0, 2.5);
        world.pass(0.05);
        world.end(id, 0, Outcome::Answered);
    }
    let mut asked = 0;
    for n in 0..160 {
        let id = world.arrive(0, 0, u64::from(n as u32) + 2, 1.0, 2.5);
        asked += usize::from(n >= 120 && world.rules.calls.values().any(|c| !c.is_empty()));
        world.count_all();
        world.end(id, 0, Outcome::Answered);
        world.pass(0.05);
    }
    assert!(asked >= 36, "{asked} of the last 40 were asked about");
}

/// A call that lapsed was held against the counter twice, at its lapse and at the end of its life.
#[test]
fn a_call_without_an_answer_counts_against_the_counter_once() {
    let late = |told: bool| {
        let mut world = World::new(quota(), 5);
        for n in 0..6 {
            let id = world.arrive(0, 0, n, 1.0, 2.5);
            world.pass(0.09);
            let name = world.rules.calls.iter().find(|c| !c.1.is_empty()).map(|c| *c.0);
            name.filter(|_| told).into_iter().for_each(|name| world.count(name, None));
            world.rules.calls.clear();
            world.end(id, 0, Outcome::Answered);
        }
        let asks = |world: &mut World, n: u64| {
            let id = world.arrive(0, 0, 100 + n, 1.0, 2.5);
            let asked = world.rules.calls.values().any(|c| !c.is_empty());
            world.rules.calls.clear();
            world.end(id, 0, Outcome::Answered);
            asked
        };
        (0..400).filter(|n| asks(&mut world, *n)).count()
    };
    assert_eq!(late(true), late(false));
}

/// What a silent host held for seconds (receipted, no other host of its cell) counted against the room at all others.
#[test]
fn a_doubted_host_rests_though_its_inquiry_may_go_nowhere_else() {
    let mut terms =
        AdmissionSettings { plans: vec![PlanLimits::default()], may_hedge: true, gateways: 300, ..terms() };
    terms.classes.iter_mut().for_each(|lane| lane.dedup_window = 15.0);
    let mut world = World::new(terms, 3);
    let held: Vec<u32> = (0..3).map(|_| world.arrive(1, 0, 1, 1.0, 8.0)).collect();
    let silent = world.rules.taken[&held[0]].hand_offs[0].host;
    held[1..].iter().for_each(|id| world.end(*id, 0, Outcome::Answered));
    world.pass(1.65);
    let ids: Vec<u32> = (0..2).map(|_| world.arrive(1, 0, 1, 1.0, 2.5)).collect();
    let hosts: Vec<u64> = ids.iter().map(|id| world.rules.taken[id].hand_offs[0].host).collect();
    assert!(!hosts.contains(&silent), "{hosts:?}: {silent} rests");
    assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
}

/// A host that a gateway never turned to had no place, not even for a repeat that only it may take.
#[test]
fn a_repeat_bound_to_a_cell_reaches_hosts_that_the_gateway_does_not_turn_to() {
    let terms = AdmissionSettings { gateways: 300, plans: vec![PlanLimits::default()], ..terms() };
    let mut world = World::new(terms, 0);
    let pairs = (0..60).map(|n| HostEntry { cell: (n / 2) as u16, ..line(n, HostState::Ready, 0.0) });
    world.list(HostListUpdate::Full, &pairs.collect::<Vec<_>>());
    for _ in 0..8 {
        let id = world.arrive(1, 0, 1, 1.0, 2.5);
        world.end(id, 0, Outcome::Error);
        let hosts: Vec<u64> = world.rules.taken[&id].hand_offs.iter().map(|h| h.host - HOST).collect();
        assert!(hosts.len() == 2 && hosts[0] ^ 1 == hosts[1], "{hosts:?}: the other host of its cell");
        world.end(id, 1, Outcome::Answered);
        world.pass(6.1);
    }
    assert!(world.rules.broken.is_empty(), "{:?}", world.rules.broken);
}

/// Seventy gateways that were started together asked an overbooked discovery again in step, once a second, for good.
#[test]
fn a_discovery_that_turns_the_fleet_away_is_asked_ever_less_often_and_not_in_step() {
    let terms = AdmissionSettings { must_subscribe: true, gateways: 100, ..terms() };
    let started = |seed| {
        let mut world = World::new(terms.clone(), 3);
        world.rules.asked.clear();
        world.gateway = Admission::start(terms.clone(), seed, 0.0, &mut world.rules);
        world
    };
    let mut fleet: Vec<World> = (0..70).map(started).collect();
    let (mut calls, mut served) = (0, 0);
    // A call fails where more than four come within the same fifth of a second.
    for _ in 0..100 {
        let asks: Vec<usize> = (0..fleet.len()).filter(|n| fleet[*n].rules.asked.pop().is_some()).collect();
        for n in &asks {
            let news = if asks.len() > 4 { HostListUpdate::Failed } else { HostListUpdate::Delta };
            fleet[*n].list(news, &[]);
            served += usize::from(news == HostListUpdate::Delta);
        }
        calls += asks.len();
        fleet.iter_mut().for_each(|world| world.pass(0.2));
    }
    assert_eq!(served, 70, "after 20 s and {calls} calls");
    assert!(calls <= 70 * 6, "{calls} calls");
}

/// A gateway that the counter left alone refused a customer's inquiries though most of those it refuses are inside; how
/// much sooner it lets the next one on follows from what one beyond the quota costs, once and not at a higher rate. Where
/// much of the customer comes here the refusal is no guess: four gateways that spared as much lost by it.
#[test]
fn alone_what_may_be_inside_is_let_on_the_sooner_the_less_one_beyond_costs() {
    // When the second and the third inquiry are let on that each stand for `spread` units, at one a second.
    let times = |over_costs: f64, spread: u32| {
        let plan = PlanLimits { rate: 1.0, burst: 4.0, overage_cost: over_costs, ..PlanLimits::default() };
        let mut world = World::new(AdmissionSettings { plans: vec![plan], may_count: false, ..terms() }, 5);
        world.spread = spread;
        let mut granted = Vec::new();
        while granted.len() < 3 {
            granted.extend(ask(&mut world, 1, 1.0).then_some(world.rules.now));
            world.pass(0.2);
        }
        (granted[1] - granted[0], granted[2] - granted[1])
    };
    let (usual, every) = times(0.0, 40);
    let sooner = |costs: f64, spread: u32| times(0.0, spread).0 - times(costs, spread).0;
    // A burst of four, by the cost, and four of them at most: 40 units are ten bursts.
    for (costs, wanted) in [(1.0, 4.0), (0.5, 8.0), (0.1, 16.0)] {
        assert!((sooner(costs, 40) - wanted).abs() < 0.5, "{} at {costs}, {usual} s else", sooner(costs, 40));
        assert!((times(costs, 40).1 - every).abs() < 0.5, "the rate is the plan's at {costs}");
    }
    let plan = PlanLimits { rate: 1.0, burst: 4.0, overage_cost: 0.5, ..PlanLimits::default() };
    let mut near = World::new(AdmissionSettings { plans: vec![plan], may_count: false, ..terms() }, 5);
    assert_eq!(granted(&mut near, 60), 3, "each is half of a burst: a quarter of the spare, one of four");
}
