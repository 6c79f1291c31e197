//! The operators' interface as seen from outside: paths, statuses, headers, field names and texts, all spelled out. They stay
//! the same when types of the program are renamed.

mod configurations;
mod queries;
mod voters;

use super::simulated_cluster::{
    NODES, SimulatedCluster, SimulatedDisk, advance, configuration, run, send_call, stalled_node,
};
use super::{data_node, serve_caller};
use crate::admin::calls::Call;
use crate::admin::configuration::{digest, hex};
use crate::admin::{response_names, responses};
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

fn header_lines(response: &Response) -> String {
    String::from_utf8_lossy(&response.header_lines).into_owned()
}

fn body(response: &Response) -> Value {
    serde_json::from_slice(&response.body).unwrap()
}

/// Replaces values that differ between runs by the name of their type. A value of an unexpected type is kept.
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
                    ("Ballot", Value::Array(parts))
                        if parts.len() == 3 && parts.iter().all(Value::is_u64) =>
                    {
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

/// A cluster of three voters and one other node, with a configuration in force, a data node in session with the first node,
/// and two hosts.
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

/// The normalized body of a call's response, which must have status 200.
async fn call_ok(cluster: &SimulatedCluster, call: Call, path_parameters: &str, text: &str) -> Value {
    let (response, _) = cluster.call(0, call, path_parameters, text).await;
    assert_eq!((response.status, header_lines(&response).as_str()), (200, JSON), "{call:?}");
    normalized(body(&response))
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

/// On the wire: a path without a call gets 404, a call with another method 405, each with its error text.
#[test]
fn unknown_path_is_404_and_wrong_method_405_with_their_texts() {
    run(async {
        for call in Call::iter() {
            let wrong = if call.method() == "GET" { "POST" } else { "GET" };
            let path_parameters = if call.path().ends_with('/') { "east" } else { "" };
            let request =
                format!("{wrong} {}{path_parameters} HTTP/1.1\r\nConnection: close\r\n\r\n", call.path());
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

/// A request that was not started or has no outcome yet gets a response that says so and when to retry.
#[test]
fn request_without_outcome_gets_503_with_its_text() {
    for (result, error) in [
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
        let response = responses::outcome_or_unavailable(result).unwrap_err();
        assert_eq!((response.status, header_lines(&response).as_str()), (503, JSON_AND_RETRY_AFTER));
        assert_eq!(body(&response), json!({"Error": error}));
    }
}

/// Scripts compare the names of registers and roles in responses.
#[test]
fn roles_and_registers_have_fixed_names_in_responses() {
    let roles = [SingletonRole::HostDiscovery, SingletonRole::QuotaCounter];
    assert_eq!(roles.map(response_names::role), ["Lookout", "Tally"]);
    let registers = [Register::Configuration, Register::Evacuations, Register::VoterSet];
    assert_eq!(registers.map(response_names::register), ["Chart", "Evacuations", "Muster"]);
}
