//! Generated runs of the module beside the plain model of the rules; seeded, so that the verdict never varies.

use crate::world::{Answer, Taken, World, line, terms};
use archlink_admission::interface::*;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

#[derive(Clone, Debug)]
enum Deed {
    Arrive { lane: usize, plan: usize, customer: u64, units: f64, left: f64 },
    End { which: usize, outcome: Outcome },
    Count { which: usize, well: Option<bool> },
    Pass(f64),
    List { n: u64, standing: HostState, fresh: bool },
    Probed { well: bool },
    Leave { which: usize },
    Begin { which: usize },
    EmptyCounter,
    StandStill(f64),
}

impl Arbitrary for Deed {
    fn arbitrary(g: &mut Gen) -> Deed {
        use Outcome::*;
        let which = usize::arbitrary(g);
        let outcomes =
            [Answered, Answered, Answered, Error, Full, TimedOut, ConnectFailed, Reset, Cancelled, NeverSent];
        let standings = [HostState::Ready, HostState::Ready, HostState::Draining, HostState::Removed];
        match u8::arbitrary(g) % 16 {
            0..=4 => Deed::Arrive {
                lane: which % 4,
                plan: *g.choose(&[0, 0, 1, 2, 3]).unwrap(),
                customer: u64::arbitrary(g) % 3,
                units: f64::from(u8::arbitrary(g) % 4 + 1),
                left: *g.choose(&[0.0, 0.002, 0.03, 0.5, 2.5]).unwrap(),
            },
            5..=8 => Deed::End { which, outcome: *g.choose(&outcomes).unwrap() },
            9..=11 => {
                Deed::Count { which, well: *g.choose(&[Some(true), Some(true), Some(false), None]).unwrap() }
            }
            12 | 13 => Deed::Pass(*g.choose(&[0.004, 0.02, 0.3, 3.0]).unwrap()),
            14 => Deed::List {
                n: which as u64 % 7,
                standing: *g.choose(&standings).unwrap(),
                fresh: bool::arbitrary(g),
            },
            _ => match which % 5 {
                0 => Deed::Probed { well: bool::arbitrary(g) },
                1 => Deed::Leave { which: usize::arbitrary(g) },
                2 => Deed::Begin { which: usize::arbitrary(g) },
                3 => Deed::StandStill(*g.choose(&[0.3, 2.0]).unwrap()),
                _ => Deed::EmptyCounter,
            },
        }
    }
}

fn live(world: &World, which: usize) -> Option<(u32, usize)> {
    let live: Vec<(u32, usize)> = (world.rules.taken.iter())
        .flat_map(|(id, t)| t.hand_offs.iter().enumerate().map(move |(n, h)| (*id, n, h)))
        .filter(|(_, _, h)| h.ended.is_none())
        .map(|(id, n, _)| (id, n))
        .collect();
    live.get(which % live.len().max(1)).copied()
}

fn act(world: &mut World, deed: &Deed) {
    match *deed {
        Deed::Arrive { lane, plan, customer, units, left } => {
            world.arrive(lane, plan, customer + 10 * plan as u64, units, left);
        }
        Deed::End { which, outcome } => {
            if let Some((id, nth)) = live(world, which) {
                world.end(id, nth, outcome);
            }
        }
        Deed::Begin { which } => {
            if let Some((id, nth)) = live(world, which) {
                world.gateway.response_started(world.rules.now, &mut world.rules, id, nth as u16);
            }
        }
        Deed::Count { which, well } => {
            let names: Vec<u64> =
                world.rules.calls.iter().filter(|c| !c.1.is_empty()).map(|c| *c.0).collect();
            if let Some(&name) = names.get(which % names.len().max(1)) {
                world.count(name, well);
            }
        }
        Deed::Pass(seconds) => world.pass(seconds),
        Deed::List { n, standing, fresh } => {
            let started = if fresh { world.rules.now } else { 0.0 };
            world.list(HostListUpdate::Delta, &[line(n, standing, started)]);
        }
        Deed::Probed { well } => {
            if let Some(host) = world.rules.probes.pop() {
                world.gateway.probe_finished(world.rules.now, &mut world.rules, host, well, Load::default());
            }
        }
        Deed::Leave { which } => {
            let open = |t: &&Taken| t.answer.is_none();
            let ids: Vec<u32> = world.rules.taken.values().filter(open).map(|t| t.inquiry.id).collect();
            if let Some(id) = ids.get(which % ids.len().max(1)) {
                world.rules.taken.entry(*id).and_modify(|t| t.answer = Some(Answer::Left));
                world.gateway.client_disconnected(world.rules.now, &mut world.rules, *id);
            }
        }
        Deed::EmptyCounter => world.totals.clear(),
        Deed::StandStill(seconds) => world.stand_still(seconds),
    }
}

fn run(terms: AdmissionSettings, deeds: &[Deed]) -> Vec<String> {
    let hosts = if terms.gateways > 100 { 300 } else { 5 };
    let mut world = World::new(terms, hosts);
    for deed in deeds {
        act(&mut world, deed);
    }
    world.pass(4.0);
    world.rules.broken
}

fn check(seed: u64, property: fn(Vec<Deed>) -> TestResult) {
    QuickCheck::new().rng(Gen::from_size_and_seed(150, seed)).tests(250).quickcheck(property);
}

fn verdict(terms: AdmissionSettings, deeds: Vec<Deed>) -> TestResult {
    let broken = run(terms, &deeds);
    if broken.is_empty() { TestResult::passed() } else { TestResult::error(broken.join("; ")) }
}

fn terms_copies() -> AdmissionSettings {
    AdmissionSettings { may_hedge: true, drain_grace: 0.0, gateways: 9, ..terms() }
}

fn terms_bare() -> AdmissionSettings {
    let bare = AdmissionSettings {
        may_count: false,
        may_cancel: false,
        may_probe: false,
        may_advise: false,
        ..terms()
    };
    AdmissionSettings { gateways: 1, max_attempts: 1, ..bare }
}

/// Contradictions and zeros: nothing may panic, divide by 0 or wait for ever.
fn terms_odd() -> AdmissionSettings {
    let odd =
        AdmissionSettings { cold_from: 3.0, warm_up: 0.0, count_timeout: 0.0, max_units: 0.0, ..terms() };
    let mut odd = AdmissionSettings { gateways: 0, drain_grace: 0.0, tip_multiple: 0.0, tip_for: 0.0, ..odd };
    odd.classes.iter_mut().for_each(|l| l.latency_target = 0.0);
    odd.plans[0].burst = 0.0;
    odd.plans[3].rate = 1e-9;
    odd
}

#[test]
fn rules_hold_beside_the_model() {
    check(1, |deeds| verdict(terms(), deeds));
}

#[test]
fn rules_hold_with_second_copies_and_no_grace() {
    check(2, |deeds| verdict(terms_copies(), deeds));
}

#[test]
fn rules_hold_without_counter_probes_and_cancels() {
    check(3, |deeds| verdict(terms_bare(), deeds));
}

#[test]
fn rules_hold_under_contradicting_terms() {
    check(4, |deeds| verdict(terms_odd(), deeds));
}

#[test]
fn rules_hold_at_sizes_beyond_those_to_come() {
    check(5, |deeds| verdict(AdmissionSettings { gateways: 1000, ..terms() }, deeds));
}

#[test]
fn same_events_same_actions() {
    let deeds: Vec<Deed> = Vec::arbitrary(&mut Gen::from_size_and_seed(400, 5));
    let told = |deeds: &[Deed]| {
        let mut world = World::new(terms(), 5);
        deeds.iter().for_each(|deed| act(&mut world, deed));
        format!("{:?} {:?}", world.rules.taken, world.rules.calls)
    };
    assert_eq!(told(&deeds), told(&deeds));
}
