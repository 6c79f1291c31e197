//! Counters that count, hang, reject or reply nonsense.

use super::ms;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};

/// What a counter does with calls; it answers all pings.
#[derive(Clone, Copy, PartialEq)]
pub enum CounterBehavior {
    Counts,
    Hangs,
    Rejects,
    /// The first reply comes far too late, with a total that rejects whoever receives it.
    FirstReplyLate,
    /// The first connection replies twice, and then nothing more.
    HangsAfterTwo,
    /// Every third reply has no number, and its connection is of no further use.
    EveryThirdGarbage,
}

/// A counter at any address: the address, and the number of calls so far.
pub fn start_counter(behavior: CounterBehavior) -> (SocketAddr, Arc<AtomicUsize>) {
    start_counter_at("127.0.0.1:0".parse().unwrap(), behavior)
}

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
        let mut to = stream.try_clone().ok()?;
        let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
        loop {
            let words: usize = lines.next()?.strip_prefix('*')?.parse().ok()?;
            let words: Vec<String> = (0..words).filter_map(|_| lines.nth(1)).collect();
            if words[0] == "PING" {
                to.write_all(b"+PONG\r\n").ok()?;
                continue;
            }
            assert_eq!((words[0].as_str(), words.len()), ("INCRTTL", 4));
            assert!(words[1].len() <= 64 && words[3].parse::<u64>().unwrap() >= 1);
            let number = self.calls.fetch_add(1, Ordering::SeqCst);
            let mut total = self.add(&words[1], &words[2]);
            match self.behavior {
                CounterBehavior::Hangs => continue,
                CounterBehavior::Rejects => {
                    to.write_all(b"-BUSY\r\n").ok()?;
                    continue;
                }
                CounterBehavior::HangsAfterTwo if number == 2 => return lines.find(|_| false).map(drop),
                CounterBehavior::EveryThirdGarbage if number % 3 == 2 => {
                    let garbage: [&[u8]; 3] = [b"+what\r\n", b"\r\n", b"$3\r\nabc\r\n"];
                    to.write_all(garbage[number / 3 % 3]).ok()?;
                    return lines.find(|_| false).map(drop);
                }
                CounterBehavior::FirstReplyLate if number == 0 => {
                    sleep(ms(300));
                    total = 1e6;
                }
                _ => {}
            }
            let total = total.to_string();
            to.write_all(format!("${}\r\n{total}\r\n", total.len()).as_bytes()).ok()?;
        }
    }
}
