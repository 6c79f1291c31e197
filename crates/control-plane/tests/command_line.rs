//! Tests the command line against a fake control node: the requests that are sent, the output and the exit status. The fake
//! node relies on the table of calls alone.

use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// The digest of the text `{}`.
const DIGEST_IN_FORCE: &str = "44136fa355b3678a1146ad16f7e8649e";

/// Serves one connection after another, and reports each request as `METHOD path body`.
fn fake_control_node(
    response: impl Fn(&str) -> (u16, String) + Send + 'static,
) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (reports, requests) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            serve_connection(stream, &response, &reports);
        }
    });
    (address, requests)
}

fn serve_connection(
    stream: TcpStream,
    response: impl Fn(&str) -> (u16, String),
    reports: &Sender<String>,
) -> Option<()> {
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
    let request = lines[0].trim_end_matches(" HTTP/1.1").to_string();
    reports.send(format!("{request} {}", String::from_utf8_lossy(&body)).trim().to_string()).ok();
    let (status, text) = response(&request);
    let head = format!("HTTP/1.1 {status} X\r\nConfig-Version: 00000001\r\nConfirmed-Seconds-Ago: 0.010\r\n");
    write!(&stream, "{head}Config-Digest: {DIGEST_IN_FORCE}\r\nContent-Length: {}\r\n\r\n{text}", text.len())
        .ok()
}

fn run_with(address: SocketAddr, arguments: &[&str]) -> (Option<i32>, String) {
    let program = env!("CARGO_BIN_EXE_archlink-control-plane");
    let to = address.to_string();
    let Output { status, stdout, stderr } =
        Command::new(program).args(["--to", to.as_str()]).args(arguments).output().unwrap();
    let output = [stdout, stderr].map(|output| String::from_utf8_lossy(&output).into_owned());
    (status.code(), output.concat())
}

/// If another text has the version, the exit status is 3 and the message has both digests. The configuration in force is
/// printed byte for byte, and a text that was damaged on the way is an error.
#[test]
fn rejection_exits_with_3_and_names_the_accepted_text() {
    let damaged = Arc::new(AtomicBool::new(false));
    let responds_damaged = damaged.clone();
    let (address, _requests) = fake_control_node(move |request| match request.starts_with("GET") {
        true => (200, if responds_damaged.load(Ordering::Relaxed) { "{ }" } else { "{}" }.to_string()),
        false => {
            let response_fields = json!({"Error": "another text stands under this number", "ConfigVersion": "00000001",
                "Digest": DIGEST_IN_FORCE, "YourDigest": "22"});
            (409, response_fields.to_string())
        }
    });
    let file = std::env::temp_dir().join(format!("archlink-command-line-{}", std::process::id()));
    let table = |names: &[&str]| json!({"ColumnNames": names, "Records": []});
    let text = json!({"ConfigVersion": "00000001", "RouteTable": table(&["Designation"]),
        "ServiceTable": table(&["Designation"])});
    std::fs::write(&file, text.to_string()).unwrap();
    let (code, output) = run_with(address, &["replace", file.to_str().unwrap()]);
    std::fs::remove_file(&file).unwrap();
    assert!(
        code == Some(3) && output.contains(DIGEST_IN_FORCE) && output.contains("yours has digest 22"),
        "{code:?} {output}"
    );
    let (code, output) = run_with(address, &["read"]);
    let expected =
        format!("{{}}version 00000001, digest {DIGEST_IN_FORCE}, confirmed by a quorum 0.010 s ago\n");
    assert_eq!((code, output), (Some(0), expected));
    damaged.store(true, Ordering::Relaxed);
    let (code, output) = run_with(address, &["read"]);
    assert!(code == Some(2) && output.contains("the received text has digest"), "{code:?} {output}");
}

/// A new generation is forced only with exactly the options that were shown, also by the former command name. The error names
/// the wrong option.
#[test]
fn new_generation_is_forced_only_by_the_options_that_were_shown() {
    let status = json!({"Here": "10.0.0.1", "Epoch": 7, "DiskWhole": true, "Contact": false,
        "Members": [{"Address": "10.0.0.1", "Here": true, "Seat": true}], "Lost": ["10.0.0.2", "10.0.0.3"],
        "Held": [{"Register": "Chart", "Stamp": 5, "ConfigVersion": "00000004", "Ballot": [9, 1, 1]}]});
    let (address, requests) = fake_control_node(move |_| (200, status.to_string()));
    let to = address.to_string();
    for command in ["force-new", "found-anew"] {
        let force = |epoch, lose| {
            run_with(address, &["voters", command, "--at", &to, "--epoch", epoch, "--lose", lose])
        };
        let (code, output) = run_with(address, &["voters", command]);
        let shown = format!("voters found-anew --at {address} --epoch 7 --lose 10.0.0.2,10.0.0.3");
        assert!(code == Some(0) && output.contains(&shown), "{output}");
        assert!(output.contains("newest Chart: 00000004"), "{output}");
        let (code, output) = force("6", "10.0.0.2,10.0.0.3");
        assert!(code == Some(2) && output.contains("--epoch: found \"6\", expected 7"), "{output}");
        let (code, output) = force("7", "10.0.0.2");
        assert!(code == Some(2) && output.contains("--lose: found"), "{output}");
        assert!(requests.try_iter().all(|request| request == "GET /archlink/voters"));
        assert_eq!(force("7", "10.0.0.2,10.0.0.3").0, Some(0));
        let request = r#"POST /archlink/Voters.Refound {"Epoch":7,"Lose":["10.0.0.2","10.0.0.3"]}"#;
        assert_eq!(requests.try_iter().last().as_deref(), Some(request));
    }
    let (code, output) = run_with(address, &["voters", "replace", "10.0.0.2", "control-4"]);
    assert!(code == Some(2) && output.contains("NEW: \"control-4\" is not a node address"), "{output}");
}

/// The deprecated program name starts the same program.
#[test]
fn former_program_name_runs_the_same_commands() {
    let (address, requests) = fake_control_node(|_| (200, r#"{"Answer":1}"#.to_string()));
    let mut command = Command::new(env!("CARGO_BIN_EXE_archlink-harbourmaster"));
    let output = command.args(["--to", &address.to_string(), "duties"]).output().unwrap();
    assert_eq!((output.status.code(), output.stdout), (Some(0), b"{\"Answer\":1}\n".to_vec()));
    assert_eq!(requests.try_iter().collect::<Vec<_>>(), ["GET /archlink/duties"]);
}

/// Each command, also under its former name, sends exactly one call, prints the response and exits with 0.
#[test]
fn each_command_sends_its_call_and_prints_the_response() {
    let (address, requests) = fake_control_node(|_| (200, r#"{"Answer":1}"#.to_string()));
    for (arguments, call) in [
        (&["evacuate", "begin", "east"][..], "POST /archlink/Evacuation.Begin/east"),
        (&["evacuate", "finish", "east"], "POST /archlink/Evacuation.Finish/east"),
        (&["members"], "GET /archlink/members"),
        (&["hosts"], "GET /archlink/hosts"),
        (&["leases"], "GET /archlink/duties"),
        (&["duties"], "GET /archlink/duties"),
        (&["quota"], "GET /archlink/quota"),
        (&["events"], "GET /archlink/journal"),
        (&["journal"], "GET /archlink/journal"),
        (&["voters"], "GET /archlink/voters"),
        (
            &["voters", "replace", "10.0.0.3:8200", "10.0.0.4"],
            "POST /archlink/Voters.Replace/10.0.0.3/10.0.0.4",
        ),
    ] {
        let (code, output) = run_with(address, arguments);
        assert_eq!((code, output.as_str()), (Some(0), "{\"Answer\":1}\n"), "{arguments:?}");
        assert_eq!(requests.try_iter().collect::<Vec<_>>(), [call]);
    }
    // After a 503 from one control node the next one is asked.
    let (busy, _requests) = fake_control_node(|_| (503, String::new()));
    let (code, output) = run_with(busy, &["--to", &address.to_string(), "duties"]);
    assert_eq!((code, output.as_str()), (Some(0), "{\"Answer\":1}\n"));
    // `--to` may also follow the command.
    let (code, output) = run_without_address(&["duties", "--to", &address.to_string()]);
    assert_eq!((code, output.as_str()), (Some(0), "{\"Answer\":1}\n"));
}

/// Runs the program with these arguments alone, without an address and a settings file.
fn run_without_address(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_archlink-control-plane"));
    let Output { status, stdout, stderr } =
        command.env_remove("ARCHLINK_CONFIG").args(arguments).output().unwrap();
    let output = [stdout, stderr].map(|output| String::from_utf8_lossy(&output).into_owned());
    (status.code(), output.concat())
}

/// `check` prints a summary of the file and sends nothing. `apply` and its former name `replace` print the same summary, send
/// the file byte for byte, and print the response.
#[test]
fn checked_file_is_described_and_applied_one_is_sent_byte_for_byte() {
    let (address, requests) = fake_control_node(|_| (200, r#"{"Answer":1}"#.to_string()));
    let file = std::env::temp_dir().join(format!("archlink-command-line-check-{}", std::process::id()));
    let path = file.to_str().unwrap();
    let text = concat!(
        r#"{"ConfigVersion": "00000001", "RouteTable": {"ColumnNames": ["Designation"], "Records": []},"#,
        r#" "ServiceTable": {"ColumnNames": ["Designation"], "Records": [["reports"]]}}"#
    );
    std::fs::write(&file, text).unwrap();
    let (code, checked) = run_with(address, &["check", path]);
    let described =
        "version 00000001, digest 0ed6d08a2ca6dd69d812128c394ca2e0: 0 routes, 1 services, 0 tenants\n";
    assert_eq!((code, checked.as_str()), (Some(0), described));
    assert_eq!(requests.try_iter().count(), 0);
    for command in ["apply", "replace"] {
        let (code, output) = run_with(address, &[command, path]);
        assert_eq!((code, output), (Some(0), format!("{{\"Answer\":1}}\n{described}")));
        let sent = format!("POST /archlink/Configuration.Replace {text}");
        assert_eq!(requests.try_iter().collect::<Vec<_>>(), [sent]);
    }
    std::fs::write(&file, "{}").unwrap();
    for command in ["check", "apply", "replace"] {
        let (code, output) = run_with(address, &[command, path]);
        let why = format!("archlink-control-plane: the file cannot be used; {path}: ConfigVersion");
        assert!(code == Some(2) && output.starts_with(&why), "{code:?} {output}");
    }
    std::fs::remove_file(&file).unwrap();
    assert_eq!(run_with(address, &["check", path]).0, Some(2));
    assert_eq!(requests.try_iter().count(), 0);
}

/// The exit status is 3 for a rejected request, and 2 for every other failure.
#[test]
fn failed_command_exits_with_its_status_and_reason() {
    for (status, response, code, output) in [
        (409, r#"{"Error":"no","Reason":"NoSeat"}"#, 3, "the request was rejected; AT: no"),
        (409, "plain", 3, "the request was rejected; AT: plain"),
        (404, r#"{"Error":"x"}"#, 2, r#"the call failed; AT: HTTP status 404: {"Error":"x"}"#),
        (503, r#"{"Error":"x"}"#, 2, r#"the call failed; AT: HTTP status 503: {"Error":"x"}"#),
    ] {
        let (address, _requests) = fake_control_node(move |_| (status, response.to_string()));
        let expected = format!("archlink-control-plane: {}\n", output.replace("AT", &address.to_string()));
        assert_eq!(run_with(address, &["evacuate", "begin", "east"]), (Some(code), expected));
    }
    // No new generation is forced while there is contact with a quorum.
    let response_fields =
        json!({"Here": "10.0.0.1", "Epoch": 7, "Contact": true, "Members": [], "Lost": [], "Held": []});
    let (address, _requests) = fake_control_node(move |_| (200, response_fields.to_string()));
    let arguments = ["voters", "found-anew", "--at", "10.0.0.1:8200", "--epoch", "7", "--lose", "10.0.0.2"];
    let (code, output) = run_with(address, &arguments);
    let why = "archlink-control-plane: the request was rejected; there is no new generation to force, as shown above\n";
    assert!(code == Some(3) && output.ends_with(why), "{code:?} {output}");
    // Unknown or missing arguments.
    for arguments in [
        &["other"][..],
        &["evacuate"],
        &["evacuate", "begin"],
        &["check"],
        &["voters", "replace", "10.0.0.1"],
    ] {
        assert_eq!(run_with(address, arguments).0, Some(2), "{arguments:?}");
    }
    for arguments in [&[][..], &["run"], &["members"]] {
        let (code, output) = run_without_address(arguments);
        let why = "archlink-control-plane: the settings file cannot be used";
        assert!(code == Some(2) && output.starts_with(why), "{code:?} {output}");
    }
}
