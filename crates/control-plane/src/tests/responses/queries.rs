//! Responses to read-only calls.

use super::*;

#[test]
fn resolution_response_has_addresses_and_ttl() {
    run(async {
        let cluster = running_cluster().await;
        let expected = json!({"Addresses": ["10.0.1.1:8206"], "Ttl": "2000ms"});
        assert_eq!(call_ok(&cluster, Call::Resolve, "", "").await, expected);
        assert_eq!(call_ok(&cluster, Call::Resolve, "?Zone=west&Region=coast", "").await, expected);
        advance(20.0).await;
        let (response, fields) = cluster.call(0, Call::Resolve, "", "").await;
        let expected = json!({"Error": "no data gateway is ready"});
        assert_eq!(
            (response.status, header_lines(&response).as_str(), fields),
            (503, JSON_AND_RETRY_AFTER, expected)
        );
    });
}

#[test]
fn members_response_has_its_fields() {
    run(async {
        let cluster = running_cluster().await;
        let fields = call_ok(&cluster, Call::Members, "", "").await;
        let control_node =
            |n: u32| json!({"Control": format!("10.0.0.{n}:8200"), "Zone": "west", "Votes": n < 4});
        let expected = json!({
            "Control": [control_node(1), control_node(2), control_node(3), control_node(4)],
            "Edge": [{"Front": "10.0.1.1:8206", "Zone": "west", "Ready": true}],
            "EdgeCounted": 1, "DiskWhole": true, "ConfirmedSecondsAgo": "seconds", "Contact": true,
        });
        assert_eq!(fields, expected);
    });
}

#[test]
fn hosts_response_has_its_fields() {
    run(async {
        let cluster = running_cluster().await;
        call_ok(&cluster, Call::BeginEvacuation, "east", "").await;
        let (response, fields) = cluster.call(0, Call::Hosts, "", "").await;
        assert_eq!(
            (response.status, header_lines(&response).as_str(), &fields["Term"]),
            (200, JSON, &json!(1000))
        );
        let host = |id: &str, draining: bool, warm_up_seconds: f64| {
            json!({"InstanceId": id, "Service": "reports", "Address": "10.1.0.1:9000", "Zone": "west",
                "Draining": draining, "ColdForS": warm_up_seconds})
        };
        let expected = json!({
            "Term": "a number", "Version": 12, "Hosts": [host("i-1", false, 1.5), host("i-2", true, 0.0)],
            "EvacuatedZones": ["east"], "ConfirmedSecondsAgo": "seconds", "Contact": true,
        });
        assert_eq!(normalized(fields), expected);
    });
}

#[test]
fn leases_response_has_its_names() {
    run(async {
        let cluster = running_cluster().await;
        let fields = call_ok(&cluster, Call::Leases, "", "").await;
        let role = |name: &str| json!({"Duty": name, "Holder": "a voter", "Term": "a number"});
        let expected = json!({"Duties": [role("Lookout"), role("Tally")], "ConfirmedSecondsAgo": "seconds",
            "Contact": true});
        assert_eq!(fields, expected);
    });
}

#[test]
fn quota_response_has_its_fields() {
    run(async {
        let cluster = running_cluster().await;
        advance(1.0).await;
        let mut lease_holders = 0;
        for n in 0..3 {
            let (response, fields) = cluster.call(n, Call::Quota, "", "").await;
            assert_eq!((response.status, header_lines(&response).as_str()), (200, JSON));
            lease_holders += u32::from(fields["CounterTerm"].is_u64());
            let term = if fields["CounterTerm"].is_null() { Value::Null } else { json!("a number") };
            let expected = json!({
                "Tenants": [{"Designation": "lab", "RatePerS": 5.0, "BurstSize": 5.0}], "CounterTerm": term,
                "CounterNames": 0, "ConfirmedSecondsAgo": "seconds", "Contact": true,
            });
            assert_eq!(normalized(fields), expected);
        }
        assert_eq!(lease_holders, 1);
    });
}

#[test]
fn events_response_has_its_texts() {
    let control_node = ControlNode {
        node: NODES[1],
        zone: "east".into(),
        region: "coast".into(),
        operator_address: SocketAddrV4::new(NODES[1].into(), 8200),
    };
    let sessions =
        SessionTable { source: NODES[1], incarnation: 1, version: 1, data_nodes: vec![data_node()] };
    let hosts = HostList { term: 4, version: 12, instances: Vec::new() };
    let events = [
        (Event::ControlNodeDiscovered(control_node.clone()), "control gateway 10.0.0.2:8200 in east"),
        (Event::SessionRenewed(data_node()), "data gateway 10.0.1.1:8206 in west, ready true"),
        (Event::SessionClosed(data_node().node), "session of 10.0.1.1 ended"),
        (Event::PeerSessions(sessions), "10.0.0.2 has 1 sessions"),
        (Event::PeerHeartbeat(NODES[1], Vec::new()), "10.0.0.2 lives"),
        (Event::HostListChanged(hosts.clone()), "list 4.12 of 0 hosts"),
        (Event::TimePassed { quorum_contact: true }, "a session fell silent"),
    ];
    for (event, line) in events {
        assert_eq!(event.describe(), line);
    }
    run(async move {
        let node = stalled_node(NODES[0], SimulatedDisk::default());
        for event in [
            Event::ControlNodeDiscovered(control_node),
            Event::SessionRenewed(data_node()),
            Event::HostListChanged(hosts),
            Event::SessionClosed(data_node().node),
        ] {
            node.step(|state, now| state.record_event(now, event));
        }
        let (response, fields) = send_call(&node, Call::Events, "", "").await;
        assert_eq!((response.status, header_lines(&response).as_str()), (200, JSON));
        let event = |what: &str| json!({"SecondsAgo": "seconds", "What": what});
        let expected = json!({
            "Events": [
                event("control gateway 10.0.0.2:8200 in east"),
                event("data gateway 10.0.1.1:8206 in west, ready true"),
                event("list 4.12 of 0 hosts"),
                event("session of 10.0.1.1 ended"),
            ],
            "ConfirmedSecondsAgo": null, "Contact": false,
        });
        assert_eq!(normalized(fields), expected);
    });
}
