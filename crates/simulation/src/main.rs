//! Runs generated scenarios against the control plane's protocol code for a given time, and shrinks those that violate an
//! invariant.

mod command_line;

use archlink_simulation::shrink::{run_catching_panics, shrink};
use archlink_simulation::{Scenario, SimulationError, Size, Workload};
use clap::ArgMatches;
use error_stack::{Report, ResultExt};
use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of kinds of violations of which one scenario is shrunk and printed; further ones add little information.
const MAX_SHRUNK: usize = 8;
/// Number of letters of a violation's text that identify its kind.
const KIND_LENGTH: usize = 20;

/// The scenarios to run, and for how long.
struct Batch {
    seeds: Range<u64>,
    workload: Workload,
    size: Size,
    jobs: u64,
    /// No further scenario starts after this time.
    duration: Duration,
}

/// Totals over all scenarios run by all threads.
#[derive(Default)]
struct Totals {
    scenarios: AtomicU64,
    simulated_seconds: AtomicU64,
    steps: AtomicU64,
    /// Violations, each as the scenario's seed and the text.
    violations: Mutex<Vec<(u64, String)>>,
}

impl Batch {
    /// Runs scenarios one after the other until no seed or time is left.
    fn run_scenarios(&self, next_seed: &AtomicU64, started: Instant, totals: &Totals) {
        while started.elapsed() < self.duration {
            let seed = next_seed.fetch_add(1, Ordering::Relaxed);
            if seed >= self.seeds.end {
                return;
            }
            let report = run_catching_panics(&Scenario::generate(self.workload, seed, self.size), false);
            totals.scenarios.fetch_add(1, Ordering::Relaxed);
            totals.simulated_seconds.fetch_add(report.seconds as u64, Ordering::Relaxed);
            totals.steps.fetch_add(report.steps, Ordering::Relaxed);
            if let Some(violation) = report.violation {
                println!("seed {seed}: {violation}");
                totals.violations.lock().unwrap_or_else(PoisonError::into_inner).push((seed, violation));
            }
        }
    }

    /// Shrinks and prints one scenario for each kind of violation.
    fn print_shrunk(&self, violations: &[(u64, String)]) {
        let mut kinds = BTreeSet::new();
        for (seed, violation) in violations {
            let kind: String =
                violation.chars().filter(|letter| letter.is_alphabetic()).take(KIND_LENGTH).collect();
            if kinds.len() < MAX_SHRUNK && kinds.insert(kind) {
                let scenario = shrink(&Scenario::generate(self.workload, *seed, self.size));
                let violation = run_catching_panics(&scenario, false).violation.unwrap_or_default();
                println!("seed {seed} shrunk: {violation}\n{}", scenario.text());
            }
        }
    }
}

fn run(matches: &ArgMatches) -> Result<(), Report<SimulationError>> {
    let batch = command_line::batch(matches)?;
    let (next_seed, started, totals) = (AtomicU64::new(batch.seeds.start), Instant::now(), Totals::default());
    std::thread::scope(|scope| {
        for _ in 0..batch.jobs.max(1) {
            scope.spawn(|| batch.run_scenarios(&next_seed, started, &totals));
        }
    });
    let elapsed = started.elapsed().as_secs_f64();
    let violations = totals.violations.into_inner().unwrap_or_else(PoisonError::into_inner);
    let scenarios = totals.scenarios.into_inner();
    println!(
        "{scenarios} scenarios, {} simulated seconds, {} steps in {elapsed:.1} s: {:.0} scenarios a second; {} with a violation",
        totals.simulated_seconds.into_inner(),
        totals.steps.into_inner(),
        scenarios as f64 / elapsed,
        violations.len()
    );
    batch.print_shrunk(&violations);
    if violations.is_empty() { Ok(()) } else { Err(Report::new(SimulationError::Violation)) }
}

fn replay(matches: &ArgMatches) -> Result<(), Report<SimulationError>> {
    let mut scenario = match command_line::scenario_file(matches) {
        Some(file) => {
            let text = std::fs::read_to_string(file).change_context(SimulationError::Scenario);
            Scenario::read(&text.attach_with(|| file.to_string())?).attach_with(|| file.to_string())?
        }
        None => command_line::generated_scenario(matches),
    };
    if matches.get_flag("shrink") {
        scenario = shrink(&scenario);
    }
    print!("{}", scenario.text());
    let report = run_catching_panics(&scenario, true);
    report.trace.iter().for_each(|line| println!("{line}"));
    match report.violation {
        Some(violation) => Err(Report::new(SimulationError::Violation).attach(violation)),
        None => Ok(()),
    }
}

fn main() {
    // A panic of a node is reported as a violation, so the default message is not needed.
    std::panic::set_hook(Box::new(|_| {}));
    let matches = command_line::command().get_matches();
    let result = match matches.subcommand() {
        Some(("run", arguments)) => run(arguments),
        Some((_, arguments)) => replay(arguments),
        None => Ok(()),
    };
    if let Err(report) = result {
        eprintln!("archlink-simulation: {report:?}");
        std::process::exit(1);
    }
}
