//! Each request of a client gets its own answer or none, and one that may not be repeated reaches at most one host.

use super::Habit::*;
use super::*;
use std::collections::BTreeSet;

/// Two requests, one after the other.
async fn play(script: [Habit; 2], repeatable: bool, body: usize) {
    let (world, gateway) = world(&script);
    let millis = if script.iter().any(|habit| habit.silent()) { 90 } else { 20_000 };
    let target = if repeatable { "/read" } else { "/write" };
    for (n, id) in ["one", "two"].into_iter().enumerate() {
        let answer = ask(&gateway, target, id, millis, body).await;
        let ran: Vec<usize> =
            world.ran.borrow().iter().filter(|(own, _)| own == id).map(|(_, host)| *host).collect();
        let told = || format!("{script:?}, {repeatable}: {id} got {} and ran at {ran:?}", answer.status);
        if answer.status == 200 {
            assert_eq!(answer.body, format!("ran {id}"), "{}", told());
            assert!(!ran.is_empty(), "{}", told());
        } else {
            assert!(answer.body.is_empty(), "{}", told());
        }
        // A promise that it has not run.
        if [408, 421, 429, 503].contains(&answer.status) && !repeatable {
            assert!(ran.is_empty(), "{}", told());
        }
        let different: BTreeSet<usize> = ran.iter().copied().collect();
        assert!(ran.len() == different.len() && ran.len() <= 1 + usize::from(repeatable), "{}", told());
        if n == 0 && script[0].answers() && millis > 1000 {
            assert_eq!(answer.status, 200, "{}", told());
        }
        world.answered.set(n + 1);
        world.bell.notify_waiters();
        for _ in 0..20 {
            yield_now().await;
        }
    }
    assert_eq!(*world.wrong.borrow(), Vec::<String>::new(), "{script:?}, {repeatable}");
}

fn pairs(first: &[Habit], second: &[Habit]) -> Vec<([Habit; 2], bool)> {
    let scripts = first.iter().flat_map(|&one| second.iter().map(move |&two| [one, two]));
    scripts.flat_map(|script| [(script, false), (script, true)]).collect()
}

/// All pairs of what hosts do, for a request and whatever comes after it: its next host, or the next request.
#[test]
fn each_request_gets_its_own_answer_or_none_and_runs_once() {
    run(pairs(&HABITS, &HABITS).into_iter().map(|(script, again)| play(script, again, 10)), 32);
}

/// A body that no socket takes at once: the send itself breaks off, when the host has begun or before.
#[test]
fn a_send_that_breaks_off_half_way_goes_nowhere_else() {
    let scripts = pairs(&[ResetHalfRead, ResetUnread], &[Right, Late, ResetHalfRead, Full]);
    run(scripts.into_iter().map(|(script, again)| play(script, again, 8 << 20)), 4);
}

/// Three requests of one client at once on one connection, and a client that leaves before its answers; then another one.
async fn play_clients(script: [Habit; 3]) {
    let (world, gateway) = world(&script);
    let (front, to, stage) = front(gateway).await;
    let asks = |ids: &[&str]| -> String {
        let head =
            "POST /write HTTP/1.1\r\nHost: o\r\nTime-Remaining: 9000\r\nContent-Length: 2\r\nAttempt-Id: ";
        ids.iter().map(|id| format!("{head}{id}\r\n\r\nab")).collect()
    };
    // What no reader can frame gets 400 after the answers that are due, and ends the connection.
    let broken = "GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n";
    for (ids, leaves) in [(["a", "b", "c"], true), (["d", "e", "f"], false)] {
        let mut client = TcpStream::connect(to).await.unwrap();
        let text = asks(&ids) + broken + &asks(&["smuggled"]);
        client.write_all(text.as_bytes()).await.unwrap();
        if leaves {
            // As its first request is at work.
            for _ in 0..10_000 {
                if front.at_work.get() > 0 {
                    break;
                }
                yield_now().await;
            }
            continue;
        }
        let mut said = String::new();
        client.read_to_string(&mut said).await.unwrap();
        let own: Vec<&str> = said.lines().filter_map(|line| line.strip_prefix("Attempt-Id: ")).collect();
        assert_eq!(own, ids, "{script:?}: {said}");
        let ran: Vec<&str> = said.split("ran ").skip(1).map(|rest| &rest[..1]).collect();
        assert!(ran.iter().all(|id| ids.contains(id)) && ran.is_sorted(), "{script:?}: {said}");
        assert!(said.trim_end().ends_with("Connection: close") && said.contains(" 400 "), "{said}");
    }
    assert!(world.ran.borrow().iter().all(|(id, _)| id != "smuggled"));
    let ran: BTreeSet<String> = world.ran.borrow().iter().map(|(id, _)| id.clone()).collect();
    assert_eq!(ran.len(), world.ran.borrow().len(), "{script:?}: one ran twice");
    drop(stage);
}

/// Answers come in the order of their requests, each with its own id, also after a client that left.
#[test]
fn clients_that_send_many_at_once_or_leave_get_their_own() {
    const FEW: [Habit; 6] = [Right, StrangerWith, Closed, Full, Failed, StrangerBefore];
    let scripts = FEW.iter().flat_map(|&a| FEW.iter().flat_map(move |&b| FEW.map(|c| [a, b, c])));
    run(scripts.map(play_clients), 32);
}
