//! Data gateways whose control gateways are cut off from the majority: they come to others before their leases end, and
//! begin by nothing that no majority vouched for within a lease.

mod sea;

use archlink_control_client::fleet_view::{Event, FleetView, ViewChange};
use archlink_control_client::session::{LocalNode, Session, SessionAction};
use archlink_messages::{
    AcceptedValue, ControlNode, Heartbeat, HostList, LeaseGrant, NodeId, Register, SingletonRole,
    StateUpdate, VersionVector, VoterSet, patch,
};
use sea::{LEASE, Sea, configuration};
use std::collections::BTreeSet;

const SHIPS: usize = 24;
/// Longest search for a smaller case of a failure.
const SHRINK: std::time::Duration = std::time::Duration::from_secs(5);

/// All in session, with a configuration in force.
fn sea() -> Sea {
    let mut sea = Sea::new(SHIPS);
    sea.run(2.0);
    sea.replace(4, 1, 10);
    sea.run(3.0);
    assert_eq!((sea.with_version(1), sea.vouched()), (SHIPS, SHIPS));
    sea
}

/// Guards against data gateways that stay with a control gateway that is cut off until their leases are over: its signs of
/// life were taken for fresh as long as what they told was not old.
#[test]
fn a_control_gateway_that_is_cut_off_takes_nobodys_lease_away() {
    for (out, into) in [(true, true), (true, false), (false, true)] {
        let mut sea = sea();
        for node in [6, 1] {
            sea.cut_off(node, 1..=6, out, into);
            for n in 0..640 {
                sea.run(if n < 600 { 0.01 } else { 0.5 });
                assert_eq!(sea.vouched(), SHIPS, "cut off: {node}, out {out}, into {into}");
            }
            sea.cut.clear();
            sea.run(1.0);
        }
    }
}

/// The same on and off, at all lengths about those by which sessions are given up.
#[test]
fn a_flapping_cut_takes_nobodys_lease_away() {
    for length in [0.7, 1.9, 3.1, 6.0] {
        let mut sea = sea();
        for _ in 0..6 {
            for cut in [true, false] {
                sea.cut_off(6, 1..=6, cut, cut);
                for _ in 0..(length * 10.0) as usize {
                    sea.run(0.1);
                    assert_eq!(sea.vouched(), SHIPS, "every {length}");
                }
            }
        }
    }
}

/// A data gateway that starts beside a control gateway that is cut off, and reaches no other: it begins by a configuration
/// and evacuations as old as others' leases at most, by its keys and by its public routes alike.
#[test]
fn a_late_starter_begins_by_nothing_older_than_a_lease() {
    let mut began = 0;
    for after in [0.0, 1.0, 3.0, 5.0, 20.0, 60.0] {
        let mut sea = sea();
        const LATE: NodeId = 200;
        sea.cut_off(1, 2..=6, true, true);
        sea.cut_off(LATE, 2..=6, true, true);
        sea.replace(2, 2, 10);
        sea.evacuate(2, "z3");
        sea.run(0.3);
        let replaced = sea.now;
        sea.run(after);
        sea.start_ship(LATE);
        let mut begun = false;
        for _ in 0..100 {
            sea.run(0.1);
            let (views, held) = (&sea.ships[&LATE].views, sea.now < replaced + LEASE);
            // Once it goes by something it goes on with its public routes, as others do that are cut off.
            let begins = views.configuration().is_some() && !begun;
            assert!(held || !begins, "it begins by what was replaced {} s ago", sea.now - replaced);
            assert!(held || !views.is_confirmed(sea.now));
            begun |= begins;
        }
        began += usize::from(begun);
        sea.cut.clear();
        sea.run(4.0);
        let ship = &sea.ships[&LATE];
        assert_eq!(ship.views.configuration().map(|chart| chart.version), Some(2));
        assert_eq!(ship.views.versions().evacuations, 1);
    }
    assert!(began > 0, "where the lease lasts it does begin");
}

/// Guards against a data gateway that begins, or is vouched for, while it lacks the evacuated zones that its control gateway
/// holds; and against a word for a configuration that it has yet to pull.
#[test]
fn what_is_lacking_is_not_vouched_for() {
    let mut views = FleetView::new(LEASE);
    let hear = |views: &mut FleetView, now: f64, chart, evacuations| {
        let vector = VersionVector { configuration: chart, evacuations, ..VersionVector::default() };
        let (serial, clock, leases, voter_set) = (1, 0.0, Vec::new(), VoterSet::default());
        let (whole, missing) = (true, Vec::new());
        let beat = Heartbeat {
            serial,
            cluster_clock: clock,
            confirmed_age: Some(0.1),
            versions: vector,
            leases,
            voter_set,
            recovered: whole,
            suspected: missing,
        };
        views.append(now, Event::Heartbeat { heartbeat: beat, requested_at: Some(now) });
        views.is_confirmed(now)
    };
    let chart = |stamp| {
        let packed = patch::compress(configuration(stamp - 1, 1).as_bytes(), b"").unwrap().into();
        Event::Update(StateUpdate::ConfigurationPatch { stamp, base: 0, packed })
    };
    assert!(views.append(1.0, chart(8)).is_empty() && views.configuration().is_none());
    assert!(!hear(&mut views, 1.0, 8, 3) && views.configuration().is_none(), "zones are lacking");
    let held = AcceptedValue { revision: 3, ..AcceptedValue::default() };
    views.append(1.1, Event::Update(StateUpdate::Chosen(Register::Evacuations, held)));
    assert!(!hear(&mut views, 1.1, 9, 3), "a configuration is lacking");
    assert!(hear(&mut views, 1.2, 8, 3) && views.configuration().is_some());
    // The next one is in force at once, under what was vouched for: it can only be newer.
    assert!(matches!(views.append(2.0, chart(9))[..], [ViewChange::Configuration(_)]));
    assert!(views.is_confirmed(1.0 + LEASE) && !views.is_confirmed(1.2 + LEASE));
}

/// Cuts between any two machines, either way, by chance; control and data gateways that start anew; changes all the while.
/// Whatever keys are served by, and whatever a data gateway begins by, was not replaced longer than a lease ago.
#[test]
fn nobody_goes_by_what_was_replaced_longer_than_a_lease_ago() {
    bolero::check!()
        .with_iterations(16)
        .with_shrink_time(SHRINK)
        .with_type::<(u64, Vec<(u8, u8, u8)>)>()
        .for_each(|(seed, plan)| {
            let mut sea = Sea::new(6);
            sea.chance = oorandom::Rand64::new(u128::from(*seed));
            sea.run(1.0);
            let mut version = 1;
            let mut begun = BTreeSet::new();
            for &(what, who, length) in plan.iter().take(20) {
                let (core, ship) = (1 + NodeId::from(who % 6), 100 + NodeId::from(who / 6 % 6));
                let (out, into) = (what & 8 == 0, what & 16 == 0);
                match what % 6 {
                    0 => sea.cut_off(core, 1..=6, out, into),
                    1 => sea.cut_off(ship, (1..=6).filter(|to| *to != core), out, into),
                    2 => {
                        sea.cores.remove(&core);
                        sea.start_core(core);
                    }
                    3 => {
                        begun.remove(&ship);
                        sea.start_ship(ship);
                    }
                    4 => sea.cut.clear(),
                    _ => {
                        version += 1;
                        sea.replace(core, version, 2);
                    }
                }
                let until = sea.now + f64::from(length) / 40.0;
                while sea.now < until {
                    sea.run(0.05);
                    for (node, ship) in &sea.ships {
                        let Some(chart) = ship.views.configuration() else { continue };
                        let replaced =
                            sea.acked.range(chart.version + 1..).map(|(_, at)| *at).fold(f64::MAX, f64::min);
                        let begins = begun.insert(*node);
                        let goes_by = begins || ship.views.is_confirmed(sea.now);
                        assert!(
                            !goes_by || sea.now < replaced + LEASE + 0.05,
                            "{node} goes by {}",
                            chart.version
                        );
                    }
                }
            }
            // And once nothing is cut all go by the newest.
            sea.cut.clear();
            sea.replace(1, version + 1, 2);
            sea.run(8.0);
            assert_eq!((sea.with_version(version + 1), sea.vouched()), (6, 6));
        });
}

/// Words of control gateways late, twice and out of order, as old ones tell them: nothing goes back, and only what is held is
/// vouched for.
#[test]
fn words_in_any_order_take_nothing_back() {
    let configurations: Vec<bytes::Bytes> = (1..9)
        .map(|version| patch::compress(configuration(version, 1).as_bytes(), b"").unwrap().into())
        .collect();
    bolero::check!().with_iterations(300).with_shrink_time(SHRINK).with_type::<Vec<(u8, u8)>>().for_each(
        |words| {
            let mut views = FleetView::new(LEASE);
            let mut now = 1.0;
            for (what, n) in words.iter().map(|(what, n)| (what % 4, u64::from(n % 8) + 1)) {
                now += 1.0;
                let (before, term) = (views.versions().clone(), views.counter_holder());
                let vouched = views.is_confirmed(now);
                let event = match what {
                    0 => Event::Update(StateUpdate::ConfigurationPatch {
                        stamp: n,
                        base: 0,
                        packed: configurations[n as usize - 1].clone(),
                    }),
                    1 => Event::Update(StateUpdate::Chosen(
                        Register::Evacuations,
                        AcceptedValue { revision: n, ..AcceptedValue::default() },
                    )),
                    2 => Event::Update(StateUpdate::HostList(HostList {
                        term: n,
                        version: 9 - n,
                        instances: Vec::new(),
                    })),
                    _ => {
                        let vector =
                            VersionVector { configuration: n, evacuations: n, ..VersionVector::default() };
                        let leases = vec![LeaseGrant {
                            role: SingletonRole::QuotaCounter,
                            holder: n as NodeId,
                            term: n,
                        }];
                        let (serial, clock, voter_set, whole, missing) =
                            (n, 0.0, VoterSet::default(), true, Vec::new());
                        let confirmed = Some(0.0);
                        let beat = Heartbeat {
                            serial,
                            cluster_clock: clock,
                            confirmed_age: confirmed,
                            versions: vector,
                            leases,
                            voter_set,
                            recovered: whole,
                            suspected: missing,
                        };
                        Event::Heartbeat { heartbeat: beat, requested_at: Some(now) }
                    }
                };
                views.append(now, event);
                let after = views.versions();
                assert!(
                    after.configuration >= before.configuration && after.evacuations >= before.evacuations
                );
                assert!(
                    after.hosts >= before.hosts && views.counter_holder().map(|c| c.1) >= term.map(|c| c.1)
                );
                let held = what == 3 && after.configuration == n && after.evacuations >= n;
                assert!(vouched || !views.is_confirmed(now) || held);
                assert!(views.configuration().is_none_or(|chart| chart.version == after.configuration));
            }
        },
    );
}

/// Guards against a data gateway that forgets all control gateways but one: that one had started while it was cut off and
/// knew of none, and the seeds were on the other side.
#[test]
fn who_was_told_of_one_control_gateway_alone_remembers_the_others() {
    let mut sea = sea();
    let ship = (100..).find(|node| sea.ships[node].session.peer() == Some(6)).unwrap();
    sea.cut_off(6, 1..=5, true, true);
    sea.cores.remove(&6);
    sea.start_core(6);
    // It reaches that one alone at first, and later those that are no seeds.
    sea.cut_off(ship, 1..=5, true, true);
    sea.run(8.0);
    assert_eq!(sea.ships[&ship].views.control_nodes().len(), 1);
    sea.cut_off(ship, 4..=5, false, false);
    sea.run(8.0);
    assert!(sea.ships[&ship].views.is_confirmed(sea.now), "it is with {:?}", sea.ships[&ship].session.peer());
}

/// Guards against a data gateway that calls a cut-off control gateway again and again: where all have failed lately, the nearest
/// came first, and one that is cut off names itself alone, so that it is the only one whose place is known.
#[test]
fn where_all_failed_lately_each_is_called_in_its_turn() {
    let mut views = FleetView::new(4.0);
    let control = std::net::SocketAddrV4::new(2.into(), 80);
    let control_node =
        ControlNode { node: 2, zone: "z".into(), region: "r".into(), operator_address: control };
    views.append(0.0, Event::Update(StateUpdate::ControlNodes(vec![control_node])));
    let place = LocalNode { node: 9, zone: "z".into(), region: "r".into(), seeds: vec![1, 2, 3, 4] };
    let (mut session, mut called) = (Session::new(place), Vec::new());
    for n in 0..60 {
        let now = f64::from(n) * 0.05;
        let data_node = || unreachable!("nobody answers");
        if let Some(SessionAction::Connect(node)) = session.tick(now, &views, data_node).pop() {
            called.push(node);
            session.connected(now, Err("refused".into()));
        }
    }
    assert!(called.len() > 12 && called[0] == 2, "{called:?}");
    assert!(called.windows(4).all(|four| (1..=4).all(|node| four.contains(&node))), "{called:?}");
}

/// All control gateways that a data gateway knew were replaced while it was cut off: it goes by the seeds that its settings file
/// names by then.
#[test]
fn seeds_that_are_read_anew_are_called() {
    use archlink_control_client::fleet_view::FleetView;
    use archlink_control_client::session::{LocalNode, Session, SessionAction};
    let place = LocalNode { node: 100, zone: "z".into(), region: "r".into(), seeds: vec![1] };
    let (mut session, views) = (Session::new(place), FleetView::new(3.0));
    let mut called = std::collections::BTreeSet::new();
    for n in 0..20 {
        let now = 0.5 * f64::from(n);
        if n == 10 {
            assert_eq!(called, [1].into());
            session.set_seeds(vec![2, 3]);
        }
        for action in session.tick(now, &views, || unreachable!("no session")) {
            if let SessionAction::Connect(node) = action {
                called.insert(node);
                session.connected(now, Err("nobody there".into()));
            }
        }
    }
    assert_eq!(called, [1, 2, 3].into());
}
