//! The project's own logger behind the crate `log`: lines to standard error, written by a thread of their own.
//! Owns the rate and the queue of lines. Must never block the thread that logs: lines beyond the rate, or that find
//! the queue full, are dropped and counted.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Lines a second and lines waiting; far more than a healthy gateway writes, little enough for any disk.
const RATE: f64 = 50.0;
const QUEUE: usize = 256;

struct Spending {
    credit: f64,
    at: Instant,
    dropped: u64,
}

struct Lines {
    name: String,
    started: Instant,
    queue: SyncSender<String>,
    waiting: Arc<AtomicUsize>,
    spending: Mutex<Spending>,
}

impl Log for Lines {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let Ok(mut spending) = self.spending.try_lock() else { return };
        let now = Instant::now();
        let grown = spending.credit + now.duration_since(spending.at).as_secs_f64() * RATE;
        (spending.credit, spending.at) = (grown.min(RATE), now);
        if spending.credit < 1.0 {
            spending.dropped += 1;
            return;
        }
        let at = now.duration_since(self.started).as_secs_f64();
        let dropped = match spending.dropped {
            0 => String::new(),
            count => format!(" ({count} lines dropped before)"),
        };
        let line = format!("{at:.3} {} {}: {}{dropped}\n", self.name, record.level(), record.args());
        self.waiting.fetch_add(1, Ordering::SeqCst);
        if self.queue.try_send(line).is_ok() {
            (spending.credit, spending.dropped) = (spending.credit - 1.0, 0);
        } else {
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            spending.dropped += 1;
        }
    }

    /// At the end only: waits a moment for the lines on their way.
    fn flush(&self) {
        for _ in 0..50 {
            if self.waiting.load(Ordering::SeqCst) == 0 {
                return;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

pub fn start(name: &str, level: LevelFilter) -> Result<(), String> {
    let (queue, lines): (_, Receiver<String>) = sync_channel(QUEUE);
    let waiting = Arc::new(AtomicUsize::new(0));
    let left = waiting.clone();
    let write = move || {
        for line in lines {
            std::io::stderr().write_all(line.as_bytes()).ok();
            left.fetch_sub(1, Ordering::SeqCst);
        }
    };
    std::thread::Builder::new().name("log".into()).spawn(write).map_err(|e| format!("log: {e}"))?;
    let started = Instant::now();
    let spending = Mutex::new(Spending { credit: RATE, at: started, dropped: 0 });
    let lines = Lines { name: name.to_string(), started, queue, waiting, spending };
    log::set_boxed_logger(Box::new(lines)).map_err(|e| format!("log: {e}"))?;
    log::set_max_level(level);
    std::panic::set_hook(Box::new(|panic| log::error!("{panic}")));
    Ok(())
}
