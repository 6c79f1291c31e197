//! Stand-ins for what surrounds the gateway, and the gateway's process.

pub mod counter;
pub mod discovery;
pub mod gateway;
pub mod host;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Longest wait for anything; far beyond what any of it takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Waits for a condition.
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !done() {
        assert!(begun.elapsed() < TEST_TIMEOUT, "timed out: {what}");
        sleep(ms(5));
    }
}

/// One HTTP message: its first line, headers and body; `None` where the connection ends.
pub fn read_message(from: &mut BufReader<TcpStream>) -> Option<(String, HashMap<String, String>, Vec<u8>)> {
    let mut line = || {
        let mut text = String::new();
        from.read_line(&mut text).ok().filter(|n| *n > 0).map(|_| text.trim_end().to_string())
    };
    let first = line()?;
    let mut headers = HashMap::new();
    while let Some((name, value)) = line()?.split_once(": ") {
        headers.insert(name.to_ascii_lowercase(), value.to_string());
    }
    let mut body = vec![0; headers.get("content-length").map_or(0, |n| n.parse().unwrap())];
    from.read_exact(&mut body).ok()?;
    Some((first, headers, body))
}
