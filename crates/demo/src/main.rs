//! Demonstrates the complete system on loopback within a few seconds: three control nodes, two data nodes, stand-ins for the
//! platform and the hosts, a shared quota, and the failure of a control node.

use archlink_demo::{DemoError, DemoSystem, FirstStart, configuration};
use clap::Command;

/// Third octet of the demo's loopback network, 127.77.250; the tests use other networks.
const NETWORK: u8 = 250;
/// The tenant's quota, in requests per second.
const RATE: u32 = 20;
/// Number of requests that the tenant sends in a burst.
const BURST: usize = 300;

fn main() {
    Command::new("archlink-demo")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Demonstrates archlink on loopback, including the failure of a node")
        .get_matches();
    if let Err(error) = run_demo() {
        eprintln!("archlink-demo: {error}");
        std::process::exit(2);
    }
}

fn run_demo() -> Result<(), DemoError> {
    let mut system = DemoSystem::start(NETWORK)?;
    println!(
        "three control nodes on {}, .11, .12; two data nodes on {}, .21",
        system.operator_address(0),
        system.front_address(0)
    );
    commit_configuration(&system)?;
    send_requests(&system)?;
    exceed_quota(&system);
    survive_control_node_failure(&mut system)
}

/// Sends a configuration to a control node. Returns the status of the response; 0 if there is none.
fn replace_configuration(system: &DemoSystem, control_node: usize, version: u64) -> u16 {
    let body = configuration(version, RATE);
    let response = system.call_operator(control_node, "POST", "Configuration.Replace", &body);
    response.map_or(0, |response| response.status())
}

fn commit_configuration(system: &DemoSystem) -> Result<(), DemoError> {
    for (id, zone) in [("host-a", "west"), ("host-b", "east")] {
        system.platform.add_host(id, "reports", zone)?;
    }
    let is_committed = |system: &DemoSystem| replace_configuration(system, 0, 1) == 200;
    system.wait_until("the configuration is committed", is_committed)?;
    println!("configuration 1: committed, durable on a majority of the control nodes");
    Ok(())
}

fn send_requests(system: &DemoSystem) -> Result<(), DemoError> {
    for data_node in 0..2 {
        system.wait_until("the data node serves requests", |system| {
            let response = system.send_request(data_node, "GET", "/read/1", "first", "free-key");
            response.is_some_and(|response| response.status() == 200)
        })?;
    }
    for data_node in 0..2 {
        let attempt_id = format!("shown-{data_node}");
        let response = system
            .send_request(data_node, "GET", "/read/2", &attempt_id, "free-key")
            .ok_or(DemoError::NoResponse { data_node })?;
        println!("data node {data_node}: {} {:?}", response.start_line, response.body);
    }
    Ok(())
}

fn exceed_quota(system: &DemoSystem) {
    let send = |n: usize| {
        let response = system.send_request(n % 2, "POST", "/submit/x", &format!("lab-{n}"), "lab-key");
        response.map_or(0, |response| response.status())
    };
    let rejected = (0..BURST).map(send).filter(|status| *status == 429).count();
    println!(
        "tenant lab, quota of {RATE} requests per second: burst of {BURST} requests through both data nodes, \
         {rejected} rejected with 429"
    );
}

fn survive_control_node_failure(system: &mut DemoSystem) -> Result<(), DemoError> {
    system.stop_control_node(0);
    println!("control node 0 is stopped");
    let is_committed = |system: &DemoSystem| replace_configuration(system, 1, 2) == 200;
    system.wait_until("the remaining control nodes commit a change", is_committed)?;
    println!("configuration 2: committed by the remaining two control nodes");
    system.start_control_node(0, FirstStart::No)?;
    let has_caught_up = |system: &DemoSystem| {
        let response = system.call_operator(0, "GET", "Configuration.Read", "");
        response.is_some_and(|response| response.body.contains("00000002"))
    };
    system.wait_until("the restarted control node has caught up", has_caught_up)?;
    println!("control node 0 is restarted and has configuration 2");
    Ok(())
}
