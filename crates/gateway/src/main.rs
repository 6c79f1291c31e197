//! The API gateway: runs the admission module on sockets. Client requests arrive at [`listener`], are decided by the
//! admission module behind [`dispatcher`], and are sent to hosts by [`attempts`]. [`discovery`] supplies the host
//! lists and [`counter`] the shared totals of the quotas.
//!
//! Everything runs on one thread. Modules depend on each other in one direction: modules that decide or hold state
//! ([`clock`], [`timer`], [`http`], [`request_table`], [`driver`]) do not depend on the modules of the tasks
//! ([`attempts`], [`listener`], [`discovery`], [`counter`]), which do not depend on [`startup`].

mod admit;
mod attempts;
mod clock;
mod configuration;
mod counter;
mod discovery;
mod dispatcher;
mod driver;
mod error;
mod http;
mod listener;
mod logger;
mod outcome;
mod peers;
mod protocol;
mod request_table;
mod startup;
mod supervisor;
mod timer;
mod upstream;

use error::StartupError;
use tokio::runtime::LocalOptions;

/// Exit status of a failed start.
const EXIT_STARTUP_FAILED: i32 = 2;

fn run() -> Result<(), StartupError> {
    let configuration = configuration::read()?;
    logger::start(&configuration.name, configuration.log_level)?;
    let mut builder = tokio::runtime::Builder::new_current_thread();
    // A `LocalSet` would wake itself through a descriptor for every task, which takes two system calls each.
    let runtime = builder
        .enable_all()
        .build_local(LocalOptions::default())
        .map_err(|cause| StartupError::Io { key: "runtime", cause })?;
    runtime.block_on(startup::run(configuration))?;
    log::logger().flush();
    // Exits without dropping the runtime: dropping it would report the attempts left in it (cancelled ones at most)
    // to the admission module, which could start new ones.
    std::process::exit(0)
}

fn main() {
    if let Err(error) = run() {
        eprintln!("archlink-gateway: {error}");
        std::process::exit(EXIT_STARTUP_FAILED);
    }
}
