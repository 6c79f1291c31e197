//! The record of a run: one line for each thing that was sent, answered, run or done, with the seconds since the start.

use crate::lock;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, line: impl Into<String>) {
        let at = self.now();
        lock(&self.lines).push((at, line.into()));
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:8.3} s  {line}", self.now());
        self.add(line);
    }

    /// Writes all lines, in the order of their times, to `record.txt` in the folder.
    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        let mut lines = lock(&self.lines).clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut file = std::io::BufWriter::new(std::fs::File::create(folder.join("record.txt"))?);
        for (at, line) in lines {
            writeln!(file, "{at:8.3} s  {line}")?;
        }
        file.flush()
    }
}

impl Default for Record {
    fn default() -> Record {
        Record::new()
    }
}

/// The largest number of events in any span of `window` seconds, and the time at which that span begins.
pub fn busiest_window(times: &[f64], window: f64) -> (usize, f64) {
    let mut times = times.to_vec();
    times.sort_by(f64::total_cmp);
    let mut best = (0, 0.0);
    let mut first = 0;
    for last in 0..times.len() {
        while times[last] - times[first] >= window {
            first += 1;
        }
        if last + 1 - first > best.0 {
            best = (last + 1 - first, times[first]);
        }
    }
    best
}
