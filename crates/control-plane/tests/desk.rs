//! The command line against a stand-in for a control gateway, written from the table of calls alone: what is sent, what is
//! printed, and how it ends.

use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// Of the text `{}`.
const STANDS: &str = "44136fa355b3678a1146ad16f7e8649e";

/// Answers one connection after another; tells what was asked, as `METHOD path body`.
fn stand_in(answer: impl Fn(&str) -> (u16, String) + Send + 'static) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (told, asked) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            one(stream, &answer, &told);
        }
    });
    (at, asked)
}

fn one(stream: TcpStream, answer: impl Fn(&str) -> (u16, String), told: &Sender<String>) -> Option<()> {
    let mut from = BufReader::new(stream.try_clone().ok()?);
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok()?;
        if line.trim().is_empty() {
            break;
        }
        lines.push(line.trim().to_string());
    }
    let length = lines.iter().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    from.read_exact(&mut body).ok()?;
    let asked = lines[0].trim_end_matches(" HTTP/1.1").to_string();
    told.send(format!("{asked} {}", String::from_utf8_lossy(&body)).trim().to_string()).ok();
    let (status, text) = answer(&asked);
    let head = format!("HTTP/1.1 {status} X\r\nConfig-Version: 00000001\r\nConfirmed-Seconds-Ago: 0.010\r\n");
    write!(&stream, "{head}Config-Digest: {STANDS}\r\nContent-Length: {}\r\n\r\n{text}", text.len()).ok()
}

fn run(at: SocketAddr, words: &[&str]) -> (Option<i32>, String) {
    let program = env!("CARGO_BIN_EXE_archlink-control-plane");
    let to = at.to_string();
    let Output { status, stdout, stderr } =
        Command::new(program).args(["--to", to.as_str()]).args(words).output().unwrap();
    let said = [stdout, stderr].map(|said| String::from_utf8_lossy(&said).into_owned());
    (status.code(), said.concat())
}

/// Where another text stands, the end is 3 and the words name both. What is in force is printed byte for byte, and what came
/// damaged is not printed as such.
#[test]
fn a_refusal_ends_with_three_and_names_what_stands() {
    let damaged = Arc::new(AtomicBool::new(false));
    let spoilt = damaged.clone();
    let (at, _asked) = stand_in(move |asked| match asked.starts_with("GET") {
        true => (200, if spoilt.load(Ordering::Relaxed) { "{ }" } else { "{}" }.to_string()),
        false => {
            let told = json!({"Error": "another text stands under this number", "ConfigVersion": "00000001",
                "Digest": STANDS, "YourDigest": "22"});
            (409, told.to_string())
        }
    });
    let file = std::env::temp_dir().join(format!("archlink-desk-{}", std::process::id()));
    let table = |names: &[&str]| json!({"ColumnNames": names, "Records": []});
    let text = json!({"ConfigVersion": "00000001", "RouteTable": table(&["Designation"]),
        "ServiceTable": table(&["Designation"])});
    std::fs::write(&file, text.to_string()).unwrap();
    let (code, said) = run(at, &["replace", file.to_str().unwrap()]);
    std::fs::remove_file(&file).unwrap();
    assert!(code == Some(3) && said.contains(STANDS) && said.contains("yours is of 22"), "{code:?} {said}");
    let (code, said) = run(at, &["read"]);
    let told = format!("{{}}version 00000001, digest {STANDS}, confirmed by a majority 0.010 s ago\n");
    assert_eq!((code, said), (Some(0), told));
    damaged.store(true, Ordering::Relaxed);
    let (code, said) = run(at, &["read"]);
    assert!(code == Some(2) && said.contains("the text that came has digest"), "{code:?} {said}");
}

/// Nothing is founded anew but by the very words that were shown; each wrong one is named.
#[test]
fn nothing_is_founded_but_by_the_words_that_were_shown() {
    let told = json!({"Here": "10.0.0.1", "Epoch": 7, "DiskWhole": true, "Contact": false,
        "Members": [{"Address": "10.0.0.1", "Here": true, "Seat": true}], "Lost": ["10.0.0.2", "10.0.0.3"],
        "Held": [{"Register": "Chart", "Stamp": 5, "ConfigVersion": "00000004", "Ballot": [9, 1, 1]}]});
    let (at, asked) = stand_in(move |_| (200, told.to_string()));
    let to = at.to_string();
    let found =
        |epoch, lose| run(at, &["voters", "found-anew", "--at", &to, "--epoch", epoch, "--lose", lose]);
    let (code, said) = run(at, &["voters", "found-anew"]);
    let shown = format!("voters found-anew --at {at} --epoch 7 --lose 10.0.0.2,10.0.0.3");
    assert!(code == Some(0) && said.contains(&shown) && said.contains("newest Chart: 00000004"), "{said}");
    let (code, said) = found("6", "10.0.0.2,10.0.0.3");
    assert!(code == Some(2) && said.contains("--epoch: found \"6\", shown is 7"), "{said}");
    let (code, said) = found("7", "10.0.0.2");
    assert!(code == Some(2) && said.contains("--lose: found"), "{said}");
    assert!(asked.try_iter().all(|asked| asked == "GET /archlink/voters"));
    assert_eq!(found("7", "10.0.0.2,10.0.0.3").0, Some(0));
    let order = r#"POST /archlink/Voters.Refound {"Epoch":7,"Lose":["10.0.0.2","10.0.0.3"]}"#;
    assert_eq!(asked.try_iter().last().as_deref(), Some(order));
    let (code, said) = run(at, &["voters", "replace", "10.0.0.2", "control-4"]);
    assert!(code == Some(2) && said.contains("NEW: \"control-4\" is no address"), "{said}");
}

/// Each command as an operator types it, and the one call that it sends; what is answered is printed, and the end is 0.
#[test]
fn each_command_sends_its_call_and_prints_the_answer() {
    let (at, asked) = stand_in(|_| (200, r#"{"Answer":1}"#.to_string()));
    for (words, call) in [
        (&["evacuate", "begin", "east"][..], "POST /archlink/Evacuation.Begin/east"),
        (&["evacuate", "finish", "east"], "POST /archlink/Evacuation.Finish/east"),
        (&["members"], "GET /archlink/members"),
        (&["hosts"], "GET /archlink/hosts"),
        (&["duties"], "GET /archlink/duties"),
        (&["quota"], "GET /archlink/quota"),
        (&["journal"], "GET /archlink/journal"),
        (&["voters"], "GET /archlink/voters"),
        (
            &["voters", "replace", "10.0.0.3:8200", "10.0.0.4"],
            "POST /archlink/Voters.Replace/10.0.0.3/10.0.0.4",
        ),
    ] {
        let (code, said) = run(at, words);
        assert_eq!((code, said.as_str()), (Some(0), "{\"Answer\":1}\n"), "{words:?}");
        assert_eq!(asked.try_iter().collect::<Vec<_>>(), [call]);
    }
    // Where one control gateway answers 503 the next one that is named is asked.
    let (busy, _asked) = stand_in(|_| (503, String::new()));
    let (code, said) = run(busy, &["--to", &at.to_string(), "duties"]);
    assert_eq!((code, said.as_str()), (Some(0), "{\"Answer\":1}\n"));
    // The address may also stand behind the command.
    let (code, said) = run_alone(&["duties", "--to", &at.to_string()]);
    assert_eq!((code, said.as_str()), (Some(0), "{\"Answer\":1}\n"));
}

/// Without an address and a settings file, as the program is started with these words alone.
fn run_alone(words: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_archlink-control-plane"));
    let Output { status, stdout, stderr } =
        command.env_remove("ARCHLINK_CONFIG").args(words).output().unwrap();
    let said = [stdout, stderr].map(|said| String::from_utf8_lossy(&said).into_owned());
    (status.code(), said.concat())
}

/// `check` sends nothing and tells what it read; `replace` tells the same, sends the file byte for byte, and prints the answer.
#[test]
fn a_checked_file_is_described_and_a_replaced_one_is_sent_as_it_is() {
    let (at, asked) = stand_in(|_| (200, r#"{"Answer":1}"#.to_string()));
    let file = std::env::temp_dir().join(format!("archlink-desk-check-{}", std::process::id()));
    let path = file.to_str().unwrap();
    let text = concat!(
        r#"{"ConfigVersion": "00000001", "RouteTable": {"ColumnNames": ["Designation"], "Records": []},"#,
        r#" "ServiceTable": {"ColumnNames": ["Designation"], "Records": [["reports"]]}}"#
    );
    std::fs::write(&file, text).unwrap();
    let (code, checked) = run(at, &["check", path]);
    let described =
        "version 00000001, digest 0ed6d08a2ca6dd69d812128c394ca2e0: 0 routes, 1 services, 0 tenants\n";
    assert_eq!((code, checked.as_str()), (Some(0), described));
    assert_eq!(asked.try_iter().count(), 0);
    let (code, said) = run(at, &["replace", path]);
    assert_eq!((code, said), (Some(0), format!("{{\"Answer\":1}}\n{described}")));
    let sent = format!("POST /archlink/Configuration.Replace {text}");
    assert_eq!(asked.try_iter().collect::<Vec<_>>(), [sent]);
    std::fs::write(&file, "{}").unwrap();
    for command in ["check", "replace"] {
        let (code, said) = run(at, &[command, path]);
        let why = format!("archlink-control-plane: the file can't be used; {path}: ConfigVersion");
        assert!(code == Some(2) && said.starts_with(&why), "{code:?} {said}");
    }
    std::fs::remove_file(&file).unwrap();
    assert_eq!(run(at, &["check", path]).0, Some(2));
    assert_eq!(asked.try_iter().count(), 0);
}

/// The end is 3 for what is refused, and 2 for all else that does not come through.
#[test]
fn a_command_that_fails_ends_with_its_status_and_reason() {
    for (status, answer, code, said) in [
        (409, r#"{"Error":"no","Reason":"NoSeat"}"#, 3, "the order is refused; AT refuses: no"),
        (409, "plain", 3, "the order is refused; AT refuses: plain"),
        (404, r#"{"Error":"x"}"#, 2, r#"the call did not come through; AT answered 404: {"Error":"x"}"#),
        (503, r#"{"Error":"x"}"#, 2, r#"the call did not come through; AT answered 503: {"Error":"x"}"#),
    ] {
        let (at, _asked) = stand_in(move |_| (status, answer.to_string()));
        let expected = format!("archlink-control-plane: {}\n", said.replace("AT", &at.to_string()));
        assert_eq!(run(at, &["evacuate", "begin", "east"]), (Some(code), expected));
    }
    // Nothing to found anew where a majority answers.
    let told =
        json!({"Here": "10.0.0.1", "Epoch": 7, "Contact": true, "Members": [], "Lost": [], "Held": []});
    let (at, _asked) = stand_in(move |_| (200, told.to_string()));
    let words = ["voters", "found-anew", "--at", "10.0.0.1:8200", "--epoch", "7", "--lose", "10.0.0.2"];
    let (code, said) = run(at, &words);
    let why =
        "archlink-control-plane: the order is refused; there is nothing to found anew, as shown above\n";
    assert!(code == Some(3) && said.ends_with(why), "{code:?} {said}");
    // Words that the command line does not know, or lacks.
    for words in [
        &["other"][..],
        &["evacuate"],
        &["evacuate", "begin"],
        &["check"],
        &["voters", "replace", "10.0.0.1"],
    ] {
        assert_eq!(run(at, words).0, Some(2), "{words:?}");
    }
    for words in [&[][..], &["run"], &["members"]] {
        let (code, said) = run_alone(words);
        let why = "archlink-control-plane: the settings file can't be used";
        assert!(code == Some(2) && said.starts_with(why), "{code:?} {said}");
    }
}
