//! The operators' calls as they are seen from outside: paths, statuses, header lines, field names and texts, all written
//! out here. They stay as they are when types of the program are renamed.

use super::simulated_cluster::{
    NODES, SimulatedCluster, SimulatedDisk, advance, configuration, run, send_call, stalled_node,
};
use super::{data_node, serve_caller};
use crate::admin::calls::Call;
use crate::admin::configuration::{digest, hex};
use crate::admin::{answer_names, answers};
use crate::server::node::NotStarted;
use archlink_consensus::{MembershipError, Outcome};
use archlink_control_node::event_log::Event;
use archlink_http::codec::Response;
use archlink_messages::{ControlNode, HostInstance, HostList, Register, SessionTable, SingletonRole};
use serde_json::{Value, json};
use std::net::SocketAddrV4;
use strum::IntoEnumIterator;

const JSON: &str = "Content-Type: application/json\r\n";
const JSON_AND_RETRY_AFTER: &str = "Content-Type: application/json\r\nRetry-After: 0.3\r\n";

fn header_lines(answer: &Response) -> String {
    String::from_utf8_lossy(&answer.lines).into_owned()
}

fn body(answer: &Response) -> Value {
    serde_json::from_slice(&answer.body).unwrap()
}

/// Replaces what differs from one run to another by the name of its form; a value of another form stays.
fn normalized(mut value: Value) -> Value {
    match &mut value {
        Value::Object(fields) => {
            for (name, field) in fields.iter_mut() {
                *field = match (name.as_str(), field.take()) {
                    ("ConfirmedSecondsAgo" | "HeardSecondsAgo" | "SecondsAgo", Value::Number(n))
                        if n.is_f64() =>
                    {
                        json!("seconds")
                    }
                    ("Ballot", Value::Array(of)) if of.len() == 3 && of.iter().all(Value::is_u64) => {
                        json!("three numbers")
                    }
                    ("Holder", Value::String(text))
                        if ["10.0.0.1", "10.0.0.2", "10.0.0.3"].contains(&&*text) =>
                    {
                        json!("a voter")
                    }
                    ("Term", Value::Number(n)) if n.is_u64() => json!("a number"),
                    ("CounterTerm", Value::Number(n)) if n.is_u64() => json!("a number"),
                    (_, other) => normalized(other),
                };
            }
        }
        Value::Array(items) => items.iter_mut().for_each(|item| *item = normalized(item.take())),
        _ => {}
    }
    value
}

/// Three voters and one node more: a configuration in force, a data node in session with the first one, two hosts.
async fn running_cluster() -> SimulatedCluster {
    let cluster = SimulatedCluster::new();
    advance(2.0).await;
    assert_eq!(cluster.call(0, Call::ReplaceConfiguration, "", &configuration(10, 5)).await.0.status, 200);
    let host = |id: &str, draining, warm_up_seconds| HostInstance {
        id: id.into(),
        service: "reports".into(),
        address: SocketAddrV4::new([10, 1, 0, 1].into(), 9000),
        zone: "west".into(),
        capacity: 4,
        draining,
        warm_up_seconds,
    };
    let hosts = HostList {
        term: 1000,
        version: 12,
        instances: vec![host("i-1", false, 1.5), host("i-2", true, 0.0)],
    };
    cluster.nodes[0].step(|state, now| state.record_event(now, Event::HostListChanged(hosts)));
    cluster.nodes[0].step(|state, now| state.record_event(now, Event::SessionRenewed(data_node())));
    cluster
}

/// The answer of an operator's call, with status 200.
async fn call_ok(cluster: &SimulatedCluster, call: Call, names: &str, text: &str) -> Value {
    let (answer, _) = cluster.call(0, call, names, text).await;
    assert_eq!((answer.status, header_lines(&answer).as_str()), (200, JSON), "{call:?}");
    normalized(body(&answer))
}

#[test]
fn each_call_has_its_method_and_path() {
    let table: Vec<String> = Call::iter().map(|call| format!("{} {}", call.method(), call.path())).collect();
    let expected = [
        "POST /archlink/Configuration.Replace",
        "GET /archlink/Configuration.Read",
        "POST /archlink/Evacuation.Begin/",
        "POST /archlink/Evacuation.Finish/",
        "GET /archlink/voters",
        "POST /archlink/Voters.Replace/",
        "POST /archlink/Voters.Refound",
        "GET /archlink/resolution",
        "GET /archlink/members",
        "GET /archlink/hosts",
        "GET /archlink/duties",
        "GET /archlink/quota",
        "GET /archlink/journal",
    ];
    assert_eq!(table, expected);
}

/// On the wire: a path without a call is 404, a call by another method 405, and both say so.
#[test]
fn unknown_path_is_404_and_wrong_method_405_with_their_texts() {
    run(async {
        for call in Call::iter() {
            let wrong = if call.method() == "GET" { "POST" } else { "GET" };
            let names = if call.path().ends_with('/') { "east" } else { "" };
            let request = format!("{wrong} {}{names} HTTP/1.1\r\nConnection: close\r\n\r\n", call.path());
            let (_, response) = serve_caller(request.as_bytes(), false, 3).await;
            let expected = format!(r#"{{"Error":"{} is the method of this call"}}"#, call.method());
            assert!(response.starts_with("HTTP/1.1 405 "), "{response}");
            assert!(
                response.contains(JSON) && response.ends_with(&format!("\r\n\r\n{expected}")),
                "{response}"
            );
        }
        for path in ["/archlink/other", "/archlink/Evacuation.Begin/", "/archlink/members/", "/members"] {
            let request = format!("GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n");
            let (_, response) = serve_caller(request.as_bytes(), false, 3).await;
            assert!(response.starts_with("HTTP/1.1 404 "), "{response}");
            assert!(
                response.contains(JSON) && response.ends_with("\r\n\r\n{\"Error\":\"no such call\"}"),
                "{response}"
            );
        }
    });
}

#[test]
fn replaced_configuration_is_answered_with_its_digest_and_the_one_in_force() {
    run(async {
        let cluster = running_cluster().await;
        let (older, newer) = (configuration(10, 5), configuration(11, 6));
        let digest = |text: &str| hex(&digest(text.as_bytes()));
        let fields = call_ok(&cluster, Call::ReplaceConfiguration, "", &newer).await;
        let version_fields =
            |version: &str, text: &str| json!({"ConfigVersion": version, "Digest": digest(text)});
        let mut expected = version_fields("0000000b", &newer);
        expected["InForce"] = version_fields("0000000b", &newer);
        assert_eq!(fields, expected);
        let fields = call_ok(&cluster, Call::ReplaceConfiguration, "", &older).await;
        let mut expected = version_fields("0000000a", &older);
        expected["InForce"] = version_fields("0000000b", &newer);
        assert_eq!(fields, expected);

        let other = configuration(11, 7);
        let (answer, fields) = cluster.call(0, Call::ReplaceConfiguration, "", &other).await;
        let error = "another text stands under this number: read it, and send yours under a higher one";
        let expected = json!({"Error": error, "ConfigVersion": "0000000b", "Digest": digest(&newer),
            "YourDigest": digest(&other)});
        assert_eq!((answer.status, header_lines(&answer).as_str(), fields), (409, JSON, expected));

        for (text, error) in [
            (
                configuration(12, 5).replace("0000000c", "x"),
                "ConfigVersion: found x, allowed is hexadecimal digits",
            ),
            (
                configuration((1 << 40) - 1, 5),
                "ConfigVersion: found ffffffffff, allowed is fffffffffe at most",
            ),
        ] {
            let (answer, fields) = cluster.call(0, Call::ReplaceConfiguration, "", &text).await;
            assert_eq!(
                (answer.status, header_lines(&answer).as_str(), fields),
                (400, JSON, json!({"Error": error}))
            );
        }
    });
}

#[test]
fn configuration_in_force_is_read_byte_for_byte_with_three_headers() {
    run(async {
        let cluster = SimulatedCluster::new();
        advance(1.0).await;
        let (answer, fields) = cluster.call(0, Call::ReadConfiguration, "", "").await;
        let expected = json!({"Error": "no configuration was ever taken"});
        assert_eq!((answer.status, header_lines(&answer).as_str(), fields), (404, JSON, expected));
        let text = configuration(10, 5);
        cluster.call(0, Call::ReplaceConfiguration, "", &text).await;
        let (answer, _) = cluster.call(0, Call::ReadConfiguration, "", "").await;
        assert_eq!((answer.status, &answer.body[..]), (200, text.as_bytes()));
        let header_lines = header_lines(&answer);
        let digest = hex(&digest(text.as_bytes()));
        let (before, ago) = header_lines.split_once("Confirmed-Seconds-Ago: ").unwrap();
        assert_eq!(before, format!("{JSON}Config-Version: 0000000a\r\nConfig-Digest: {digest}\r\n"));
        let (whole, thousandths) = ago.trim_end().split_once('.').unwrap();
        assert!(whole == "0" && thousandths.len() == 3 && ago.ends_with("\r\n"), "{ago}");
    });
}

#[test]
fn evacuation_is_answered_with_its_zone() {
    run(async {
        let cluster = running_cluster().await;
        let fields = call_ok(&cluster, Call::BeginEvacuation, "east", "").await;
        assert_eq!(fields, json!({"Zone": "east", "Evacuated": true}));
        let fields = call_ok(&cluster, Call::FinishEvacuation, "east", "").await;
        assert_eq!(fields, json!({"Zone": "east", "Evacuated": false}));
        for call in [Call::BeginEvacuation, Call::FinishEvacuation] {
            let (answer, fields) = cluster.call(0, call, "north", "").await;
            let expected = json!({"Error": "\"north\" is no zone of this deployment"});
            assert_eq!((answer.status, header_lines(&answer).as_str(), fields), (404, JSON, expected));
        }
    });
}

#[test]
fn voters_answer_has_these_fields() {
    run(async {
        let cluster = running_cluster().await;
        advance(1.0).await;
        call_ok(&cluster, Call::BeginEvacuation, "east", "").await;
        advance(1.0).await;
        let fields = call_ok(&cluster, Call::Voters, "", "").await;
        let member = |n: u32, seat: bool| {
            json!({"Address": format!("10.0.0.{n}"), "Control": format!("10.0.0.{n}:8200"), "Zone": "west",
                "Seat": seat, "Comes": false, "Here": n == 1, "HeardSecondsAgo": "seconds", "DiskWhole": true})
        };
        let accepted = |register: &str, revision: u64, version: Option<&str>| json!({"Register": register, "Stamp": revision, "ConfigVersion": version, "Ballot": "three numbers"});
        let expected = json!({
            "Here": "10.0.0.1", "Epoch": 1, "Founded": true, "Changing": false,
            "Members": [member(1, true), member(2, true), member(3, true), member(4, false)],
            "Lost": [], "DiskWhole": true, "LastChange": null,
            "Held": [accepted("Chart", 11, Some("0000000a")), accepted("Evacuations", 1, None)],
            "ConfirmedSecondsAgo": "seconds", "Contact": true,
        });
        assert_eq!(fields, expected);

        // A change of the voters is answered with the same fields, without the age of the quorum's confirmation.
        let fields = call_ok(&cluster, Call::ReplaceVoter, "10.0.0.3/10.0.0.4", "").await;
        assert_eq!(
            (&fields["Epoch"], &fields["ConfirmedSecondsAgo"], &fields["Contact"]),
            (&json!(3), &Value::Null, &Value::Null)
        );
        let expected = json!([
            accepted("Chart", 11, Some("0000000a")),
            accepted("Evacuations", 1, None),
            accepted("Muster", 3, None)
        ]);
        assert_eq!(fields["Held"], expected);
        let expected = json!({"SecondsAgo": "seconds", "Came": true});
        assert_eq!(fields["LastChange"], expected);
    });
}

/// Each rejection of a membership change, as its text reaches an operator.
#[test]
fn each_membership_error_has_its_reason_and_text() {
    for (membership_error, reason, error) in [
        (
            MembershipError::Unknown,
            "Unknown",
            "who votes is not known here yet: ask again once this gateway has reached another, or ask another",
        ),
        (
            MembershipError::ChangeInProgress,
            "UnderWay",
            "another change of the voters is under way: see `voters`, and order again once it has ended",
        ),
        (
            MembershipError::NotAVoter,
            "NoSeat",
            "the one that is to go has no seat: see `voters` for those that have",
        ),
        (
            MembershipError::AlreadyAVoter,
            "Seated",
            "the one that is to come has a seat already: see `voters`",
        ),
        (
            MembershipError::Unreachable,
            "Absent",
            "the one that is to come is not heard of: start it, and order again once `members` names it",
        ),
        (
            MembershipError::NotRecovered,
            "NotWhole",
            "too many voters are not there or have not read back their disks: see `voters`, and bring those back first",
        ),
        (
            MembershipError::WrongEpoch,
            "Epoch",
            "the epoch that was named is not the one that stands: see `voters`, and name that",
        ),
    ] {
        let answer = answers::rejected(membership_error);
        assert_eq!((answer.status, header_lines(&answer).as_str()), (409, JSON));
        assert_eq!(body(&answer), json!({"Error": error, "Reason": reason}));
    }
}

/// A request that was not started, or has no outcome yet, is answered so, with when to retry.
#[test]
fn request_without_outcome_is_answered_503_with_its_text() {
    for (ended, error) in [
        (
            Ok(Outcome::Unknown),
            "no majority has taken it yet: it may or may not come to be; the same order sent again tells",
        ),
        (
            Err(NotStarted::NoQuorum),
            "not begun: no majority answers this gateway; nothing was altered, nor will be",
        ),
        (
            Err(NotStarted::NotBootstrapped),
            "not begun: the first start has not taken in as many voters as are needed",
        ),
        (
            Err(NotStarted::TooManyPending),
            "not begun: too many orders wait; nothing was altered, nor will be",
        ),
    ] {
        let answer = answers::outcome_or_unavailable(ended).unwrap_err();
        assert_eq!((answer.status, header_lines(&answer).as_str()), (503, JSON_AND_RETRY_AFTER));
        assert_eq!(body(&answer), json!({"Error": error}));
    }
}

#[test]
fn invalid_request_about_voters_is_answered_with_its_text() {
    run(async {
        let cluster = SimulatedCluster::new();
        advance(1.0).await;
        let force_body = r#"{"Epoch":1,"Lose":["10.0.0.2"]}"#;
        for (call, names, text, status, error) in [
            (Call::ReplaceVoter, "10.0.0.3", "", 400, "two addresses are needed: OLD/NEW"),
            (
                Call::ReplaceVoter,
                "10.0.0.3/control-4",
                "",
                400,
                "\"control-4\" is no address of a machine, as 10.0.0.1",
            ),
            (
                Call::ForceNewGeneration,
                "",
                r#"{"Epoch":1,"Lose":["control-3"]}"#,
                400,
                "\"control-3\" is no address of a machine, as 10.0.0.1",
            ),
            (
                Call::ForceNewGeneration,
                "",
                r#"{"Epoch":1}"#,
                400,
                "the body names Epoch and Lose: missing field `Lose` at line 1 column 11",
            ),
            (
                Call::ForceNewGeneration,
                "",
                r#"{"Lose":[]}"#,
                400,
                "the body names Epoch and Lose: missing field `Epoch` at line 1 column 11",
            ),
            (
                Call::ForceNewGeneration,
                "",
                force_body,
                409,
                "this gateway has only started and may not have reached the others: order again in 5 s",
            ),
        ] {
            let (answer, fields) = cluster.call(0, call, names, text).await;
            assert_eq!(
                (answer.status, header_lines(&answer).as_str(), fields),
                (status, JSON, json!({"Error": error}))
            );
        }
        advance(6.0).await;
        let assert_rejected = async |error: &str| {
            let (answer, fields) = cluster.call(0, Call::ForceNewGeneration, "", force_body).await;
            assert_eq!(
                (answer.status, header_lines(&answer).as_str(), fields),
                (409, JSON, json!({"Error": error}))
            );
        };
        assert_rejected(
            "a majority answers here: nothing is lost; order `voters replace` for a machine that is gone",
        )
        .await;
        cluster.partition(0, true);
        advance(8.0).await;
        assert_rejected("the seats that nothing is heard of here are 10.0.0.2,10.0.0.3: name exactly these")
            .await;
    });
}

#[test]
fn forced_new_generation_is_answered_with_the_voters_fields() {
    run(async {
        let cluster = running_cluster().await;
        cluster.partition(1, true);
        cluster.partition(2, true);
        advance(8.0).await;
        let text = r#"{"Epoch":1,"Lose":["10.0.0.2","10.0.0.3"]}"#;
        let fields = call_ok(&cluster, Call::ForceNewGeneration, "", text).await;
        // The new epoch is beyond all that were counted one by one.
        let epoch = fields["Epoch"].clone();
        assert!(epoch.as_u64() > Some(1 << 32), "{fields}");
        let member = |n: u32| {
            json!({"Address": format!("10.0.0.{n}"), "Control": format!("10.0.0.{n}:8200"), "Zone": "west",
                "Seat": n == 1, "Comes": false, "Here": n == 1, "HeardSecondsAgo": "seconds", "DiskWhole": true})
        };
        let accepted = |register: &str, revision: Value, version: Option<&str>| json!({"Register": register, "Stamp": revision, "ConfigVersion": version, "Ballot": "three numbers"});
        let expected = json!({
            "Here": "10.0.0.1", "Epoch": epoch.clone(), "Founded": true, "Changing": false,
            "Members": [member(1), member(2), member(3), member(4)], "Lost": [], "DiskWhole": true,
            "LastChange": null,
            "Held": [accepted("Chart", json!(11), Some("0000000a")), accepted("Muster", epoch, None)],
        });
        assert_eq!(fields, expected);
    });
}

#[test]
fn resolution_names_addresses_and_their_ttl() {
    run(async {
        let cluster = running_cluster().await;
        let expected = json!({"Addresses": ["10.0.1.1:8206"], "Ttl": "2000ms"});
        assert_eq!(call_ok(&cluster, Call::Resolve, "", "").await, expected);
        assert_eq!(call_ok(&cluster, Call::Resolve, "?Zone=west&Region=coast", "").await, expected);
        advance(20.0).await;
        let (answer, fields) = cluster.call(0, Call::Resolve, "", "").await;
        let expected = json!({"Error": "no data gateway is ready"});
        assert_eq!(
            (answer.status, header_lines(&answer).as_str(), fields),
            (503, JSON_AND_RETRY_AFTER, expected)
        );
    });
}

#[test]
fn members_answer_has_these_fields() {
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
fn hosts_answer_has_these_fields() {
    run(async {
        let cluster = running_cluster().await;
        call_ok(&cluster, Call::BeginEvacuation, "east", "").await;
        let (answer, fields) = cluster.call(0, Call::Hosts, "", "").await;
        assert_eq!(
            (answer.status, header_lines(&answer).as_str(), &fields["Term"]),
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
fn leases_answer_has_these_names() {
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
fn quota_answer_has_these_fields() {
    run(async {
        let cluster = running_cluster().await;
        advance(1.0).await;
        let mut lease_holders = 0;
        for n in 0..3 {
            let (answer, fields) = cluster.call(n, Call::Quota, "", "").await;
            assert_eq!((answer.status, header_lines(&answer).as_str()), (200, JSON));
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
fn events_answer_has_these_texts() {
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
        (Event::TimePassed { contact: true }, "a session fell silent"),
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
        let (answer, fields) = send_call(&node, Call::Events, "", "").await;
        assert_eq!((answer.status, header_lines(&answer).as_str()), (200, JSON));
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

/// Registers and roles have these names in answers; scripts compare them.
#[test]
fn answers_name_roles_and_registers_in_these_words() {
    let roles = [SingletonRole::HostDiscovery, SingletonRole::QuotaCounter];
    assert_eq!(roles.map(answer_names::role), ["Lookout", "Tally"]);
    let registers = [Register::Configuration, Register::Evacuations, Register::VoterSet];
    assert_eq!(registers.map(answer_names::register), ["Chart", "Evacuations", "Muster"]);
}
