//! A toy deployment for trying out the gateway: two hosts, discovery and a counter in one program, all on loopback.
//! Start it, and then the gateway with `crates/gateway/examples/gateway.json`. Typing `drain 1`, `gone 1` or `ready 1`
//! changes the state of host 1 in the host list.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write, stdin};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{sleep, spawn};
use std::time::Duration;

const HOSTS: [&str; 2] = ["127.0.0.1:9101", "127.0.0.1:9102"];
const DISCOVERY: &str = "127.0.0.1:9100";
const COUNTER: &str = "127.0.0.1:9103";

/// Time that a host takes to serve a request.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Interval between lines on a watch; the gateway expects one every 2 s.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

struct HostList {
    version: u64,
    states: [&'static str; 2],
}

type SharedHostList = Arc<Mutex<HostList>>;

/// Accepts connections on an address and serves each on its own thread.
fn listen(
    address: &str,
    serve: impl Fn(TcpStream) -> Result<()> + Send + Sync + Clone + 'static,
) -> Result<()> {
    let listener = TcpListener::bind(address)
        .map_err(|error| Error::new(error.kind(), format!("{address}: {error}")))?;
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            spawn(move || serve(stream));
        }
    });
    Ok(())
}

/// Reads a message; returns its first line and body, or an error if the connection ends.
fn read_message(reader: &mut BufReader<TcpStream>) -> Result<(String, Vec<u8>)> {
    let (mut first_line, mut length) = (String::new(), 0);
    if reader.read_line(&mut first_line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        match line.trim_end().split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.parse().unwrap_or(0);
            }
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((first_line.trim_end().to_string(), body))
}

fn serve_host(name: &'static str, mut stream: TcpStream) -> Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    loop {
        let (first_line, body) = read_message(&mut reader)?;
        println!("{name} received {first_line}");
        sleep(SERVICE_TIME);
        let target = first_line.split('?').next().unwrap_or("");
        let text = format!("{name} served {target} with {} body bytes\n", body.len());
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())?;
    }
}

/// Reads the words of a RESP2 command.
fn read_command(lines: &mut impl Iterator<Item = Result<String>>) -> Result<Vec<String>> {
    let mut next_line = || lines.next().ok_or_else(|| Error::from(ErrorKind::UnexpectedEof))?;
    let count: usize = next_line()?.trim_start_matches('*').parse().unwrap_or(0);
    let mut words = Vec::new();
    for _ in 0..count {
        // Skips the length of the word.
        next_line()?;
        words.push(next_line()?);
    }
    Ok(words)
}

fn serve_counter(totals: &Mutex<HashMap<String, f64>>, mut stream: TcpStream) -> Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    loop {
        let words = read_command(&mut lines)?;
        // A simplification: keys never expire, and the lifetime is ignored.
        let [_, key, amount, _lifetime] = words.as_slice() else {
            stream.write_all(b"+PONG\r\n")?;
            continue;
        };
        let total = {
            let mut totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
            let total = totals.entry(key.clone()).or_default();
            *total += amount.parse::<f64>().unwrap_or(0.0);
            total.to_string()
        };
        write!(stream, "${}\r\n{total}\r\n", total.len())?;
    }
}

fn host_list_line(version: u64, states: [&str; 2]) -> String {
    let entry = |index: usize| {
        format!(
            r#"{{"id":"s-{index}","addr":"{}","zone":"a","kind":"toy","cell":0,"state":"{}","weight":1.0,"started_ms":0}}"#,
            HOSTS[index], states[index]
        )
    };
    format!(r#"{{"version":{version},"full":true,"servers":[{},{}]}}"#, entry(0), entry(1))
}

fn serve_discovery(list: &SharedHostList, mut stream: TcpStream) -> Result<()> {
    read_message(&mut BufReader::new(stream.try_clone()?))?;
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let mut sent_version = 0;
    loop {
        let (version, states) = {
            let list = list.lock().unwrap_or_else(PoisonError::into_inner);
            (list.version, list.states)
        };
        let mut line = String::new();
        if version > sent_version {
            line = host_list_line(version, states);
            sent_version = version;
        }
        write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
        sleep(WATCH_INTERVAL);
    }
}

/// Applies a typed command to the host list; other lines are ignored.
fn apply_command(line: &str, list: &SharedHostList) {
    let mut words = line.split_whitespace();
    let state = match words.next() {
        Some("drain") => "draining",
        Some("gone") => "gone",
        Some("ready") => "ready",
        _ => return,
    };
    let index = words.next().and_then(|word| word.parse::<usize>().ok());
    if let Some(index) = index.filter(|index| *index < HOSTS.len()) {
        let mut list = list.lock().unwrap_or_else(PoisonError::into_inner);
        list.version += 1;
        list.states[index] = state;
    }
}

fn main() -> Result<()> {
    let list = Arc::new(Mutex::new(HostList { version: 1, states: ["ready"; 2] }));
    let totals = Arc::new(Mutex::new(HashMap::new()));
    listen(HOSTS[0], |stream| serve_host("host 0", stream))?;
    listen(HOSTS[1], |stream| serve_host("host 1", stream))?;
    listen(COUNTER, move |stream| serve_counter(&totals, stream))?;
    let watched = list.clone();
    listen(DISCOVERY, move |stream| serve_discovery(&watched, stream))?;
    println!("two hosts, discovery and a counter are running; type `drain 1`, `gone 1` or `ready 1`");
    for line in stdin().lines().map_while(Result::ok) {
        apply_command(&line, &list);
    }
    // Without standard input the program runs until it is killed.
    loop {
        sleep(Duration::from_secs(60));
    }
}
