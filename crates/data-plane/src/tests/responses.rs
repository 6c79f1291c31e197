//! A client never gets the response to another request, and a request that is not idempotent is executed at most once.

use super::HostBehavior::*;
use super::*;
use std::collections::BTreeSet;

/// Sends two requests, the second one after the response to the first.
async fn two_sequential_requests(script: [HostBehavior; 2], idempotent: bool, body_length: usize) {
    let (hosts, data_plane) = setup(&script);
    let timeout_millis = if script.iter().any(|behavior| behavior.times_out()) { 90 } else { 20_000 };
    let target = if idempotent { "/read" } else { "/write" };
    for (n, id) in ["one", "two"].into_iter().enumerate() {
        let response = respond(&data_plane, target, id, timeout_millis, body_length).await;
        let executed: Vec<usize> = hosts
            .executed
            .borrow()
            .iter()
            .filter(|(executed_id, _)| executed_id == id)
            .map(|(_, host)| *host)
            .collect();
        let context = || {
            format!("{script:?}, {idempotent}: {id} got {} and was executed at {executed:?}", response.status)
        };
        if response.status == 200 {
            assert_eq!(response.body, format!("ran {id}"), "{}", context());
            assert!(!executed.is_empty(), "{}", context());
        } else {
            assert!(response.body.is_empty(), "{}", context());
        }
        // Clients take these statuses as a statement that the request was not executed.
        if [408, 421, 429, 503].contains(&response.status) && !idempotent {
            assert!(executed.is_empty(), "{}", context());
        }
        let distinct: BTreeSet<usize> = executed.iter().copied().collect();
        let max_executions = 1 + usize::from(idempotent);
        assert!(executed.len() == distinct.len() && executed.len() <= max_executions, "{}", context());
        if n == 0 && script[0].has_valid_response() && timeout_millis > 1000 {
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

fn script_pairs(first: &[HostBehavior], second: &[HostBehavior]) -> Vec<([HostBehavior; 2], bool)> {
    let scripts = first.iter().flat_map(|&one| second.iter().map(move |&two| [one, two]));
    scripts.flat_map(|script| [(script, false), (script, true)]).collect()
}

/// Covers all pairs of host behaviors; the second one applies to the retry of the first request or to the next request.
#[test]
fn each_request_gets_its_own_response_and_executes_at_most_once_per_host() {
    let scripts = script_pairs(&BEHAVIORS, &BEHAVIORS);
    run_scenarios(
        scripts.into_iter().map(|(script, idempotent)| two_sequential_requests(script, idempotent, 10)),
        32,
    );
}

/// The body is larger than the socket buffers, so the connection is reset while the request is being sent, before or after
/// the host has begun to read it.
#[test]
fn partially_sent_request_is_not_retried_unless_idempotent() {
    let first = [ResetMidRead, ResetBeforeRead];
    let scripts = script_pairs(&first, &[Respond, LateResponse, ResetMidRead, NotExecuted]);
    run_scenarios(
        scripts.into_iter().map(|(script, idempotent)| two_sequential_requests(script, idempotent, 8 << 20)),
        4,
    );
}

/// A client pipelines three requests on one connection and disconnects before the responses; then a second client does the
/// same and stays connected.
async fn pipelined_requests(script: [HostBehavior; 3]) {
    let (hosts, data_plane) = setup(&script);
    let (server, address, stage) = listen(data_plane).await;
    let requests = |ids: &[&str]| -> String {
        let head =
            "POST /write HTTP/1.1\r\nHost: o\r\nTime-Remaining: 9000\r\nContent-Length: 2\r\nAttempt-Id: ";
        ids.iter().map(|id| format!("{head}{id}\r\n\r\nab")).collect()
    };
    // A request with invalid framing gets 400 after the responses to the earlier ones, and the connection is closed.
    let malformed = "GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n";
    for (ids, disconnects) in [(["a", "b", "c"], true), (["d", "e", "f"], false)] {
        let mut client = TcpStream::connect(address).await.unwrap();
        let text = requests(&ids) + malformed + &requests(&["smuggled"]);
        client.write_all(text.as_bytes()).await.unwrap();
        if disconnects {
            // Disconnects while its first request is in flight.
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
        let response_ids: Vec<&str> =
            received.lines().filter_map(|line| line.strip_prefix("Attempt-Id: ")).collect();
        assert_eq!(response_ids, ids, "{script:?}: {received}");
        let executed: Vec<&str> = received.split("ran ").skip(1).map(|rest| &rest[..1]).collect();
        let in_order = executed.iter().all(|id| ids.contains(id)) && executed.is_sorted();
        assert!(in_order, "{script:?}: {received}");
        let closed = received.trim_end().ends_with("Connection: close") && received.contains(" 400 ");
        assert!(closed, "{received}");
    }
    assert!(hosts.executed.borrow().iter().all(|(id, _)| id != "smuggled"));
    let executed: BTreeSet<String> = hosts.executed.borrow().iter().map(|(id, _)| id.clone()).collect();
    assert_eq!(executed.len(), hosts.executed.borrow().len(), "{script:?}: a request was executed twice");
    drop(stage);
}

/// Responses arrive in the order of the requests, each with its own id, also after another client has disconnected.
#[test]
fn pipelining_clients_get_their_own_responses_in_order_after_a_disconnect() {
    const SUBSET: [HostBehavior; 6] =
        [Respond, UnmatchedWith, CloseAfterRead, NotExecuted, InternalError, UnmatchedBefore];
    let scripts = SUBSET
        .iter()
        .flat_map(|&first| SUBSET.iter().flat_map(move |&second| SUBSET.map(|third| [first, second, third])));
    run_scenarios(scripts.map(pipelined_requests), 32);
}
