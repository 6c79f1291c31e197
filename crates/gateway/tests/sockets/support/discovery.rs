//! Discovery: publishes host lists to watches.

use super::host::Host;
use super::{ms, read_message};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};

/// Each new watch receives the published lines after the version that it names.
#[derive(Clone, Default)]
pub struct Discovery {
    /// Lines with the versions by which they are ordered.
    pub published: Arc<Mutex<Vec<(u64, String)>>>,
    /// First lines of the watches' requests.
    pub watch_requests: Arc<Mutex<Vec<String>>>,
    /// Each increase ends all open watches.
    pub breaks: Arc<AtomicUsize>,
    /// Sends nothing on open watches.
    pub hangs: Arc<AtomicBool>,
    /// Rejects each new watch at once.
    pub rejects: Arc<AtomicBool>,
    /// Ends each watch in the middle of its first line.
    pub truncates: Arc<AtomicBool>,
}

impl Discovery {
    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, discovery) = (listener.local_addr().unwrap(), self.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = discovery.clone();
                spawn(move || discovery.serve(stream));
            }
        });
        address
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let (first, ..) = read_message(&mut BufReader::new(stream.try_clone().ok()?))?;
        let mut after: u64 = first.split("after=").nth(1)?.split(' ').next()?.parse().ok()?;
        self.watch_requests.lock().unwrap().push(first);
        if self.rejects.load(Ordering::SeqCst) {
            return stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").ok();
        }
        let breaks = self.breaks.load(Ordering::SeqCst);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        while self.breaks.load(Ordering::SeqCst) == breaks {
            if self.hangs.load(Ordering::SeqCst) {
                sleep(ms(20));
                continue;
            }
            let lines: Vec<_> =
                self.published.lock().unwrap().iter().filter(|l| l.0 > after).cloned().collect();
            for (version, line) in lines {
                after = version;
                if self.truncates.load(Ordering::SeqCst) {
                    let half = &line[..line.len() / 2];
                    return write!(stream, "{:x}\r\n{half}\r\n", half.len()).ok();
                }
                write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1).ok()?;
            }
            stream.write_all(b"1\r\n\n\r\n").ok()?;
            sleep(ms(20));
        }
        None
    }

    pub fn publish(&self, version: u64, is_full: bool, entries: &[Value]) {
        let line = json!({"version": version, "full": is_full, "servers": entries}).to_string();
        self.published.lock().unwrap().push((version, line));
    }
}

/// Host `s-n` in cell `n`.
pub fn host_entry(n: usize, host: &Host, state: &str) -> Value {
    json!({"id": format!("s-{n}"), "addr": host.address.to_string(), "zone": "a", "kind": "k", "cell": n,
        "state": state, "weight": 1.0, "started_ms": 0})
}
