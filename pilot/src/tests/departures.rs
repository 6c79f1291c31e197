//! Clients that leave while their requests are at work: what may be repeated ends with its client, what may not be is
//! carried to its end, and nothing is handed on for a client that is gone.

use super::Habit::*;
use super::*;
use tally::frames::Settled;
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
        let (world, deck) = world(&[Works]);
        let (_front, to, _stage) = front(deck.clone()).await;
        let client = client(to, "/read", "one", "").await;
        world.seen.notified().await;
        let left = deck.clock.now();
        drop(client);
        world.seen.notified().await;
        let after = deck.clock.now() - left;
        assert_eq!(*world.broken_off.borrow(), ["one"]);
        assert!(after < f64::from(TIME) / 1e3 / 2.0, "the host worked on for {after} s");
    };
    run([play()], 1);
}

/// Whatever the first host does, the second one never sees a request whose client left when the first had read it.
#[test]
fn nothing_goes_to_a_second_host_for_a_client_that_left() {
    let play = async |habit: Habit, repeatable: bool| {
        let (world, deck) = world(&[habit]);
        let client = Client::new();
        world.leaver.replace(Some(client.clone()));
        let target = if repeatable { "/read" } else { "/write" };
        ask_as(&deck, target, "one", 90, 10, &client).await;
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

/// One tenant with a quota that counts.
const KEYED: &str = r#"{"ConfigVersion": "00000001",
    "RouteTable": {"ColumnNames": ["Designation", "Origin", "PathPrefix", "Category", "MaxAttempts", "Service"],
        "Records": [["r", "o", "/read", "idempotent", 2, "s"], ["w", "o", "/write", "non_idempotent", 2, "s"]]},
    "ServiceTable": {"ColumnNames": ["Designation"], "Records": [["s"]]},
    "Subscribers": {"ColumnNames": ["Designation", "Credentials", "RatePerS", "BurstSize"],
        "Records": [["t", ["k"], 100, 100]]}}"#;

/// The client leaves and the counter's grant comes at one moment, as after a freeze of the machine: the grant may be looked
/// at first.
#[test]
fn a_grant_that_comes_with_the_clients_departure_hands_nothing_on() {
    let play = async |target: &'static str| {
        let (world, deck) = world_of(&[Right], KEYED);
        deck.set_counted(true);
        let (front, to, _stage) = front(deck.clone()).await;
        let client = client(to, target, "one", "Key: k\r\n").await;
        let mut adds = Vec::new();
        while adds.is_empty() {
            yield_now().await;
            adds = deck.adds();
        }
        drop(client);
        let totals = vec![1.0; adds.len()];
        deck.settled(vec![Settled::Totals(adds, totals)]);
        while front.at_work.get() > 0 {
            yield_now().await;
        }
        for _ in 0..20 {
            yield_now().await;
        }
        assert_eq!(*world.ran.borrow(), [], "{target}");
    };
    run([play("/read"), play("/write")], 1);
}
