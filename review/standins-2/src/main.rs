//! The stand-ins and the cases of the second review. `review-2 CASE RECORD` plays one case and exits with 1 if its rule was
//! broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod hosts;
mod http;
mod proxy;
mod record;
mod world;

use std::process::{Command, ExitCode};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Seconds after which a case is given up and all its processes are ended.
const LIMIT: Duration = Duration::from_secs(110);

/// The processes that this case started.
pub static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("review-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(record::Record::new(path));
    record.say(format!(
        "case {case}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    ));
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LIMIT);
        watched.say("the case couldn't run: it took too long");
        for process in STARTED.lock().unwrap().iter() {
            Command::new("bash").args(["-c", &format!("kill -KILL {process}")]).status().ok();
        }
        std::process::exit(2);
    });
    let played =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cases::play(case, record.clone(), trouble)));
    match played.unwrap_or_else(|_| Verdict::NotRun("the stand-ins failed".into())) {
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::NotRun(reason) => {
            record.say(format!("the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}
