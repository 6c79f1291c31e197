//! Fake hosts, counter and discovery, and the gateway process under test.

pub mod counter;
pub mod discovery;
pub mod gateway;
pub mod host;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Timeout of all waits, far beyond what any of them takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a free port on a loopback IP address of its own, for a listener that starts later or never.
///
/// On an address that others use, another test or another process could bind the port first; the test would then speak
/// to the wrong server. The IP address is made from the process ID and a count and is never in 127.0.0.0/24.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [high, low] = ((std::process::id() % 0xffff) as u16 + 1).to_be_bytes();
    let count = NEXT.fetch_add(1, Ordering::SeqCst);
    assert!((1..255).contains(&count), "the process has used all of its loopback addresses");
    TcpListener::bind((Ipv4Addr::new(127, high, low, count), 0)).unwrap().local_addr().unwrap()
}

/// Waits until a condition holds; fails with its description after [`TEST_TIMEOUT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TEST_TIMEOUT, "timed out waiting: {description}");
        sleep(ms(5));
    }
}

/// Reads an HTTP message: its first line, headers and body. Returns `None` if the connection ends.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<(String, HashMap<String, String>, Vec<u8>)> {
    let mut next_line = || {
        let mut text = String::new();
        reader.read_line(&mut text).ok().filter(|length| *length > 0).map(|_| text.trim_end().to_string())
    };
    let first_line = next_line()?;
    let mut headers = HashMap::new();
    while let Some((name, value)) = next_line()?.split_once(": ") {
        headers.insert(name.to_ascii_lowercase(), value.to_string());
    }
    let mut body = vec![0; headers.get("content-length").map_or(0, |length| length.parse().unwrap())];
    reader.read_exact(&mut body).ok()?;
    Some((first_line, headers, body))
}
