//! The api gateway: the admission module on sockets. Clients' requests arrive at [`listener`], are decided by the
//! admission module behind [`dispatcher`], and go to hosts through [`attempts`]; [`discovery`] brings the host lists and
//! [`counter`] the quotas' shared totals.
//!
//! All of it runs on one thread. Modules depend on each other in one direction: what decides or holds state ([`clock`],
//! [`timer`], [`http`], [`request_table`], [`driver`]) knows nothing of the tasks that act ([`attempts`], [`listener`],
//! [`discovery`], [`counter`]), which know nothing of [`startup`].

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

/// Status of a start that failed.
const STARTUP_FAILED: i32 = 2;

fn run() -> Result<(), StartupError> {
    let configuration = configuration::read()?;
    logger::start(&configuration.name, configuration.log_level)?;
    let mut builder = tokio::runtime::Builder::new_current_thread();
    // Not a `LocalSet`: that wakes itself through a descriptor for every task, two system calls each.
    let runtime = builder
        .enable_all()
        .build_local(LocalOptions::default())
        .map_err(|cause| StartupError::Io { key: "runtime", cause })?;
    runtime.block_on(startup::run(configuration))?;
    log::logger().flush();
    // Not by dropping the runtime: attempts that are left in it, cancelled ones at most, would be reported to a module
    // that could start new ones.
    std::process::exit(0)
}

fn main() {
    if let Err(error) = run() {
        eprintln!("archlink-gateway: {error}");
        std::process::exit(STARTUP_FAILED);
    }
}
