//! Each request of a client gets its own response or none, and one that is not idempotent reaches at most one host.

use super::HostBehaviour::*;
use super::*;
use std::collections::BTreeSet;

/// Two requests, one after the other.
async fn two_requests(script: [HostBehaviour; 2], idempotent: bool, body_length: usize) {
    let (hosts, data_plane) = setup(&script);
    let millis = if script.iter().any(|behaviour| behaviour.times_out()) { 90 } else { 20_000 };
    let target = if idempotent { "/read" } else { "/write" };
    for (n, id) in ["one", "two"].into_iter().enumerate() {
        let response = respond(&data_plane, target, id, millis, body_length).await;
        let executed: Vec<usize> =
            hosts.executed.borrow().iter().filter(|(own, _)| own == id).map(|(_, host)| *host).collect();
        let context = || {
            format!("{script:?}, {idempotent}: {id} got {} and was executed at {executed:?}", response.status)
        };
        if response.status == 200 {
            assert_eq!(response.body, format!("ran {id}"), "{}", context());
            assert!(!executed.is_empty(), "{}", context());
        } else {
            assert!(response.body.is_empty(), "{}", context());
        }
        // These statuses state that it was not executed.
        if [408, 421, 429, 503].contains(&response.status) && !idempotent {
            assert!(executed.is_empty(), "{}", context());
        }
        let different: BTreeSet<usize> = executed.iter().copied().collect();
        let max_executions = 1 + usize::from(idempotent);
        assert!(executed.len() == different.len() && executed.len() <= max_executions, "{}", context());
        if n == 0 && script[0].has_valid_response() && millis > 1000 {
            assert_eq!(response.status, 200, "{}", context());
        }
        hosts.responses_received.set(n + 1);
        hosts.response_received.notify_waiters();
        for _ in 0..20 {
            yield_now().await;
        }
    }
    assert_eq!(*hosts.violations.borrow(), Vec::<String>::new(), "{script:?}, {idempotent}");
}

fn pairs(first: &[HostBehaviour], second: &[HostBehaviour]) -> Vec<([HostBehaviour; 2], bool)> {
    let scripts = first.iter().flat_map(|&one| second.iter().map(move |&two| [one, two]));
    scripts.flat_map(|script| [(script, false), (script, true)]).collect()
}

/// All pairs of what hosts do, for a request and whatever comes after it: its next host, or the next request.
#[test]
fn each_request_gets_its_own_response_or_none_and_executes_once() {
    let scripts = pairs(&BEHAVIOURS, &BEHAVIOURS);
    run(scripts.into_iter().map(|(script, idempotent)| two_requests(script, idempotent, 10)), 32);
}

/// A body that no socket takes at once: the send itself breaks off, when the host has begun to read or before.
#[test]
fn partially_sent_request_is_not_retried() {
    let first = [ResetMidRead, ResetBeforeRead];
    let scripts = pairs(&first, &[Respond, LateResponse, ResetMidRead, NotExecuted]);
    run(scripts.into_iter().map(|(script, idempotent)| two_requests(script, idempotent, 8 << 20)), 4);
}

/// Three pipelined requests of one client on one connection, which disconnects before its responses; then the same of
/// another client, which stays.
async fn pipelined_requests(script: [HostBehaviour; 3]) {
    let (hosts, data_plane) = setup(&script);
    let (server, address, stage) = listen(data_plane).await;
    let requests = |ids: &[&str]| -> String {
        let head =
            "POST /write HTTP/1.1\r\nHost: o\r\nTime-Remaining: 9000\r\nContent-Length: 2\r\nAttempt-Id: ";
        ids.iter().map(|id| format!("{head}{id}\r\n\r\nab")).collect()
    };
    // What can't be framed gets 400 after the responses that are due, and ends the connection.
    let malformed = "GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n";
    for (ids, disconnects) in [(["a", "b", "c"], true), (["d", "e", "f"], false)] {
        let mut client = TcpStream::connect(address).await.unwrap();
        let text = requests(&ids) + malformed + &requests(&["smuggled"]);
        client.write_all(text.as_bytes()).await.unwrap();
        if disconnects {
            // While its first request is in flight.
            for _ in 0..10_000 {
                if server.requests_in_flight.get() > 0 {
                    break;
                }
                yield_now().await;
            }
            continue;
        }
        let mut received = String::new();
        client.read_to_string(&mut received).await.unwrap();
        let own: Vec<&str> = received.lines().filter_map(|line| line.strip_prefix("Attempt-Id: ")).collect();
        assert_eq!(own, ids, "{script:?}: {received}");
        let executed: Vec<&str> = received.split("ran ").skip(1).map(|rest| &rest[..1]).collect();
        let in_order = executed.iter().all(|id| ids.contains(id)) && executed.is_sorted();
        assert!(in_order, "{script:?}: {received}");
        let closed = received.trim_end().ends_with("Connection: close") && received.contains(" 400 ");
        assert!(closed, "{received}");
    }
    assert!(hosts.executed.borrow().iter().all(|(id, _)| id != "smuggled"));
    let executed: BTreeSet<String> = hosts.executed.borrow().iter().map(|(id, _)| id.clone()).collect();
    assert_eq!(executed.len(), hosts.executed.borrow().len(), "{script:?}: one was executed twice");
    drop(stage);
}

/// Responses come in the order of their requests, each with its own id, also after another client's disconnect.
#[test]
fn pipelining_clients_get_their_own_responses_in_order_after_a_disconnect() {
    const FEW: [HostBehaviour; 6] =
        [Respond, UnmatchedWith, CloseAfterRead, NotExecuted, InternalError, UnmatchedBefore];
    let scripts = FEW.iter().flat_map(|&a| FEW.iter().flat_map(move |&b| FEW.map(|c| [a, b, c])));
    run(scripts.map(pipelined_requests), 32);
}
