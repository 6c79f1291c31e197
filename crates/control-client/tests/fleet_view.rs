//! Unit tests of the fleet view: what confirms a configuration, and messages that are late, repeated or out of order.

use archlink_control_client::fleet_view::{Event, FleetView, ViewChange};
use archlink_messages::{
    AcceptedValue, Heartbeat, HostList, LeaseGrant, NodeId, Register, SingletonRole, StateUpdate,
    VersionVector, VoterSet, patch,
};
use std::time::Duration;

/// Seconds for which a confirmation is valid.
const CONFIRMATION_LIFETIME: f64 = 4.3;
/// The maximum time for shrinking a failing case.
const SHRINK_TIME: Duration = Duration::from_secs(5);

/// Returns a heartbeat that confirms these versions, requested at `now`.
fn heartbeat(
    now: f64,
    serial: u64,
    confirmed_age: f64,
    versions: VersionVector,
    leases: Vec<LeaseGrant>,
) -> Event {
    let heartbeat = Heartbeat {
        serial,
        cluster_clock: 0.0,
        confirmed_age: Some(confirmed_age),
        versions,
        leases,
        voter_set: VoterSet::default(),
        recovered: true,
        suspected: Vec::new(),
    };
    Event::Heartbeat { heartbeat, requested_at: Some(now) }
}

/// Returns a configuration with one route, compressed without a base.
fn compressed_configuration(version: u64) -> bytes::Bytes {
    let text = format!(
        r#"{{"ConfigVersion":"{version:08x}","RouteTable":{{"ColumnNames":["Designation","Origin","PathPrefix","Category",
        "Service"],"Records":[["r","h.example","/r/","idempotent","s"]]}},"ServiceTable":{{"ColumnNames":["Designation"],
        "Records":[["s"]]}}}}"#
    );
    patch::compress(text.as_bytes(), b"").unwrap().into()
}

fn configuration_update(ordering_key: u64) -> Event {
    let patch = compressed_configuration(ordering_key - 1);
    Event::Update(StateUpdate::ConfigurationPatch { ordering_key, base: 0, patch })
}

fn evacuations_update(revision: u64) -> Event {
    let accepted = AcceptedValue { revision, ..AcceptedValue::default() };
    Event::Update(StateUpdate::Chosen(Register::Evacuations, accepted))
}

/// Guards against a data node that puts a configuration in force, or considers it confirmed, while it lacks the
/// evacuated zones that its control node has; and against a confirmation of a configuration that it has not received
/// yet.
#[test]
fn configuration_is_not_confirmed_while_a_version_is_missing() {
    let mut view = FleetView::new(CONFIRMATION_LIFETIME);
    let confirm = |view: &mut FleetView, now: f64, configuration, evacuations| {
        let versions = VersionVector { configuration, evacuations, ..VersionVector::default() };
        view.apply(now, heartbeat(now, 1, 0.1, versions, Vec::new()));
        view.is_confirmed(now)
    };
    assert!(view.apply(1.0, configuration_update(8)).is_empty() && view.configuration().is_none());
    assert!(!confirm(&mut view, 1.0, 8, 3) && view.configuration().is_none(), "zones are missing");
    view.apply(1.1, evacuations_update(3));
    assert!(!confirm(&mut view, 1.1, 9, 3), "a configuration is missing");
    assert!(confirm(&mut view, 1.2, 8, 3) && view.configuration().is_some());
    // The next one is in force at once and keeps the confirmation of the last one, since it can only be newer.
    assert!(matches!(view.apply(2.0, configuration_update(9))[..], [ViewChange::Configuration(_)]));
    assert!(
        view.is_confirmed(1.0 + CONFIRMATION_LIFETIME) && !view.is_confirmed(1.2 + CONFIRMATION_LIFETIME)
    );
}

/// Returns one of the four kinds of messages, with a version from 1 to 8.
fn message(now: f64, kind: u8, version: u64, configurations: &[bytes::Bytes]) -> Event {
    match kind {
        0 => {
            let patch = configurations[version as usize - 1].clone();
            Event::Update(StateUpdate::ConfigurationPatch { ordering_key: version, base: 0, patch })
        }
        1 => evacuations_update(version),
        2 => {
            let hosts = HostList { term: version, version: 9 - version, instances: Vec::new() };
            Event::Update(StateUpdate::HostList(hosts))
        }
        _ => {
            let versions =
                VersionVector { configuration: version, evacuations: version, ..VersionVector::default() };
            let lease =
                LeaseGrant { role: SingletonRole::QuotaCounter, holder: version as NodeId, term: version };
            heartbeat(now, version, 0.0, versions, vec![lease])
        }
    }
}

/// Messages from control nodes arrive late, repeated and out of order: no version is replaced by an older one, and only
/// the versions that are present are confirmed.
#[test]
fn messages_in_any_order_lower_no_version_and_confirm_only_what_is_present() {
    const HEARTBEAT: u8 = 3;
    let configurations: Vec<bytes::Bytes> = (1..9).map(compressed_configuration).collect();
    bolero::check!()
        .with_iterations(300)
        .with_shrink_time(SHRINK_TIME)
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|messages| {
            let mut view = FleetView::new(CONFIRMATION_LIFETIME);
            let mut now = 1.0;
            let messages = messages.iter().map(|(kind, version)| (kind % 4, u64::from(version % 8) + 1));
            for (kind, version) in messages {
                now += 1.0;
                let (before, holder_before) = (view.versions().clone(), view.counter_holder());
                let was_confirmed = view.is_confirmed(now);
                view.apply(now, message(now, kind, version, &configurations));
                let after = view.versions();
                assert!(
                    after.configuration >= before.configuration && after.evacuations >= before.evacuations
                );
                assert!(after.hosts >= before.hosts);
                assert!(view.counter_holder().map(|(_, term)| term) >= holder_before.map(|(_, term)| term));
                let is_present =
                    kind == HEARTBEAT && after.configuration == version && after.evacuations >= version;
                assert!(was_confirmed || !view.is_confirmed(now) || is_present);
                let in_force = view.configuration();
                assert!(in_force.is_none_or(|configuration| configuration.version == after.configuration));
            }
        });
}
