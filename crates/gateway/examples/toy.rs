//! A toy deployment to try the gateway with, all on loopback: two hosts, discovery and a counter in one program.
//! Start it, then the gateway with `crates/gateway/examples/gateway.json`. A line typed here changes the list of hosts:
//! `drain 1`, `gone 1` or `ready 1`.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write, stdin};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

const HOSTS: [&str; 2] = ["127.0.0.1:9101", "127.0.0.1:9102"];
const DISCOVERY: &str = "127.0.0.1:9100";
const COUNTER: &str = "127.0.0.1:9103";

/// The version of the list and the state of each host.
type List = Arc<Mutex<(u64, [&'static str; 2])>>;

fn listen(address: &str, serve: impl Fn(TcpStream) -> std::io::Result<()> + Send + Sync + Clone + 'static) {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| panic!("{address}: {e}"));
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            spawn(move || serve(stream));
        }
    });
}

/// The first line of a message and its body; an error where the connection ends.
fn message(from: &mut BufReader<TcpStream>) -> std::io::Result<(String, Vec<u8>)> {
    let (mut first, mut length) = (String::new(), 0);
    if from.read_line(&mut first)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    loop {
        let mut line = String::new();
        from.read_line(&mut line)?;
        match line.trim_end().split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.parse().unwrap_or(0);
            }
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body)?;
    Ok((first.trim_end().to_string(), body))
}

fn host(name: &'static str, mut stream: TcpStream) -> std::io::Result<()> {
    let mut from = BufReader::new(stream.try_clone()?);
    loop {
        let (first, body) = message(&mut from)?;
        println!("{name} gets {first}");
        sleep(Duration::from_millis(50));
        let text =
            format!("{name} did {} with {} bytes\n", first.split('?').next().unwrap_or(""), body.len());
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len())?;
    }
}

fn counter(totals: &Mutex<HashMap<String, f64>>, mut stream: TcpStream) -> std::io::Result<()> {
    let mut lines = BufReader::new(stream.try_clone()?).lines();
    loop {
        let end = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
        let count: usize = lines.next().ok_or_else(end)??.trim_start_matches('*').parse().unwrap_or(0);
        let mut words = Vec::new();
        for _ in 0..count {
            lines.next().ok_or_else(end)??;
            words.push(lines.next().ok_or_else(end)??);
        }
        if words.len() != 4 {
            stream.write_all(b"+PONG\r\n")?;
            continue;
        }
        let total = {
            let mut totals = totals.lock().expect("no thread panics while it counts");
            // A toy: names are kept for good, the life in the fourth word is not heeded.
            let total = totals.entry(words[1].clone()).or_default();
            *total += words[2].parse::<f64>().unwrap_or(0.0);
            total.to_string()
        };
        write!(stream, "${}\r\n{total}\r\n", total.len())?;
    }
}

fn discovery(list: &List, mut stream: TcpStream) -> std::io::Result<()> {
    message(&mut BufReader::new(stream.try_clone()?))?;
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let mut said = 0;
    loop {
        let (version, states) = *list.lock().expect("no thread panics while it lists");
        let mut line = String::new();
        if version > said {
            let entries: Vec<String> = (0..2)
                .map(|n| {
                    format!(
                        r#"{{"id":"s-{n}","addr":"{}","zone":"a","kind":"toy","cell":0,"state":"{}","weight":1.0,"started_ms":0}}"#,
                        HOSTS[n], states[n]
                    )
                })
                .collect();
            line = format!(r#"{{"version":{version},"full":true,"servers":[{}]}}"#, entries.join(","));
            said = version;
        }
        write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
        sleep(Duration::from_millis(500));
    }
}

fn main() {
    let list: List = Arc::new(Mutex::new((1, ["ready"; 2])));
    let totals = Arc::new(Mutex::new(HashMap::new()));
    listen(HOSTS[0], |stream| host("host 0", stream));
    listen(HOSTS[1], |stream| host("host 1", stream));
    listen(COUNTER, move |stream| counter(&totals, stream));
    let told = list.clone();
    listen(DISCOVERY, move |stream| discovery(&told, stream));
    println!("two hosts, discovery and a counter are up; type `drain 1`, `gone 1` or `ready 1`");
    for line in stdin().lines().map_while(Result::ok) {
        let mut words = line.split_whitespace();
        let state = match words.next() {
            Some("drain") => "draining",
            Some("gone") => "gone",
            Some("ready") => "ready",
            _ => continue,
        };
        if let Some(n) = words.next().and_then(|n| n.parse::<usize>().ok()).filter(|n| *n < 2) {
            let mut list = list.lock().expect("no thread panics while it lists");
            list.0 += 1;
            list.1[n] = state;
        }
    }
    // Without a terminal it stays up until it is ended.
    loop {
        sleep(Duration::from_secs(60));
    }
}
