//! The record of a case: what was sent, answered and run, one line each with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        Record {
            begun: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt can't be written")),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.seconds();
        writeln!(self.file.lock().unwrap(), "{at:9.3}  {}", text.as_ref()).ok();
    }

    /// A line that is also shown on standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.3}  {}", self.seconds(), text.as_ref());
        self.line(text);
    }
}
