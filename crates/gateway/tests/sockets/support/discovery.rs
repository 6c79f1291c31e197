//! A fake discovery that publishes host lists to watches.

use super::host::Host;
use super::{ms, read_message};
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};

/// A discovery whose watches each receive the published lines after the version that they name.
#[derive(Clone, Default)]
pub struct Discovery {
    /// Published lines, each with the version that orders it.
    pub published: Arc<Mutex<Vec<(u64, String)>>>,
    /// Request lines of the watches.
    pub watch_requests: Arc<Mutex<Vec<String>>>,
    /// Incremented to close all open watches.
    pub breaks: Arc<AtomicUsize>,
    /// While set, nothing is sent on open watches.
    pub hangs: Arc<AtomicBool>,
    /// While set, new watches are rejected.
    pub rejects: Arc<AtomicBool>,
    /// While set, each watch is closed in the middle of its first line.
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
        let (request_line, ..) = read_message(&mut BufReader::new(stream.try_clone().ok()?))?;
        let mut after: u64 = request_line.split("after=").nth(1)?.split(' ').next()?.parse().ok()?;
        self.watch_requests.lock().unwrap().push(request_line);
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
            let lines: Vec<_> = self
                .published
                .lock()
                .unwrap()
                .iter()
                .filter(|(version, _)| *version > after)
                .cloned()
                .collect();
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

/// The host list entry of host `s-n` in cell `n`.
pub fn host_entry(n: usize, host: &Host, state: &str) -> Value {
    json!({"id": format!("s-{n}"), "addr": host.address.to_string(), "zone": "a", "kind": "k", "cell": n,
        "state": state, "weight": 1.0, "started_ms": 0})
}
