//! Tests of both programs against stand-ins on loopback: what clients, hosts, the platform and operators observe on their
//! sockets.

use archlink_demo::http::{exchange, send};
use archlink_demo::{DemoSystem, FirstStart, HostBehavior, configuration};
use std::collections::BTreeSet;

/// Starts a system and waits until it serves requests. The tenant `lab` has a quota of `rate` requests per second, and there are
/// two hosts in two zones.
fn serving_system(network: u8, rate: u32) -> DemoSystem {
    let system = DemoSystem::start(network).unwrap();
    system.platform.add_host("host-a", "reports", "west").unwrap();
    system.platform.add_host("host-b", "reports", "east").unwrap();
    let text = configuration(1, rate);
    let is_committed = |system: &DemoSystem| {
        let response = system.call_operator(0, "POST", "Configuration.Replace", &text);
        response.is_some_and(|response| response.status() == 200)
    };
    system.wait_until("the configuration is committed", is_committed).unwrap();
    for data_node in 0..2 {
        // Uses the tenant's key, so that the data node also reaches the quota counter.
        let serves = |system: &DemoSystem| {
            let response = system.send_request(data_node, "GET", "/read/0", "warm", "lab-key");
            response.is_some_and(|response| response.status() == 200)
        };
        system.wait_until("the data node serves requests", serves).unwrap();
    }
    system
}

/// Attempt IDs of all requests that hosts executed.
fn executed(system: &DemoSystem) -> Vec<String> {
    system.platform.hosts().iter().flat_map(|host| host.executed()).collect()
}

fn set_behavior(system: &DemoSystem, behavior: HostBehavior) {
    system.platform.hosts().iter().for_each(|host| host.set_behavior(behavior));
}

#[test]
fn request_reaches_a_host_with_its_tenant_and_without_its_key() {
    let system = serving_system(1, 50);
    let response = system.send_request(0, "POST", "/submit/x?y=1", "one", "lab-key").unwrap();
    assert_eq!(
        (response.status(), response.header("server-seal"), response.header("attempt-id")),
        (200, "seal", "one")
    );
    let hosts = system.platform.hosts();
    let submitted = hosts
        .iter()
        .find_map(|host| {
            host.last_executed("subscriber").filter(|request| request.request_line.contains("submit"))
        })
        .unwrap();
    assert_eq!(
        (submitted.request_line.as_str(), submitted.header.as_str()),
        ("POST /submit/x?y=1 HTTP/1.1", "lab")
    );
    assert!(
        hosts.iter().all(|host| host.last_executed("key").is_none_or(|request| request.header.is_empty())),
        "a host received the tenant's key"
    );
    drop(hosts);
    let status =
        |path, key| system.send_request(0, "GET", path, "two", key).map(|response| response.status());
    assert_eq!((status("/read/1", "nobody's"), status("/nowhere/", "lab-key")), (Some(401), Some(404)));
}

#[test]
fn request_that_may_have_executed_is_not_retried_and_a_rejected_one_is_not_executed() {
    let system = serving_system(2, 50);
    set_behavior(&system, HostBehavior::DropsConnection);
    let status =
        system.send_request(0, "POST", "/submit/x", "lost", "lab-key").map(|response| response.status());
    assert_eq!(status, Some(502));
    assert_eq!(executed(&system).iter().filter(|id| *id == "lost").count(), 1);
    set_behavior(&system, HostBehavior::Overloaded);
    let response = system.send_request(0, "POST", "/submit/x", "full", "lab-key").unwrap();
    assert!(
        response.status() == 503 && !response.header("retry-after").is_empty(),
        "{}",
        response.start_line
    );
    assert!(!executed(&system).contains(&"full".to_string()));
}

/// The requests accepted by both data nodes together stay within the quota's bound and don't fall far below it.
#[test]
fn two_data_nodes_share_one_quota() {
    let system = serving_system(3, 30);
    let statuses: Vec<u16> = (0..400)
        .map(|n| {
            let response = system.send_request(n % 2, "POST", "/submit/x", &format!("q{n}"), "lab-key");
            response.map_or(0, |response| response.status())
        })
        .collect();
    let accepted = statuses.iter().filter(|status| **status == 200).count();
    let rejected = statuses.iter().filter(|status| **status == 429).count();
    assert_eq!(accepted + rejected, 400, "{statuses:?}");
    // All requests are sent within one window of 5 s, particularly on a fast machine.
    let bound = (30.0 * 5.0 + 30.0) * 1.1 + 20.0;
    // The counter alone accepts 0.72 of the burst at once; local shares are granted later.
    assert!(accepted as f64 <= bound && accepted >= 15, "{accepted} of at most {bound}");
}

#[test]
fn draining_host_and_evacuated_zone_get_no_new_requests() {
    let system = serving_system(4, 50);
    system.platform.hosts()[0].draining = true;
    let gets_no_requests = |system: &DemoSystem| {
        let before = system.platform.hosts()[0].executed().len();
        (0..10).for_each(|n| drop(system.send_request(n % 2, "GET", "/read/x", "drain", "free-key")));
        system.platform.hosts()[0].executed().len() == before
    };
    system.wait_until("the draining host gets no requests", gets_no_requests).unwrap();
    let evacuation = |control_node, call: &str| {
        system.call_operator(control_node, "POST", call, "").map(|response| response.status())
    };
    assert_eq!(evacuation(2, "Evacuation.Begin/nowhere"), Some(404));
    assert_eq!(evacuation(2, "Evacuation.Begin/east"), Some(200));
    let responds_with = |status: u16, attempt_id: &'static str| {
        move |system: &DemoSystem| {
            let response = system.send_request(1, "GET", "/read/x", attempt_id, "free-key");
            response.is_some_and(|response| response.status() == status)
        }
    };
    system.wait_until("no host is available", responds_with(503, "none")).unwrap();
    assert_eq!(evacuation(0, "Evacuation.Finish/east"), Some(200));
    system.wait_until("the zone serves requests again", responds_with(200, "back")).unwrap();
}

#[test]
fn configuration_survives_restart_of_all_control_nodes_and_invalid_or_older_ones_change_nothing() {
    let mut system = serving_system(5, 50);
    let read = |system: &DemoSystem, control_node| {
        let response = system.call_operator(control_node, "GET", "Configuration.Read", "");
        response.filter(|response| response.status() == 200).map(|response| response.body)
    };
    assert_eq!(read(&system, 2), Some(configuration(1, 50)));
    let invalid = configuration(9, 50).replace("\"3s\"", "\"0ms\"");
    let rejected = system.call_operator(1, "POST", "Configuration.Replace", &invalid).unwrap();
    assert!(rejected.status() == 400 && rejected.body.contains("Timeout"), "{}", rejected.body);
    let older = system.call_operator(1, "POST", "Configuration.Replace", &configuration(0, 7)).unwrap();
    assert_eq!(older.status(), 200);
    (0..3).for_each(|index| system.stop_control_node(index));
    (0..3).for_each(|index| system.start_control_node(index, FirstStart::No).unwrap());
    let is_read_back = |system: &DemoSystem| read(system, 1) == Some(configuration(1, 50));
    system.wait_until("the configuration is read back", is_read_back).unwrap();
}

/// Two operators send different configurations under one version to two control nodes at the same time. One is acknowledged, the
/// other is rejected with the digest of the accepted one, and every node gives the same answers from then on. Guards against
/// acknowledging both.
#[test]
fn of_two_configurations_under_one_version_one_is_acknowledged_by_all_nodes() {
    let system = serving_system(7, 50);
    let texts = [configuration(2, 60), configuration(2, 70)];
    let replace = |address, text: &str| loop {
        // After a 503 the outcome is unknown; repeating the operation determines it.
        let response = send(address, "POST", "/archlink/Configuration.Replace", &[], text);
        if let Some(response) = response.filter(|response| response.status() != 503) {
            let answer = serde_json::from_str::<serde_json::Value>(&response.body).unwrap();
            return (response.status(), answer);
        }
    };
    let (first_node, second_node) = (system.operator_address(0), system.operator_address(1));
    let (first, second) = std::thread::scope(|scope| {
        let first = scope.spawn(|| replace(first_node, &texts[0]));
        let second = scope.spawn(|| replace(second_node, &texts[1]));
        (first.join().unwrap(), second.join().unwrap())
    });
    let mut statuses = [first.0, second.0];
    statuses.sort_unstable();
    assert_eq!((statuses, &first.1["Digest"]), ([200, 409], &second.1["Digest"]), "{} {}", first.1, second.1);
    for index in 0..3 {
        let address = system.operator_address(index);
        let repeated = [replace(address, &texts[0]), replace(address, &texts[1])];
        assert_eq!([repeated[0].0, repeated[1].0], [first.0, second.0], "control node {index}");
        let is_same_digest = repeated.iter().all(|(_, answer)| answer["Digest"] == first.1["Digest"]);
        assert!(is_same_digest, "control node {index}");
    }
    let accepted = system.call_operator(2, "GET", "Configuration.Read", "").unwrap();
    assert_eq!(accepted.body, texts[usize::from(first.0 != 200)]);
    assert_eq!(accepted.header("config-digest"), first.1["Digest"].as_str().unwrap());
}

/// Requests smuggled in others, repeated headers and false lengths get a 400, and no host receives any of them.
#[test]
fn smuggled_requests_are_rejected_and_reach_no_host() {
    let system = serving_system(6, 50);
    let inner =
        "POST /submit/inner HTTP/1.1\r\nHost: reports.example\r\nAttempt-Id: inner\r\nKey: lab-key\r\n\r\n";
    let before: BTreeSet<String> = executed(&system).into_iter().collect();
    for (lines, body) in [
        ("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
        ("Content-Length: 0\r\nContent-Length: 9\r\n", ""),
        ("Transfer-Encoding: chunked\r\n", "1\r\nab\r\n0\r\n\r\n"),
        ("Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n"),
        ("Key: free-key\r\n", ""),
        ("Attempt-Id: other\r\n", ""),
        ("X: a\nKey: free-key\r\n", ""),
    ] {
        let head =
            "POST /submit/x HTTP/1.1\r\nHost: reports.example\r\nAttempt-Id: outer\r\nKey: lab-key\r\n";
        let bytes = format!("{head}{lines}\r\n{body}{inner}");
        let response = exchange(system.front_address(0), bytes.as_bytes()).expect("a response");
        assert_eq!(response.status(), 400, "{lines:?}");
    }
    let after: BTreeSet<String> = executed(&system).into_iter().collect();
    assert_eq!(before, after);
}
