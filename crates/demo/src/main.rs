//! archlink-quay: shows the whole system on loopback in a few seconds: three control gateways, two data gateways, stand-ins
//! for the platform and the hosts. Owns what is printed.
#![forbid(unsafe_code)]

use archlink_demo::{DemoSystem, configuration};
use clap::Command;

const NET: u8 = 250;

fn main() {
    Command::new("archlink-quay")
        .version(env!("CARGO_PKG_VERSION"))
        .about("archlink on loopback, with a fault")
        .get_matches();
    if let Err(e) = show() {
        eprintln!("archlink-quay: {e}");
        std::process::exit(2);
    }
}

fn show() -> Result<(), String> {
    let mut harbour = DemoSystem::start(NET)?;
    println!(
        "three control gateways on {}, .11, .12; two data gateways on {}, .21",
        harbour.control(0),
        harbour.front(0)
    );
    for (id, zone) in [("host-a", "west"), ("host-b", "east")] {
        harbour.platform.add(id, "reports", zone).map_err(|e| e.to_string())?;
    }
    let put = |harbour: &DemoSystem, n: usize, version| {
        harbour
            .operator(n, "POST", "Configuration.Replace", &configuration(version, 20))
            .map_or(0, |m| m.status())
    };
    harbour.until("a majority of disks takes the configuration", |h| put(h, 0, 1) == 200);
    println!("configuration 1: taken by a majority of disks");
    let served = |h: &DemoSystem, n| {
        h.ask(n, "GET", "/read/1", "first", "free-key").is_some_and(|m| m.status() == 200)
    };
    for n in 0..2 {
        harbour.until("a data gateway serves and counts", |h| served(h, n));
    }
    for n in 0..2 {
        let answer =
            harbour.ask(n, "GET", "/read/2", &format!("shown-{n}"), "free-key").ok_or("no answer")?;
        println!("data gateway {n}: {} {:?}", answer.first, answer.body);
    }
    let asked = 300;
    let ask = |n: usize| {
        harbour.ask(n % 2, "POST", "/submit/x", &format!("lab-{n}"), "lab-key").map_or(0, |m| m.status())
    };
    let statuses: Vec<u16> = (0..asked).map(ask).collect();
    let refused = statuses.iter().filter(|status| **status == 429).count();
    println!("tenant lab, 20 a second: {asked} requests at once through both, {refused} refused with 429");
    harbour.stop_control_node(0);
    println!("control gateway 0 is gone");
    harbour.until("the others take a change", |h| put(h, 1, 2) == 200);
    println!("configuration 2: taken by the other two");
    harbour.start_control_node(0, false)?;
    let held =
        |h: &DemoSystem| h.operator(0, "GET", "Configuration.Read", "").map_or(String::new(), |m| m.body);
    harbour.until("it reads what it missed", |h| held(h).contains("00000002"));
    println!("control gateway 0 is back and reads configuration 2");
    Ok(())
}
