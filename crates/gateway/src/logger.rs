//! The logger behind the crate `log`: writes lines to standard error on a separate thread.
//!
//! The system's other programs use `env_logger`, which writes on the thread that logs. This program serves all
//! clients on one thread, so a full pipe or a slow disk behind standard error would stall all of them. Logging
//! therefore never blocks: lines go through a bounded queue at a bounded rate, and lines beyond either bound are
//! dropped and counted.

use log::{LevelFilter, Log, Metadata, Record, SetLoggerError};
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{fmt, io};

/// Rate limit in lines per second, and its burst in lines: far more than a healthy gateway writes, and little enough
/// for any disk.
const MAX_LINES_PER_SECOND: f64 = 50.0;
/// Maximum number of lines waiting to be written.
const QUEUE_CAPACITY: usize = 256;
/// Number and interval of a flush's checks whether all lines are written; together at most 100 ms.
const MAX_FLUSH_POLLS: usize = 50;
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Why the logger could not be started.
#[derive(Debug)]
pub enum LoggerError {
    /// The writer thread could not be spawned.
    Thread(io::Error),
    /// Another logger is already installed.
    AlreadyInstalled(SetLoggerError),
}

impl fmt::Display for LoggerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoggerError::Thread(error) => write!(f, "cannot spawn the writer thread: {error}"),
            LoggerError::AlreadyInstalled(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for LoggerError {}

/// Token bucket that limits the rate of lines.
struct RateLimit {
    tokens: f64,
    refilled: Instant,
    dropped: u64,
}

impl RateLimit {
    fn refill(&mut self, now: Instant) {
        let added = now.duration_since(self.refilled).as_secs_f64() * MAX_LINES_PER_SECOND;
        (self.tokens, self.refilled) = ((self.tokens + added).min(MAX_LINES_PER_SECOND), now);
    }
}

struct QueuedLogger {
    name: String,
    started: Instant,
    queue: SyncSender<String>,
    /// Lines in the queue or being written.
    unwritten: Arc<AtomicUsize>,
    rate_limit: Mutex<RateLimit>,
}

impl QueuedLogger {
    /// Formats a line as `seconds name LEVEL: text`.
    fn format(&self, now: Instant, record: &Record, dropped: u64) -> String {
        let seconds = now.duration_since(self.started).as_secs_f64();
        let dropped = match dropped {
            0 => String::new(),
            count => format!(" ({count} earlier lines dropped)"),
        };
        format!("{seconds:.3} {} {}: {}{dropped}\n", self.name, record.level(), record.args())
    }
}

impl Log for QueuedLogger {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let Ok(mut rate_limit) = self.rate_limit.try_lock() else { return };
        let now = Instant::now();
        rate_limit.refill(now);
        if rate_limit.tokens < 1.0 {
            rate_limit.dropped += 1;
            return;
        }
        let line = self.format(now, record, rate_limit.dropped);
        self.unwritten.fetch_add(1, Ordering::SeqCst);
        if self.queue.try_send(line).is_ok() {
            (rate_limit.tokens, rate_limit.dropped) = (rate_limit.tokens - 1.0, 0);
        } else {
            self.unwritten.fetch_sub(1, Ordering::SeqCst);
            rate_limit.dropped += 1;
        }
    }

    /// Waits a moment until the queued lines are written. Blocks, so it is only for the end of the program.
    fn flush(&self) {
        for _ in 0..MAX_FLUSH_POLLS {
            if self.unwritten.load(Ordering::SeqCst) == 0 {
                return;
            }
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// Installs the logger and a hook that logs panics; each line contains `name`.
pub fn start(name: &str, level: LevelFilter) -> Result<(), LoggerError> {
    let (queue, lines): (_, Receiver<String>) = sync_channel(QUEUE_CAPACITY);
    let unwritten = Arc::new(AtomicUsize::new(0));
    let unwritten_counter = unwritten.clone();
    let write_lines = move || {
        for line in lines {
            io::stderr().write_all(line.as_bytes()).ok();
            unwritten_counter.fetch_sub(1, Ordering::SeqCst);
        }
    };
    std::thread::Builder::new().name("log".into()).spawn(write_lines).map_err(LoggerError::Thread)?;
    let started = Instant::now();
    let rate_limit = Mutex::new(RateLimit { tokens: MAX_LINES_PER_SECOND, refilled: started, dropped: 0 });
    let logger = QueuedLogger { name: name.to_string(), started, queue, unwritten, rate_limit };
    log::set_boxed_logger(Box::new(logger)).map_err(LoggerError::AlreadyInstalled)?;
    log::set_max_level(level);
    std::panic::set_hook(Box::new(|panic_info| log::error!("{panic_info}")));
    Ok(())
}
