//! sounding: plays drawn plans against the cores of the control plane, as many as there is time for, and shrinks those that
//! end with a fault. Owns the command line. Must never decide what a fault is.
#![forbid(unsafe_code)]

use archlink_simulation::shrink::{shrunk, tried};
use archlink_simulation::{Kind, Plan, Size, SoundingError};
use clap::{Arg, ArgMatches, Command, value_parser};
use error_stack::{Report, ResultExt};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Faults that are shrunk and told; more of them say no more.
const MOST_FAULTS: usize = 8;

fn commands() -> Command {
    let size = || Arg::new("size").long("size").default_value("small").value_parser(["small", "grown"]);
    let kind = || Arg::new("kind").long("kind").default_value("any").value_parser(["any", "losses"]);
    let number = |name| Arg::new(name).long(name).value_parser(value_parser!(u64));
    Command::new("sounding")
        .about("Drawn schedules against the control plane's cores")
        .subcommand_required(true)
        .subcommand(
            Command::new("run")
                .about("Play the plans of many seeds")
                .arg(Arg::new("seeds").long("seeds").default_value("0..1000").help("A..B"))
                .arg(size())
                .arg(kind())
                .arg(number("jobs").default_value("1"))
                .arg(
                    number("for").default_value("86400").help("seconds after which no further plan is begun"),
                ),
        )
        .subcommand(
            Command::new("replay")
                .about("Play one plan and tell its story")
                .arg(number("seed").required_unless_present("plan"))
                .arg(Arg::new("plan").long("plan").value_name("FILE"))
                .arg(Arg::new("shrink").long("shrink").action(clap::ArgAction::SetTrue))
                .arg(size())
                .arg(kind()),
        )
}

fn kind(matches: &ArgMatches) -> Kind {
    match matches.get_one::<String>("kind").map(String::as_str) {
        Some("losses") => Kind::Losses,
        _ => Kind::Any,
    }
}

fn size(matches: &ArgMatches) -> Size {
    match matches.get_one::<String>("size").map(String::as_str) {
        Some("grown") => Size::Grown,
        _ => Size::Small,
    }
}

fn run(matches: &ArgMatches) -> Result<(), Report<SoundingError>> {
    let asked = matches.get_one::<String>("seeds").cloned().unwrap_or_default();
    let wrong = || Report::new(SoundingError::Asked).attach(format!("--seeds {asked}: expected A..B"));
    let (from, to) = asked.split_once("..").ok_or_else(wrong)?;
    let (from, to): (u64, u64) = (from.parse().map_err(|_| wrong())?, to.parse().map_err(|_| wrong())?);
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let (kind, size, jobs, most) =
        (kind(matches), size(matches), number("jobs"), Duration::from_secs(number("for")));
    let (next, began) = (AtomicU64::new(from), Instant::now());
    let (seconds, steps, plays) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let faults = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while began.elapsed() < most {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= to {
                        return;
                    }
                    let played = tried(&Plan::of(kind, seed, size), false);
                    plays.fetch_add(1, Ordering::Relaxed);
                    seconds.fetch_add(played.seconds as u64, Ordering::Relaxed);
                    steps.fetch_add(played.steps, Ordering::Relaxed);
                    if let (Some(fault), Ok(mut faults)) = (played.fault, faults.lock()) {
                        println!("seed {seed}: {fault}");
                        faults.push((seed, fault));
                    }
                }
            });
        }
    });
    let took = began.elapsed().as_secs_f64();
    let faults = faults.into_inner().unwrap_or_default();
    let (plays, steps) = (plays.into_inner(), steps.into_inner());
    println!(
        "{plays} plans, {} made-up seconds, {steps} steps in {took:.1} s: {:.0} plans a second; {} with a fault",
        seconds.into_inner(),
        plays as f64 / took,
        faults.len()
    );
    let mut told = Vec::new();
    for (seed, fault) in &faults {
        let sort: String = fault.chars().filter(|c| c.is_alphabetic()).take(20).collect();
        if told.len() < MOST_FAULTS && !told.contains(&sort) {
            told.push(sort);
            let plan = shrunk(&Plan::of(kind, *seed, size));
            let fault = tried(&plan, false).fault.unwrap_or_default();
            println!("seed {seed} shrunk: {fault}\n{}", plan.text());
        }
    }
    if faults.is_empty() { Ok(()) } else { Err(Report::new(SoundingError::Fault)) }
}

fn replay(matches: &ArgMatches) -> Result<(), Report<SoundingError>> {
    let mut plan = match (matches.get_one::<String>("plan"), matches.get_one::<u64>("seed")) {
        (Some(file), _) => {
            let text = std::fs::read_to_string(file).change_context(SoundingError::Plan);
            Plan::read(&text.attach_with(|| file.clone())?)?
        }
        (None, seed) => Plan::of(kind(matches), seed.copied().unwrap_or_default(), size(matches)),
    };
    if matches.get_flag("shrink") {
        plan = shrunk(&plan);
    }
    print!("{}", plan.text());
    let played = tried(&plan, true);
    played.story.iter().for_each(|line| println!("{line}"));
    match played.fault {
        Some(fault) => Err(Report::new(SoundingError::Fault).attach(fault)),
        None => Ok(()),
    }
}

fn main() {
    // Panics of cores are faults and told as such.
    std::panic::set_hook(Box::new(|_| {}));
    let matches = commands().get_matches();
    let done = match matches.subcommand() {
        Some(("run", below)) => run(below),
        Some((_, below)) => replay(below),
        None => Ok(()),
    };
    if let Err(e) = done {
        eprintln!("sounding: {e:?}");
        std::process::exit(1);
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn the_command_line_is_sound() {
        super::commands().debug_assert();
    }
}
