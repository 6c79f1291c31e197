//! Clients that leave while their requests are at work: what may be repeated ends with its client, what may not be is
//! carried to its end, and nothing is handed on for a client that is gone.

use super::Habit::*;
use super::*;
use archlink_messages::CounterAdd;
use archlink_quota::pending_calls::CallResult;
use tokio::io::AsyncWriteExt;

/// A request's time, in milliseconds: a run that ends sooner was ended for another reason.
const TIME: u32 = 3000;

fn text(target: &str, id: &str, more: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: o\r\nTime-Remaining: {TIME}\r\n{more}Attempt-Id: {id}\r\n\r\n")
}

/// A client on a socket that has sent one request.
async fn client(to: SocketAddr, target: &str, id: &str, more: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(text(target, id, more).as_bytes()).await.unwrap();
    stream
}

#[test]
fn a_run_that_may_be_repeated_ends_with_its_client() {
    let play = async || {
        let (world, gateway) = world(&[Works]);
        let (_front, to, _stage) = front(gateway.clone()).await;
        let client = client(to, "/read", "one", "").await;
        world.seen.notified().await;
        let left = gateway.clock.now();
        drop(client);
        world.seen.notified().await;
        let after = gateway.clock.now() - left;
        assert_eq!(*world.broken_off.borrow(), ["one"]);
        assert!(after < f64::from(TIME) / 1e3 / 2.0, "the host worked on for {after} s");
    };
    run([play()], 1);
}

/// Whatever the first host does, the second one never sees a request whose client left when the first had read it.
#[test]
fn nothing_goes_to_a_second_host_for_a_client_that_left() {
    let play = async |habit: Habit, repeatable: bool| {
        let (world, gateway) = world(&[habit]);
        let client = Client::new();
        world.leaver.replace(Some(client.clone()));
        let target = if repeatable { "/read" } else { "/write" };
        ask_as(&gateway, target, "one", 90, 10, &client).await;
        for _ in 0..20 {
            yield_now().await;
        }
        let ran = world.ran.borrow();
        let hosts: Vec<usize> = ran.iter().map(|(_, host)| *host).collect();
        assert!(hosts.len() <= usize::from(habit.ran()), "{habit:?}, {repeatable}: ran at {hosts:?}");
    };
    // The habit after this one reads nothing, and so sees nobody leave.
    let habits = HABITS.into_iter().filter(|habit| *habit != ResetUnread);
    run(habits.flat_map(|habit| [play(habit, false), play(habit, true)]), 32);
}

/// One tenant with a quota that counts, and a route that needs no key.
const KEYED: &str = r#"{"ConfigVersion": "00000001",
    "RouteTable": {
        "ColumnNames": ["Designation", "Origin", "PathPrefix", "Category", "MaxAttempts", "Service", "Public"],
        "Records": [["r", "o", "/read", "idempotent", 2, "s", false], ["w", "o", "/write", "non_idempotent", 2, "s", false],
            ["p", "o", "/open", "idempotent", 2, "s", true]]},
    "ServiceTable": {"ColumnNames": ["Designation"], "Records": [["s"]]},
    "Subscribers": {"ColumnNames": ["Designation", "Credentials", "RatePerS", "BurstSize"],
        "Records": [["t", ["k"], 100, 100]]}}"#;

/// What a test needs around a request that waits for the counter.
struct Counted {
    world: Rc<World>,
    gateway: Rc<Gateway>,
    front: Rc<Front>,
    client: TcpStream,
    adds: Vec<CounterAdd>,
    _stage: watch::Sender<Stage>,
}

/// A client whose request waits for the counter, with connections kept to both hosts, so that a grant sends it at once.
async fn counted(target: &str) -> Counted {
    let (world, gateway) = world_of(&[Works, Works], KEYED);
    let warm = [ask(&gateway, "/open", "warm", TIME, 1), ask(&gateway, "/open", "warmer", TIME, 1)];
    let answered = async {
        while world.ran.borrow().len() < 2 {
            world.seen.notified().await;
        }
        world.finish.notify_waiters();
    };
    futures_util::future::join(futures_util::future::join_all(warm), answered).await;
    world.ran.borrow_mut().clear();
    gateway.set_counted(true);
    let (front, to, _stage) = front(gateway.clone()).await;
    let client = client(to, target, "one", "Key: k\r\n").await;
    let mut adds = Vec::new();
    while adds.is_empty() {
        yield_now().await;
        adds = gateway.adds();
    }
    Counted { world, gateway, front, client, adds, _stage }
}

async fn until(mut done: impl FnMut() -> bool) {
    while !done() {
        yield_now().await;
    }
}

/// The client leaves and the counter's grant comes at one moment, as after a freeze of the machine: the grant may be looked
/// at first.
#[test]
fn a_grant_that_comes_with_the_clients_departure_hands_nothing_on() {
    let play = async |target: &'static str| {
        let Counted { world, gateway, front, client, adds, _stage } = counted(target).await;
        drop(client);
        let totals = vec![1.0; adds.len()];
        gateway.settled(vec![CallResult::Totals(adds, totals)]);
        until(|| front.at_work.get() == 0).await;
        for _ in 0..20 {
            yield_now().await;
        }
        assert_eq!(*world.ran.borrow(), [], "{target}");
    };
    run([play("/read"), play("/write")], 1);
}

/// A client that leaves while the counter is asked costs its tenant nothing: its add is taken back.
#[test]
fn a_client_that_leaves_while_it_is_counted_has_its_add_taken_back() {
    let play = async |target: &'static str| {
        let Counted { world, gateway, front, client, adds, _stage } = counted(target).await;
        drop(client);
        until(|| front.at_work.get() == 0).await;
        let (name, added) = (adds[0].key, adds[0].amount);
        gateway.settled(vec![CallResult::Totals(adds, vec![1.0])]);
        let back: f32 = gateway.adds().iter().filter(|add| add.key == name).map(|add| add.amount).sum();
        assert_eq!((added, back), (1.0, -1.0), "{target}");
        assert_eq!(*world.ran.borrow(), [], "{target}");
    };
    run([play("/read"), play("/write")], 1);
}

/// What may not be repeated runs on, keeps the gateway at work, and leaves its connection as good as before.
#[test]
fn a_run_that_may_not_be_repeated_is_carried_to_its_end() {
    let play = async || {
        let (world, gateway) = world(&[Works]);
        let (front, to, _stage) = front(gateway.clone()).await;
        let client = client(to, "/write", "one", "").await;
        world.seen.notified().await;
        drop(client);
        until(|| gateway.metrics.text(0, 0).contains("client_departures_total{service=\"s\"} 1")).await;
        assert_eq!(front.at_work.get(), 1);
        world.finish.notify_waiters();
        until(|| front.at_work.get() == 0).await;
        assert_eq!(*world.broken_off.borrow(), [""; 0]);
        assert!(gateway.metrics.text(0, 0).contains("end=\"finished\"} 1"));
        assert_eq!(ask(&gateway, "/write", "two", TIME, 10).await.status, 200);
    };
    run([play()], 1);
}

/// A host whose new connections do not come up: the hand-off ends with its client, and later nothing arrives.
#[test]
fn a_client_that_leaves_while_a_connection_opens_is_sent_nowhere() {
    let play = async |target: &'static str| {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
        let listener = socket.listen(1).unwrap();
        let to = listener.local_addr().unwrap();
        // Takes up all places for connections that nobody has accepted.
        let crowd: Vec<_> = (0..8).map(|_| spawn_local(TcpStream::connect(to))).collect();
        for _ in 0..20 {
            yield_now().await;
        }
        let gateway = gateway(&[to], OPEN);
        let (began, client) = (gateway.clock.now(), Client::new());
        let leaves = async {
            for _ in 0..20 {
                yield_now().await;
            }
            client.depart();
        };
        let asked = ask_as(&gateway, target, "one", TIME, 10, &client);
        let (answer, ()) = futures_util::future::join(asked, leaves).await;
        assert!(gateway.clock.now() - began < f64::from(TIME) / 1e3 / 2.0, "{target}");
        // For a client that only ended its sending: it has not run.
        assert_eq!(answer.status, if target == "/read" { 502 } else { 503 });
        until(|| gateway.metrics.text(0, 0).contains("end=\"withdrawn\"} 1")).await;
        crowd.into_iter().for_each(|one| one.abort());
    };
    run([play("/read"), play("/write")], 1);
}

/// A client that only ended its sending gets an answer all the same, and nothing that it sent after this request is begun.
#[test]
fn a_client_that_only_ends_its_sending_is_answered_and_then_let_go() {
    let play = async |target: &'static str, status: &'static str, ran: &'static [(&'static str, usize)]| {
        let (world, gateway) = world(&[Works]);
        let (_front, to, _stage) = front(gateway.clone()).await;
        let mut client = client(to, target, "one", "").await;
        client.write_all(text(target, "two", "").as_bytes()).await.unwrap();
        world.seen.notified().await;
        client.shutdown().await.unwrap();
        until(|| gateway.metrics.text(0, 0).contains("client_departures_total{service=\"s\"} 1")).await;
        world.finish.notify_waiters();
        let mut said = String::new();
        client.read_to_string(&mut said).await.unwrap();
        assert!(said.starts_with(status) && said.matches("HTTP/1.1").count() == 1, "{said}");
        let all: Vec<String> = world.ran.borrow().iter().map(|(id, _)| id.clone()).collect();
        assert_eq!(all, ran.iter().map(|(id, _)| id.to_string()).collect::<Vec<_>>());
    };
    run([play("/read", "HTTP/1.1 502", &[("one", 0)]), play("/write", "HTTP/1.1 200", &[("one", 0)])], 1);
}
