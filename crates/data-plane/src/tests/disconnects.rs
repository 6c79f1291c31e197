//! Clients that disconnect while their requests are in flight: attempts of idempotent requests are cancelled, other
//! attempts run to their end, and no attempt is started for a disconnected client.

use super::HostBehavior::*;
use super::*;
use archlink_messages::CounterAdd;
use archlink_quota::pending_calls::CallResult;

/// `Time-Remaining` of the requests: an attempt that ends much sooner did not end because of the deadline.
const REQUEST_MILLIS: u32 = 3000;

/// Number of yields after which all ready tasks have run several times.
const READY_TASK_YIELDS: usize = 20;

async fn run_ready_tasks() {
    for _ in 0..READY_TASK_YIELDS {
        yield_now().await;
    }
}

fn request_text(target: &str, id: &str, extra_lines: &str) -> String {
    format!(
        "GET {target} HTTP/1.1\r\nHost: o\r\nTime-Remaining: {REQUEST_MILLIS}\r\n{extra_lines}Attempt-Id: {id}\r\n\r\n"
    )
}

/// Connects a client and sends one request.
async fn client(address: SocketAddr, target: &str, id: &str, extra_lines: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request_text(target, id, extra_lines).as_bytes()).await.unwrap();
    stream
}

#[test]
fn idempotent_attempt_is_cancelled_when_its_client_disconnects() {
    let scenario = async || {
        let (hosts, data_plane) = setup(&[HoldUntilReleased]);
        let (_server, address, _stage) = listen(data_plane.clone()).await;
        let client = client(address, "/read", "one", "").await;
        hosts.request_seen.notified().await;
        let disconnected_at = data_plane.clock.now();
        drop(client);
        hosts.request_seen.notified().await;
        let elapsed = data_plane.clock.now() - disconnected_at;
        assert_eq!(*hosts.cancelled.borrow(), ["one"]);
        assert!(
            elapsed < f64::from(REQUEST_MILLIS) / 1e3 / 2.0,
            "the host was released only after {elapsed} s"
        );
    };
    run_scenarios([scenario()], 1);
}

/// Whatever the first host does with a request, no other host gets it if the client disconnects when the first host reads
/// it.
#[test]
fn no_second_host_is_tried_for_a_disconnected_client() {
    let scenario = async |behavior: HostBehavior, idempotent: bool| {
        let (hosts, data_plane) = setup(&[behavior]);
        let client = ClientPresence::new();
        hosts.disconnect_on_read.replace(Some(client.clone()));
        let target = if idempotent { "/read" } else { "/write" };
        respond_to(&data_plane, target, "one", 90, 10, &client).await;
        run_ready_tasks().await;
        let executed = hosts.executed.borrow();
        let hosts_reached: Vec<usize> = executed.iter().map(|(_, host)| *host).collect();
        let max_executions = usize::from(behavior.may_execute());
        assert!(
            hosts_reached.len() <= max_executions,
            "{behavior:?}, {idempotent}: executed at {hosts_reached:?}"
        );
    };
    // A host that resets the connection before reading never triggers the disconnect.
    let behaviors = BEHAVIORS.into_iter().filter(|behavior| *behavior != ResetBeforeRead);
    run_scenarios(behaviors.flat_map(|behavior| [scenario(behavior, false), scenario(behavior, true)]), 32);
}

/// A configuration with one tenant that has a quota, and one route that needs no key.
const KEYED_CONFIGURATION: &str = r#"{"ConfigVersion": "00000001",
    "RouteTable": {
        "ColumnNames": ["Designation", "Origin", "PathPrefix", "Category", "MaxAttempts", "Service", "Public"],
        "Records": [["r", "o", "/read", "idempotent", 2, "s", false], ["w", "o", "/write", "non_idempotent", 2, "s", false],
            ["p", "o", "/open", "idempotent", 2, "s", true]]},
    "ServiceTable": {"ColumnNames": ["Designation"], "Records": [["s"]]},
    "Subscribers": {"ColumnNames": ["Designation", "Credentials", "RatePerS", "BurstSize"],
        "Records": [["t", ["k"], 100, 100]]}}"#;

/// A request that waits for the quota counter, with its environment.
struct WaitingForCounter {
    hosts: Rc<ScriptedHosts>,
    data_plane: Rc<DataPlane>,
    server: Rc<ClientServer>,
    client: TcpStream,
    adds: Vec<CounterAdd>,
    _stage: watch::Sender<ServingStage>,
}

/// Sends a request that waits for the counter. There are pooled connections to both hosts, so that the request would be
/// sent to a host as soon as the counter grants it.
async fn waiting_for_counter(target: &str) -> WaitingForCounter {
    let (hosts, data_plane) =
        setup_with_configuration(&[HoldUntilReleased, HoldUntilReleased], KEYED_CONFIGURATION);
    let warm_up = [
        respond(&data_plane, "/open", "first", REQUEST_MILLIS, 1),
        respond(&data_plane, "/open", "second", REQUEST_MILLIS, 1),
    ];
    let released = async {
        while hosts.executed.borrow().len() < 2 {
            hosts.request_seen.notified().await;
        }
        hosts.release.notify_waiters();
    };
    futures_util::future::join(futures_util::future::join_all(warm_up), released).await;
    hosts.executed.borrow_mut().clear();
    data_plane.set_counter_reachable(true);
    let (server, address, _stage) = listen(data_plane.clone()).await;
    let client = client(address, target, "one", "Key: k\r\n").await;
    let mut adds = Vec::new();
    while adds.is_empty() {
        yield_now().await;
        adds = data_plane.quota.take_adds();
    }
    WaitingForCounter { hosts, data_plane, server, client, adds, _stage }
}

async fn wait_until(mut done: impl FnMut() -> bool) {
    while !done() {
        yield_now().await;
    }
}

async fn wait_for_metric(data_plane: &DataPlane, line: &str) {
    wait_until(|| data_plane.metrics.encode(0, 0).contains(line)).await;
}

/// The client's disconnect and the counter's grant arrive at the same time, as they may after the machine was suspended,
/// and the grant may be processed first.
#[test]
fn grant_that_arrives_with_the_disconnect_starts_no_attempt() {
    let scenario = async |target: &'static str| {
        let WaitingForCounter { hosts, data_plane, server, client, adds, _stage } =
            waiting_for_counter(target).await;
        drop(client);
        let totals = vec![1.0; adds.len()];
        data_plane.finish_counter_calls(vec![CallResult::Totals(adds, totals)]);
        wait_until(|| server.requests_in_flight.get() == 0).await;
        run_ready_tasks().await;
        assert_eq!(*hosts.executed.borrow(), [], "{target}");
    };
    run_scenarios([scenario("/read"), scenario("/write")], 1);
}

/// The tenant is not charged for a request whose client disconnected.
#[test]
fn disconnect_while_waiting_for_the_counter_withdraws_the_add() {
    let scenario = async |target: &'static str| {
        let WaitingForCounter { hosts, data_plane, server, client, adds, _stage } =
            waiting_for_counter(target).await;
        drop(client);
        wait_until(|| server.requests_in_flight.get() == 0).await;
        let (key, added) = (adds[0].key, adds[0].amount);
        data_plane.finish_counter_calls(vec![CallResult::Totals(adds, vec![1.0])]);
        let later_adds = data_plane.quota.take_adds();
        let withdrawn: f32 = later_adds.iter().filter(|add| add.key == key).map(|add| add.amount).sum();
        assert_eq!((added, withdrawn), (1.0, -1.0), "{target}");
        assert_eq!(*hosts.executed.borrow(), [], "{target}");
    };
    run_scenarios([scenario("/read"), scenario("/write")], 1);
}

/// The attempt continues, counts as in flight, and its connection is reusable afterwards.
#[test]
fn non_idempotent_attempt_outlives_its_client() {
    let scenario = async || {
        let (hosts, data_plane) = setup(&[HoldUntilReleased]);
        let (server, address, _stage) = listen(data_plane.clone()).await;
        let client = client(address, "/write", "one", "").await;
        hosts.request_seen.notified().await;
        drop(client);
        wait_for_metric(&data_plane, "client_departures_total{service=\"s\"} 1").await;
        assert_eq!(server.requests_in_flight.get(), 1);
        hosts.release.notify_waiters();
        wait_until(|| server.requests_in_flight.get() == 0).await;
        assert_eq!(*hosts.cancelled.borrow(), [""; 0]);
        assert!(data_plane.metrics.encode(0, 0).contains("end=\"finished\"} 1"));
        assert_eq!(respond(&data_plane, "/write", "two", REQUEST_MILLIS, 10).await.status, 200);
    };
    run_scenarios([scenario()], 1);
}

/// The host accepts no connections: the attempt ends when the client disconnects, and not at the deadline.
#[test]
fn disconnect_while_connecting_sends_nothing() {
    let scenario = async |target: &'static str| {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
        let listener = socket.listen(1).unwrap();
        let address = listener.local_addr().unwrap();
        // Fills the listener's backlog, so that no further connection is established.
        let backlog: Vec<_> = (0..8).map(|_| spawn_local(TcpStream::connect(address))).collect();
        run_ready_tasks().await;
        let data_plane = new_data_plane(&[address], PUBLIC_CONFIGURATION);
        let (started, client) = (data_plane.clock.now(), ClientPresence::new());
        let disconnect = async {
            run_ready_tasks().await;
            client.set_disconnected();
        };
        let responded = respond_to(&data_plane, target, "one", REQUEST_MILLIS, 10, &client);
        let (response, ()) = futures_util::future::join(responded, disconnect).await;
        assert!(data_plane.clock.now() - started < f64::from(REQUEST_MILLIS) / 1e3 / 2.0, "{target}");
        // The response that a client gets if it closed only its sending side: a request that is not idempotent ends when
        // its attempt does, so it is known that nothing was sent.
        assert_eq!(response.status, if target == "/read" { 502 } else { 503 });
        wait_for_metric(&data_plane, "end=\"withdrawn\"} 1").await;
        backlog.into_iter().for_each(|connecting| connecting.abort());
    };
    run_scenarios([scenario("/read"), scenario("/write")], 1);
}

/// A client that closes its sending side gets the response to its first request; its pipelined second one is not executed.
#[test]
fn half_closed_client_is_answered_and_then_closed() {
    let scenario =
        async |target: &'static str, status: &'static str, executed: &'static [(&'static str, usize)]| {
            let (hosts, data_plane) = setup(&[HoldUntilReleased]);
            let (_server, address, _stage) = listen(data_plane.clone()).await;
            let mut client = client(address, target, "one", "").await;
            client.write_all(request_text(target, "two", "").as_bytes()).await.unwrap();
            hosts.request_seen.notified().await;
            client.shutdown().await.unwrap();
            wait_for_metric(&data_plane, "client_departures_total{service=\"s\"} 1").await;
            hosts.release.notify_waiters();
            let mut received = String::new();
            client.read_to_string(&mut received).await.unwrap();
            let one_response = received.starts_with(status) && received.matches("HTTP/1.1").count() == 1;
            assert!(one_response, "{received}");
            let ids: Vec<String> = hosts.executed.borrow().iter().map(|(id, _)| id.clone()).collect();
            assert_eq!(ids, executed.iter().map(|(id, _)| id.to_string()).collect::<Vec<_>>());
        };
    let executed = &[("one", 0)];
    run_scenarios(
        [scenario("/read", "HTTP/1.1 502", executed), scenario("/write", "HTTP/1.1 200", executed)],
        1,
    );
}
