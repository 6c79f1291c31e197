//! Fake counters that count, hang, reject or reply garbage.

use super::ms;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};

/// How a counter responds to calls. Pings are answered, except on connections that hang after some replies.
#[derive(Clone, Copy, PartialEq)]
pub enum CounterBehavior {
    Counts,
    Hangs,
    Rejects,
    /// The first reply is far too late and has a total that would exhaust any quota.
    FirstReplyLate,
    /// The first two calls get a reply; the connection of the third hangs.
    HangsAfterTwo,
    /// Every third reply contains no number; its connection then hangs.
    EveryThirdGarbage,
}

/// Starts a counter on a free port; returns its address and the number of calls so far.
pub fn start_counter(behavior: CounterBehavior) -> (SocketAddr, Arc<AtomicUsize>) {
    start_counter_at("127.0.0.1:0".parse().unwrap(), behavior)
}

/// Starts a counter at the given address; returns its address and the number of calls so far.
pub fn start_counter_at(address: SocketAddr, behavior: CounterBehavior) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(address).unwrap();
    let address = listener.local_addr().unwrap();
    let counter = Counter { behavior, calls: Arc::default(), totals: Arc::default() };
    let calls = counter.calls.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let counter = counter.clone();
            spawn(move || counter.serve(stream));
        }
    });
    (address, calls)
}

#[derive(Clone)]
struct Counter {
    behavior: CounterBehavior,
    calls: Arc<AtomicUsize>,
    totals: Arc<Mutex<HashMap<String, f64>>>,
}

impl Counter {
    fn add(&self, key: &str, amount: &str) -> f64 {
        let mut totals = self.totals.lock().unwrap();
        let total = totals.entry(key.to_string()).or_default();
        *total += amount.parse::<f64>().unwrap();
        *total
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        loop {
            let count: usize = lines.next()?.strip_prefix('*')?.parse().ok()?;
            let words: Vec<String> = (0..count).filter_map(|_| lines.nth(1)).collect();
            if words[0] == "PING" {
                writer.write_all(b"+PONG\r\n").ok()?;
                continue;
            }
            assert_eq!((words[0].as_str(), words.len()), ("INCRTTL", 4));
            assert!(words[1].len() <= 64 && words[3].parse::<u64>().unwrap() >= 1);
            let call_number = self.calls.fetch_add(1, Ordering::SeqCst);
            let mut total = self.add(&words[1], &words[2]);
            match self.behavior {
                CounterBehavior::Hangs => continue,
                CounterBehavior::Rejects => {
                    writer.write_all(b"-BUSY\r\n").ok()?;
                    continue;
                }
                CounterBehavior::HangsAfterTwo if call_number == 2 => return lines.find(|_| false).map(drop),
                CounterBehavior::EveryThirdGarbage if call_number % 3 == 2 => {
                    let garbage: [&[u8]; 3] = [b"+what\r\n", b"\r\n", b"$3\r\nabc\r\n"];
                    writer.write_all(garbage[call_number / 3 % 3]).ok()?;
                    return lines.find(|_| false).map(drop);
                }
                CounterBehavior::FirstReplyLate if call_number == 0 => {
                    sleep(ms(300));
                    total = 1e6;
                }
                _ => {}
            }
            let total = total.to_string();
            writer.write_all(format!("${}\r\n{total}\r\n", total.len()).as_bytes()).ok()?;
        }
    }
}
