//! Shows the complete system on loopback in a few seconds: three control nodes, two data nodes, stand-ins for the platform and
//! the hosts, a shared quota and the failure of a control node.

use archlink_demo::{DemoError, DemoSystem, FirstStart, configuration};
use clap::Command;

/// The loopback network 127.77.250; the tests use others.
const NETWORK: u8 = 250;
/// The tenant's quota, in requests a second.
const RATE: u32 = 20;
/// Requests that the tenant sends at once.
const BURST: usize = 300;

fn main() {
    Command::new("archlink-demo")
        .version(env!("CARGO_PKG_VERSION"))
        .about("archlink on loopback, with a fault")
        .get_matches();
    if let Err(error) = show() {
        eprintln!("archlink-demo: {error}");
        std::process::exit(2);
    }
}

fn show() -> Result<(), DemoError> {
    let mut system = DemoSystem::start(NETWORK)?;
    println!(
        "three control gateways on {}, .11, .12; two data gateways on {}, .21",
        system.operator_address(0),
        system.front_address(0)
    );
    show_configuration(&system)?;
    show_requests(&system)?;
    show_quota(&system);
    show_failure(&mut system)
}

/// Status of the response to a configuration of that version, sent to that control node; 0 without response.
fn replace_configuration(system: &DemoSystem, control_node: usize, version: u64) -> u16 {
    let body = configuration(version, RATE);
    let response = system.call_operator(control_node, "POST", "Configuration.Replace", &body);
    response.map_or(0, |response| response.status())
}

fn show_configuration(system: &DemoSystem) -> Result<(), DemoError> {
    for (id, zone) in [("host-a", "west"), ("host-b", "east")] {
        system.platform.add_host(id, "reports", zone)?;
    }
    let is_committed = |system: &DemoSystem| replace_configuration(system, 0, 1) == 200;
    system.wait_until("a majority of disks takes the configuration", is_committed)?;
    println!("configuration 1: taken by a majority of disks");
    Ok(())
}

fn show_requests(system: &DemoSystem) -> Result<(), DemoError> {
    for data_node in 0..2 {
        system.wait_until("a data gateway serves and counts", |system| {
            let response = system.send_request(data_node, "GET", "/read/1", "first", "free-key");
            response.is_some_and(|response| response.status() == 200)
        })?;
    }
    for data_node in 0..2 {
        let attempt_id = format!("shown-{data_node}");
        let response = system
            .send_request(data_node, "GET", "/read/2", &attempt_id, "free-key")
            .ok_or(DemoError::NoResponse { data_node })?;
        println!("data gateway {data_node}: {} {:?}", response.start_line, response.body);
    }
    Ok(())
}

fn show_quota(system: &DemoSystem) {
    let send = |n: usize| {
        let response = system.send_request(n % 2, "POST", "/submit/x", &format!("lab-{n}"), "lab-key");
        response.map_or(0, |response| response.status())
    };
    let rejected = (0..BURST).map(send).filter(|status| *status == 429).count();
    println!(
        "tenant lab, {RATE} a second: {BURST} requests at once through both, {rejected} refused with 429"
    );
}

fn show_failure(system: &mut DemoSystem) -> Result<(), DemoError> {
    system.stop_control_node(0);
    println!("control gateway 0 is gone");
    let is_committed = |system: &DemoSystem| replace_configuration(system, 1, 2) == 200;
    system.wait_until("the others take a change", is_committed)?;
    println!("configuration 2: taken by the other two");
    system.start_control_node(0, FirstStart::No)?;
    let has_caught_up = |system: &DemoSystem| {
        let response = system.call_operator(0, "GET", "Configuration.Read", "");
        response.is_some_and(|response| response.body.contains("00000002"))
    };
    system.wait_until("it reads what it missed", has_caught_up)?;
    println!("control gateway 0 is back and reads configuration 2");
    Ok(())
}
