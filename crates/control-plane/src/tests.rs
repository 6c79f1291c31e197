//! What each call says where a majority answers, and where none does; and what no word may run ahead of.

mod answers;

use crate::calls::{Call, Rests};
use crate::simulated_cluster::{NODES, Shelf, Sound, ask, configuration, pass, play, port, still};
use crate::{admin_commands, admin_server};
use archlink_messages::{AcceptedValue, ConsensusMessage, DataNode, Message, ProposalNumber, Register};
use std::io::{Read, Write};
use std::net::SocketAddrV4;
use strum::IntoEnumIterator;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

fn data_node() -> DataNode {
    let front = SocketAddrV4::new([10, 0, 1, 1].into(), 8206);
    DataNode {
        node: 0x0a00_0101,
        zone: "west".into(),
        region: "coast".into(),
        client_address: front,
        ready: true,
    }
}

/// What stands behind a path or in a body where the call wants something.
fn wanted(call: Call) -> (&'static str, String) {
    match call {
        Call::Replace => ("", configuration(2, 7)),
        Call::Begin | Call::Finish => ("east", String::new()),
        Call::VotersReplace => ("10.0.0.3/10.0.0.4", String::new()),
        Call::VotersRefound => ("", r#"{"Epoch":1,"Lose":["10.0.0.2"]}"#.into()),
        _ => ("", String::new()),
    }
}

/// The table of calls, row by row, at a gateway that was cut off for longer than anybody waits: an order ends at once, was
/// not begun and says when to come back; a majority's word is not made up; what the gateway knows is told with its age;
/// sessions that nobody tells of any more are over. It guards against an order that waits its whole life in a minority, and
/// against a cut-off gateway's word that passes for the fleet's.
#[test]
fn each_row_of_the_table_holds_at_a_gateway_that_is_cut_off() {
    for call in Call::iter() {
        play(async move {
            let sound = Sound::new();
            pass(1.0).await;
            assert_eq!(sound.call(0, Call::Replace, "", &configuration(1, 5)).await.0.status, 200);
            let hailed = archlink_control_node::event_log::Event::SessionRenewed(data_node());
            sound.ports[1].step(|control, now| control.record_event(now, hailed));
            pass(1.0).await;
            let (names, body) = wanted(call);
            let before = sound.call(0, call, names, &body).await;
            assert_eq!(before.1["Contact"] == true, call.rests() == Rests::Own, "{call:?}: {}", before.1);
            pass(4.0).await;
            sound.cut(0, true);
            pass(6.0).await;
            let round = |n: usize| {
                sound.shelves[n].state().acceptors.values().map(|slot| slot.promised.round).sum::<u64>()
            };
            let (asked_at, rounds) = (sound.ports[0].clock.now(), [round(0), round(1)]);
            let (answer, told) = sound.call(0, call, names, &body).await;
            let took = sound.ports[0].clock.now() - asked_at;
            let come_back = String::from_utf8_lossy(&answer.lines).contains("Retry-After");
            match call.rests() {
                Rests::Contact => {
                    assert!(
                        answer.status == 503 && come_back && took < 0.3,
                        "{call:?}: {} after {took} s",
                        answer.status
                    );
                    assert!(told["Error"].as_str().is_some_and(|why| why.contains("not begun")), "{told}");
                    assert_eq!([round(0), round(1)], rounds, "{call:?} was begun");
                }
                Rests::Confirmed => {
                    assert!(answer.status == 503 && come_back && took < 1.0, "{call:?}: {took} s")
                }
                Rests::Sessions => assert!(answer.status == 503 && come_back, "{call:?}: {told}"),
                Rests::Own => {
                    assert!(answer.status == 200 && told["Contact"] == false, "{call:?}: {told}");
                    assert!(
                        told["ConfirmedSecondsAgo"].as_f64().is_some_and(|ago| ago > 5.0),
                        "{call:?}: {told}"
                    );
                }
                // One of the two that it hears nothing of is named, and not the other.
                Rests::Person => {
                    assert!(answer.status == 409 && told.to_string().contains("10.0.0.3"), "{told}")
                }
            }
            // The first order after the cut is taken: the answer of a majority is not waited for.
            sound.cut(0, false);
            if call == Call::Begin {
                assert_eq!(sound.call(0, call, names, &body).await.0.status, 200);
            }
        });
    }
}

/// While the system starts, and in the first moments of a cut, an order is begun and waits: it is taken as soon as a majority
/// answers. Answering such orders at once would cost their senders a pause that grows.
#[test]
fn an_order_at_the_start_waits_for_its_majority() {
    play(async {
        let sound = Sound::new();
        sound.cut(1, true);
        sound.cut(2, true);
        let heals = async {
            pass(0.5).await;
            sound.cut(1, false);
        };
        let text = configuration(1, 5);
        let ((answer, told), ()) = tokio::join!(sound.call(0, Call::Replace, "", &text), heals);
        assert_eq!((answer.status, &told["InForce"]["ConfigVersion"]), (200, &"00000001".into()), "{told}");
    });
}

/// An order that came while this process stood still, of a caller that is gone since: it may have ordered otherwise elsewhere,
/// so nothing of it is begun. It was: a late `Begin` asked for promises before the end of its connection was looked at.
#[test]
fn an_order_whose_caller_is_gone_is_not_begun() {
    play(async {
        let gateway = port(NODES[0], Shelf::default());
        let (out, mut words) = mpsc::channel(256);
        gateway.links.borrow_mut().insert(NODES[1], out);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        for gone in [true, false] {
            let mut caller = std::net::TcpStream::connect(at).unwrap();
            caller.write_all(b"POST /archlink/Evacuation.Begin/east HTTP/1.1\r\n\r\n").unwrap();
            let kept = (!gone).then_some(caller);
            let (stream, _) = listener.accept().await.unwrap();
            let serving =
                admin_server::serve(gateway.clone(), stream, Default::default(), Default::default());
            tokio::time::timeout(std::time::Duration::from_secs(3), serving).await.ok();
            drop(kept);
            let mut begun = 0;
            while let Ok(word) = words.try_recv() {
                begun += u32::from(matches!(word, Message::Consensus(_, ConsensusMessage::Prepare(..))));
            }
            assert_eq!(begun == 0, gone, "{begun} promises were asked for");
        }
    });
}

/// Serves one caller that sends `calls` at once, and for so many seconds at most; when that ended, and what was answered.
async fn served(calls: &[u8], leaves: bool, seconds: u64) -> (f64, String) {
    let gateway = port(NODES[0], Shelf::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    caller.write_all(calls).unwrap();
    let kept = (!leaves).then_some(caller);
    let (stream, _) = listener.accept().await.unwrap();
    let began = gateway.clock.now();
    let serving = admin_server::serve(gateway.clone(), stream, Default::default(), Default::default());
    tokio::time::timeout(std::time::Duration::from_secs(seconds), serving).await.ok();
    let mut said = String::new();
    kept.map(|mut caller| caller.read_to_string(&mut said).unwrap());
    (gateway.clock.now() - began, said)
}

/// A read waits for a majority's word, for 0.9 s where none comes: not for a caller that has left. It did.
#[test]
fn a_read_ends_with_its_caller() {
    play(async {
        let read = b"GET /archlink/Configuration.Read HTTP/1.1\r\n\r\n";
        let (took, _) = served(read, true, 3).await;
        assert!(took < 0.1, "{took} s");
        let (_, said) = served(read, false, 3).await;
        assert!(said.starts_with("HTTP/1.1 503"), "{said}");
    });
}

/// A caller that sends its next call early gets both answers. It was taken for one that had left.
#[test]
fn a_call_that_is_sent_early_is_kept() {
    play(async {
        let calls =
            b"POST /archlink/Evacuation.Begin/east HTTP/1.1\r\n\r\nGET /archlink/members HTTP/1.1\r\n\r\n";
        let (_, said) = served(calls, false, 15).await;
        let statuses: Vec<&str> = said.split("HTTP/1.1 ").skip(1).map(|answer| &answer[..3]).collect();
        assert_eq!(statuses, ["503", "200"], "{said}");
    });
}

/// A process that stood still knows of sessions that are long over. It named their data gateways: what answers came in the
/// 50 ms before its next tick was from before.
#[test]
fn who_stood_still_names_no_session_from_before() {
    play(async {
        let gateway = still(NODES[0], Shelf::default());
        gateway.step(|control, now| {
            control.record_event(now, archlink_control_node::event_log::Event::SessionRenewed(data_node()))
        });
        assert_eq!(ask(&gateway, Call::Resolution, "", "").await.0.status, 200);
        pass(20.0).await;
        assert_eq!(ask(&gateway, Call::Resolution, "", "").await.0.status, 503);
    });
}

/// What the disk had no room for is entered before any later word goes. It was not: a voter whose queue was full had accepted
/// a value in memory alone and told it in its next answer; a majority could be counted that no disk holds.
#[test]
fn no_word_tells_of_what_the_disk_did_not_take() {
    play(async {
        let shelf = Shelf::default();
        let gateway = port(NODES[0], shelf.clone());
        let (out, mut words) = mpsc::channel(256);
        gateway.links.borrow_mut().insert(NODES[1], out);
        let proposal = ProposalNumber { round: 5, node: NODES[1], nonce: 1 };
        let held = AcceptedValue { proposal, revision: 3, value: "east".into(), recent_versions: Vec::new() };
        let say = |poll| gateway.hear(NODES[1], Message::Consensus(1, poll));
        shelf.refuse(true);
        say(ConsensusMessage::Accept(Register::Evacuations, held));
        let (next, disk) = (ProposalNumber { round: 6, ..proposal }, |register| {
            shelf.state().acceptors.get(&register).cloned()
        });
        say(ConsensusMessage::Prepare(Register::Configuration, next));
        shelf.refuse(false);
        say(ConsensusMessage::ReadRequest(1));
        pass(0.01).await;
        let mut told = ProposalNumber::default();
        while let Ok(word) = words.try_recv() {
            match word {
                Message::Consensus(_, ConsensusMessage::ReadReply(1, proposals)) => told = proposals[1].1,
                Message::Consensus(_, ConsensusMessage::Accepted(..) | ConsensusMessage::Promise(..)) => {
                    panic!("{word:?} was said")
                }
                _ => {}
            }
        }
        assert_eq!(told, proposal);
        let on_disk = disk(Register::Evacuations).and_then(|slot| slot.accepted).map(|held| held.proposal);
        assert_eq!(on_disk, Some(proposal), "it was told of and is on no disk");
        // With nothing asked any more the next tick brings it to disk.
        shelf.refuse(true);
        say(ConsensusMessage::Prepare(Register::Configuration, ProposalNumber { round: 7, ..proposal }));
        shelf.refuse(false);
        pass(0.1).await;
        assert_eq!(disk(Register::Configuration).map(|slot| slot.promised.round), Some(7));
    });
}

/// One text a number, and both operators can tell from their answers which: the text that stands is acknowledged each time
/// that it comes, at any gateway; another one under its number is refused by each of them in the same words, also once a
/// higher one is in force; a lower number alters nothing and is told what is. Both texts were acknowledged.
#[test]
fn an_answer_tells_what_stands_under_its_number() {
    play(async {
        let sound = Sound::new();
        pass(1.0).await;
        // A number beyond all counting ended the process, or came to stand below all others.
        let (answer, told) = sound.call(0, Call::Replace, "", &configuration(u64::MAX, 5)).await;
        assert!(
            answer.status == 400 && told["Error"].to_string().contains("ConfigVersion: found ffff"),
            "{told}"
        );
        let (first, second) = (configuration(4, 5), configuration(5, 5));
        let (_, told) = sound.call(0, Call::Replace, "", &first).await;
        for n in 0..3 {
            let (answer, again) = sound.call(n, Call::Replace, "", &first).await;
            assert_eq!((answer.status, &again["Digest"]), (200, &told["Digest"]));
        }
        let other = configuration(4, 6);
        let (_, refusal) = sound.call(2, Call::Replace, "", &other).await;
        assert_eq!(
            (&refusal["Digest"], &refusal["ConfigVersion"]),
            (&told["Digest"], &told["ConfigVersion"])
        );
        assert_eq!(refusal["YourDigest"], admin_commands::hex(&admin_commands::digest(other.as_bytes())));
        let (_, newer) = sound.call(1, Call::Replace, "", &second).await;
        assert!(
            newer["InForce"]["Digest"] == newer["Digest"] && newer["Digest"] != told["Digest"],
            "{newer}"
        );
        let (read, _) = sound.call(2, Call::Read, "", "").await;
        assert_eq!(String::from_utf8_lossy(&read.body), second);
        assert!(String::from_utf8_lossy(&read.lines).contains(newer["Digest"].as_str().unwrap()));
        for n in 0..3 {
            let (answer, again) = sound.call(n, Call::Replace, "", &other).await;
            assert_eq!((answer.status, &again), (409, &refusal));
        }
        let (answer, late) = ask(&sound.ports[2], Call::Replace, "", &first).await;
        assert_eq!((answer.status, &late["InForce"]), (200, &newer["InForce"]), "{late}");
    });
}

/// A seat passes to another machine by order; each refusal says what to do, and an order that is sent again is told that it
/// has come.
#[test]
fn a_seat_passes_by_order_and_refusals_say_what_to_do() {
    play(async {
        let sound = Sound::new();
        pass(2.0).await;
        let replace = async |names| sound.call(0, Call::VotersReplace, names, "").await;
        assert_eq!(replace("10.0.0.3").await.0.status, 400);
        assert_eq!(replace("10.0.0.3/control-4").await.0.status, 400);
        for (names, reason) in [
            ("10.0.0.9/10.0.0.4", "NoSeat"),
            ("10.0.0.3/10.0.0.1", "Seated"),
            ("10.0.0.3/10.0.0.9", "Absent"),
        ] {
            let (answer, told) = replace(names).await;
            assert_eq!((answer.status, &told["Reason"]), (409, &reason.into()), "{told}");
        }
        sound.cut(2, true);
        for _ in 0..2 {
            let (answer, told) = replace("10.0.0.3/10.0.0.4").await;
            assert_eq!((answer.status, told["Epoch"].as_u64()), (200, Some(3)), "{told}");
        }
        pass(1.0).await;
        assert_eq!(sound.call(3, Call::Voters, "", "").await.1["Members"][3]["Seat"], true);
    });
}

/// A founding anew is refused while a majority answers and where other seats are named than those that nothing is heard of;
/// with these it goes, on what the survivor holds, and orders are taken again.
#[test]
fn a_person_founds_anew_by_name_and_only_without_a_majority() {
    play(async {
        let sound = Sound::new();
        pass(1.0).await;
        assert_eq!(sound.call(0, Call::Replace, "", &configuration(1, 5)).await.0.status, 200);
        pass(5.0).await;
        let refound = async |names: &str| {
            let body = format!(r#"{{"Epoch":1,"Lose":[{names}]}}"#);
            sound.call(0, Call::VotersRefound, "", &body).await
        };
        let refused = async |names, why| {
            let (answer, told) = refound(names).await;
            assert!(answer.status == 409 && told["Error"].as_str().unwrap().contains(why), "{told}");
        };
        refused(r#""10.0.0.2","10.0.0.3""#, "nothing is lost").await;
        sound.cut(1, true);
        sound.cut(2, true);
        pass(3.0).await;
        refused(r#""10.0.0.2","10.0.0.3""#, "name exactly these").await;
        pass(4.0).await;
        refused(r#""10.0.0.2""#, "10.0.0.2,10.0.0.3").await;
        assert_eq!(refound(r#""10.0.0.2","control-3""#).await.0.status, 400);
        assert_eq!(sound.call(0, Call::Replace, "", &configuration(2, 5)).await.0.status, 503);
        let (answer, told) = refound(r#""10.0.0.2","10.0.0.3""#).await;
        assert!(answer.status == 200 && told["Epoch"].as_u64() > Some(1 << 32), "{} {told}", answer.status);
        let (read, _) = sound.call(0, Call::Read, "", "").await;
        assert_eq!(String::from_utf8_lossy(&read.body), configuration(1, 5));
        assert_eq!(sound.call(0, Call::Replace, "", &configuration(2, 5)).await.0.status, 200);
    });
}
