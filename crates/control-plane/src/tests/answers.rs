//! The operators' calls as they are seen from outside: paths, statuses, header lines, field names and texts, all written
//! out here. They stay as they are when types of the program are renamed.

use super::{data_node, served};
use crate::admin_commands;
use crate::answer_names;
use crate::calls::Call;
use crate::node::Unbegun;
use crate::simulated_cluster::{NODES, Shelf, Sound, configuration, pass, play, still};
use crate::state_change_log::{Notices, Seen};
use archlink_consensus::{MembershipError, Outcome};
use archlink_control_node::event_log::Event;
use archlink_http::codec::Response;
use archlink_messages::{
    ControlNode, HostInstance, HostList, Register, SINGLETON_ROLES, SessionTable, VoterSet,
};
use serde_json::{Value, json};
use std::net::SocketAddrV4;
use strum::IntoEnumIterator;

const JSON: &str = "Content-Type: application/json\r\n";
const JSON_AND_COME_BACK: &str = "Content-Type: application/json\r\nRetry-After: 0.3\r\n";

fn lines(answer: &Response) -> String {
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

/// Three voters and one gateway more: a configuration in force, a data gateway in session with the first one, two hosts.
async fn running() -> Sound {
    let sound = Sound::new();
    pass(2.0).await;
    assert_eq!(sound.call(0, Call::Replace, "", &configuration(10, 5)).await.0.status, 200);
    let host = |id: &str, draining, cold_for| HostInstance {
        id: id.into(),
        service: "reports".into(),
        address: SocketAddrV4::new([10, 1, 0, 1].into(), 9000),
        zone: "west".into(),
        capacity: 4,
        draining,
        warm_up_seconds: cold_for,
    };
    let hosts = HostList {
        term: 1000,
        version: 12,
        instances: vec![host("i-1", false, 1.5), host("i-2", true, 0.0)],
    };
    sound.ports[0].step(|control, now| control.record_event(now, Event::HostListChanged(hosts)));
    sound.ports[0].step(|control, now| control.record_event(now, Event::SessionRenewed(data_node())));
    sound
}

/// The answer of an operator's call, with status 200.
async fn answered(sound: &Sound, call: Call, names: &str, text: &str) -> Value {
    let (answer, _) = sound.call(0, call, names, text).await;
    assert_eq!((answer.status, lines(&answer).as_str()), (200, JSON), "{call:?}");
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
fn a_wrong_path_or_method_is_answered_with_its_text() {
    play(async {
        for call in Call::iter() {
            let wrong = if call.method() == "GET" { "POST" } else { "GET" };
            let names = if call.path().ends_with('/') { "east" } else { "" };
            let request = format!("{wrong} {}{names} HTTP/1.1\r\nConnection: close\r\n\r\n", call.path());
            let (_, said) = served(request.as_bytes(), false, 3).await;
            let expected = format!(r#"{{"Error":"{} is the method of this call"}}"#, call.method());
            assert!(said.starts_with("HTTP/1.1 405 "), "{said}");
            assert!(said.contains(JSON) && said.ends_with(&format!("\r\n\r\n{expected}")), "{said}");
        }
        for path in ["/archlink/other", "/archlink/Evacuation.Begin/", "/archlink/members/", "/members"] {
            let request = format!("GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n");
            let (_, said) = served(request.as_bytes(), false, 3).await;
            assert!(said.starts_with("HTTP/1.1 404 "), "{said}");
            assert!(said.contains(JSON) && said.ends_with("\r\n\r\n{\"Error\":\"no such call\"}"), "{said}");
        }
    });
}

#[test]
fn a_replaced_configuration_is_answered_with_its_digest_and_the_one_in_force() {
    play(async {
        let sound = running().await;
        let (own, newer) = (configuration(10, 5), configuration(11, 6));
        let digest = |text: &str| admin_commands::hex(&admin_commands::digest(text.as_bytes()));
        let told = answered(&sound, Call::Replace, "", &newer).await;
        let mark = |version: &str, text: &str| json!({"ConfigVersion": version, "Digest": digest(text)});
        let mut expected = mark("0000000b", &newer);
        expected["InForce"] = mark("0000000b", &newer);
        assert_eq!(told, expected);
        let told = answered(&sound, Call::Replace, "", &own).await;
        let mut expected = mark("0000000a", &own);
        expected["InForce"] = mark("0000000b", &newer);
        assert_eq!(told, expected);

        let other = configuration(11, 7);
        let (answer, told) = sound.call(0, Call::Replace, "", &other).await;
        let error = "another text stands under this number: read it, and send yours under a higher one";
        let expected = json!({"Error": error, "ConfigVersion": "0000000b", "Digest": digest(&newer),
            "YourDigest": digest(&other)});
        assert_eq!((answer.status, lines(&answer).as_str(), told), (409, JSON, expected));

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
            let (answer, told) = sound.call(0, Call::Replace, "", &text).await;
            assert_eq!((answer.status, lines(&answer).as_str(), told), (400, JSON, json!({"Error": error})));
        }
    });
}

#[test]
fn the_configuration_in_force_is_read_byte_for_byte_with_three_headers() {
    play(async {
        let sound = Sound::new();
        pass(1.0).await;
        let (answer, told) = sound.call(0, Call::Read, "", "").await;
        let expected = json!({"Error": "no configuration was ever taken"});
        assert_eq!((answer.status, lines(&answer).as_str(), told), (404, JSON, expected));
        let text = configuration(10, 5);
        sound.call(0, Call::Replace, "", &text).await;
        let (answer, _) = sound.call(0, Call::Read, "", "").await;
        assert_eq!((answer.status, &answer.body[..]), (200, text.as_bytes()));
        let lines = lines(&answer);
        let digest = admin_commands::hex(&admin_commands::digest(text.as_bytes()));
        let (before, ago) = lines.split_once("Confirmed-Seconds-Ago: ").unwrap();
        assert_eq!(before, format!("{JSON}Config-Version: 0000000a\r\nConfig-Digest: {digest}\r\n"));
        let (whole, thousandths) = ago.trim_end().split_once('.').unwrap();
        assert!(whole == "0" && thousandths.len() == 3 && ago.ends_with("\r\n"), "{ago}");
    });
}

#[test]
fn an_evacuation_is_answered_with_its_zone() {
    play(async {
        let sound = running().await;
        let told = answered(&sound, Call::Begin, "east", "").await;
        assert_eq!(told, json!({"Zone": "east", "Evacuated": true}));
        let told = answered(&sound, Call::Finish, "east", "").await;
        assert_eq!(told, json!({"Zone": "east", "Evacuated": false}));
        for call in [Call::Begin, Call::Finish] {
            let (answer, told) = sound.call(0, call, "north", "").await;
            let expected = json!({"Error": "\"north\" is no zone of this deployment"});
            assert_eq!((answer.status, lines(&answer).as_str(), told), (404, JSON, expected));
        }
    });
}

#[test]
fn the_voters_are_told_with_these_fields() {
    play(async {
        let sound = running().await;
        pass(1.0).await;
        answered(&sound, Call::Begin, "east", "").await;
        pass(1.0).await;
        let told = answered(&sound, Call::Voters, "", "").await;
        let member = |n: u32, seat: bool| {
            json!({"Address": format!("10.0.0.{n}"), "Control": format!("10.0.0.{n}:8200"), "Zone": "west",
                "Seat": seat, "Comes": false, "Here": n == 1, "HeardSecondsAgo": "seconds", "DiskWhole": true})
        };
        let held = |register: &str, stamp: u64, version: Option<&str>| json!({"Register": register, "Stamp": stamp, "ConfigVersion": version, "Ballot": "three numbers"});
        let expected = json!({
            "Here": "10.0.0.1", "Epoch": 1, "Founded": true, "Changing": false,
            "Members": [member(1, true), member(2, true), member(3, true), member(4, false)],
            "Lost": [], "DiskWhole": true, "LastChange": null,
            "Held": [held("Chart", 11, Some("0000000a")), held("Evacuations", 1, None)],
            "ConfirmedSecondsAgo": "seconds", "Contact": true,
        });
        assert_eq!(told, expected);

        // A change of the voters is answered with the same fields, without the age of a majority's word.
        let told = answered(&sound, Call::VotersReplace, "10.0.0.3/10.0.0.4", "").await;
        assert_eq!(
            (&told["Epoch"], &told["ConfirmedSecondsAgo"], &told["Contact"]),
            (&json!(3), &Value::Null, &Value::Null)
        );
        let expected = json!([
            held("Chart", 11, Some("0000000a")),
            held("Evacuations", 1, None),
            held("Muster", 3, None)
        ]);
        assert_eq!(told["Held"], expected);
        let expected = json!({"SecondsAgo": "seconds", "Came": true});
        assert_eq!(told["LastChange"], expected);
    });
}

/// Each refusal of an order about the voters, as its text reaches an operator.
#[test]
fn each_refusal_has_its_reason_and_text() {
    for (why, reason, error) in [
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
        let answer = admin_commands::not_so(why);
        assert_eq!((answer.status, lines(&answer).as_str()), (409, JSON));
        assert_eq!(body(&answer), json!({"Error": error, "Reason": reason}));
    }
}

/// An order that was not begun, or has no end yet, says so and when to come back.
#[test]
fn an_order_without_an_end_is_answered_with_its_text() {
    for (ended, error) in [
        (
            Ok(Outcome::Unknown),
            "no majority has taken it yet: it may or may not come to be; the same order sent again tells",
        ),
        (
            Err(Unbegun::Contact),
            "not begun: no majority answers this gateway; nothing was altered, nor will be",
        ),
        (Err(Unbegun::Founding), "not begun: the first start has not taken in as many voters as are needed"),
        (Err(Unbegun::Many), "not begun: too many orders wait; nothing was altered, nor will be"),
    ] {
        let answer = admin_commands::settled(ended).unwrap_err();
        assert_eq!((answer.status, lines(&answer).as_str()), (503, JSON_AND_COME_BACK));
        assert_eq!(body(&answer), json!({"Error": error}));
    }
}

#[test]
fn a_wrong_order_about_the_voters_is_answered_with_its_text() {
    play(async {
        let sound = Sound::new();
        pass(1.0).await;
        let founding = r#"{"Epoch":1,"Lose":["10.0.0.2"]}"#;
        for (call, names, text, status, error) in [
            (Call::VotersReplace, "10.0.0.3", "", 400, "two addresses are needed: OLD/NEW"),
            (
                Call::VotersReplace,
                "10.0.0.3/control-4",
                "",
                400,
                "\"control-4\" is no address of a machine, as 10.0.0.1",
            ),
            (
                Call::VotersRefound,
                "",
                r#"{"Epoch":1,"Lose":["control-3"]}"#,
                400,
                "\"control-3\" is no address of a machine, as 10.0.0.1",
            ),
            (
                Call::VotersRefound,
                "",
                r#"{"Epoch":1}"#,
                400,
                "the body names Epoch and Lose: missing field `Lose` at line 1 column 11",
            ),
            (
                Call::VotersRefound,
                "",
                r#"{"Lose":[]}"#,
                400,
                "the body names Epoch and Lose: missing field `Epoch` at line 1 column 11",
            ),
            (
                Call::VotersRefound,
                "",
                founding,
                409,
                "this gateway has only started and may not have reached the others: order again in 5 s",
            ),
        ] {
            let (answer, told) = sound.call(0, call, names, text).await;
            assert_eq!(
                (answer.status, lines(&answer).as_str(), told),
                (status, JSON, json!({"Error": error}))
            );
        }
        pass(6.0).await;
        let refused = async |error: &str| {
            let (answer, told) = sound.call(0, Call::VotersRefound, "", founding).await;
            assert_eq!((answer.status, lines(&answer).as_str(), told), (409, JSON, json!({"Error": error})));
        };
        refused(
            "a majority answers here: nothing is lost; order `voters replace` for a machine that is gone",
        )
        .await;
        sound.cut(0, true);
        pass(8.0).await;
        refused("the seats that nothing is heard of here are 10.0.0.2,10.0.0.3: name exactly these").await;
    });
}

#[test]
fn a_founding_anew_is_answered_with_the_fields_of_the_voters() {
    play(async {
        let sound = running().await;
        sound.cut(1, true);
        sound.cut(2, true);
        pass(8.0).await;
        let text = r#"{"Epoch":1,"Lose":["10.0.0.2","10.0.0.3"]}"#;
        let told = answered(&sound, Call::VotersRefound, "", text).await;
        // The new epoch is beyond all that were counted one by one.
        let epoch = told["Epoch"].clone();
        assert!(epoch.as_u64() > Some(1 << 32), "{told}");
        let member = |n: u32| {
            json!({"Address": format!("10.0.0.{n}"), "Control": format!("10.0.0.{n}:8200"), "Zone": "west",
                "Seat": n == 1, "Comes": false, "Here": n == 1, "HeardSecondsAgo": "seconds", "DiskWhole": true})
        };
        let held = |register: &str, stamp: Value, version: Option<&str>| json!({"Register": register, "Stamp": stamp, "ConfigVersion": version, "Ballot": "three numbers"});
        let expected = json!({
            "Here": "10.0.0.1", "Epoch": epoch.clone(), "Founded": true, "Changing": false,
            "Members": [member(1), member(2), member(3), member(4)], "Lost": [], "DiskWhole": true,
            "LastChange": null,
            "Held": [held("Chart", json!(11), Some("0000000a")), held("Muster", epoch, None)],
        });
        assert_eq!(told, expected);
    });
}

#[test]
fn a_resolution_names_addresses_and_how_long_they_count() {
    play(async {
        let sound = running().await;
        let expected = json!({"Addresses": ["10.0.1.1:8206"], "Ttl": "2000ms"});
        assert_eq!(answered(&sound, Call::Resolution, "", "").await, expected);
        assert_eq!(answered(&sound, Call::Resolution, "?Zone=west&Region=coast", "").await, expected);
        pass(20.0).await;
        let (answer, told) = sound.call(0, Call::Resolution, "", "").await;
        let expected = json!({"Error": "no data gateway is ready"});
        assert_eq!((answer.status, lines(&answer).as_str(), told), (503, JSON_AND_COME_BACK, expected));
    });
}

#[test]
fn the_members_are_told_with_these_fields() {
    play(async {
        let sound = running().await;
        let told = answered(&sound, Call::Members, "", "").await;
        let control_node =
            |n: u32| json!({"Control": format!("10.0.0.{n}:8200"), "Zone": "west", "Votes": n < 4});
        let expected = json!({
            "Control": [control_node(1), control_node(2), control_node(3), control_node(4)],
            "Edge": [{"Front": "10.0.1.1:8206", "Zone": "west", "Ready": true}],
            "EdgeCounted": 1, "DiskWhole": true, "ConfirmedSecondsAgo": "seconds", "Contact": true,
        });
        assert_eq!(told, expected);
    });
}

#[test]
fn the_hosts_are_told_with_these_fields() {
    play(async {
        let sound = running().await;
        answered(&sound, Call::Begin, "east", "").await;
        let (answer, told) = sound.call(0, Call::Hosts, "", "").await;
        assert_eq!((answer.status, lines(&answer).as_str(), &told["Term"]), (200, JSON, &json!(1000)));
        let host = |id: &str, draining: bool, cold_for: f64| {
            json!({"InstanceId": id, "Service": "reports", "Address": "10.1.0.1:9000", "Zone": "west",
                "Draining": draining, "ColdForS": cold_for})
        };
        let expected = json!({
            "Term": "a number", "Version": 12, "Hosts": [host("i-1", false, 1.5), host("i-2", true, 0.0)],
            "EvacuatedZones": ["east"], "ConfirmedSecondsAgo": "seconds", "Contact": true,
        });
        assert_eq!(normalized(told), expected);
    });
}

#[test]
fn the_duties_are_told_with_these_names() {
    play(async {
        let sound = running().await;
        let told = answered(&sound, Call::Duties, "", "").await;
        let role = |name: &str| json!({"Duty": name, "Holder": "a voter", "Term": "a number"});
        let expected = json!({"Duties": [role("Lookout"), role("Tally")], "ConfirmedSecondsAgo": "seconds",
            "Contact": true});
        assert_eq!(told, expected);
    });
}

#[test]
fn the_quotas_are_told_with_these_fields() {
    play(async {
        let sound = running().await;
        pass(1.0).await;
        let mut holders = 0;
        for n in 0..3 {
            let (answer, told) = sound.call(n, Call::Quota, "", "").await;
            assert_eq!((answer.status, lines(&answer).as_str()), (200, JSON));
            holders += u32::from(told["CounterTerm"].is_u64());
            let term = if told["CounterTerm"].is_null() { Value::Null } else { json!("a number") };
            let expected = json!({
                "Tenants": [{"Designation": "lab", "RatePerS": 5.0, "BurstSize": 5.0}], "CounterTerm": term,
                "CounterNames": 0, "ConfirmedSecondsAgo": "seconds", "Contact": true,
            });
            assert_eq!(normalized(told), expected);
        }
        assert_eq!(holders, 1);
    });
}

#[test]
fn the_journal_tells_events_in_these_words() {
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
    play(async move {
        let gateway = still(NODES[0], Shelf::default());
        for event in [
            Event::ControlNodeDiscovered(control_node),
            Event::SessionRenewed(data_node()),
            Event::HostListChanged(hosts),
            Event::SessionClosed(data_node().node),
        ] {
            gateway.step(|control, now| control.record_event(now, event));
        }
        let (answer, told) = super::ask(&gateway, Call::Journal, "", "").await;
        assert_eq!((answer.status, lines(&answer).as_str()), (200, JSON));
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
        assert_eq!(normalized(told), expected);
    });
}

/// The log names duties and registers by the same words as the answers.
#[test]
fn the_log_names_duties_and_registers_in_these_words() {
    let (voter_set, mut notices) = (VoterSet::default(), Notices::default());
    let mut lines = |term: Option<u64>| {
        let held = SINGLETON_ROLES.map(|role| (role, term));
        notices.look(0.0, &Seen { contact: None, voter_set: &voter_set, held })
    };
    assert_eq!(lines(Some(3)), ["Lookout won, term 3", "Tally won, term 3"]);
    assert_eq!(lines(None), ["Lookout lost, term 3", "Tally lost, term 3"]);
    let registers = [Register::Configuration, Register::Evacuations, Register::VoterSet];
    assert_eq!(registers.map(answer_names::register), ["Chart", "Evacuations", "Muster"]);
}
