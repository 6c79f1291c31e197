//! The gateway process, its configuration, and requests to it.

use super::counter::{CounterBehavior, start_counter};
use super::discovery::{Discovery, host_entry};
use super::host::Host;
use super::{TEST_TIMEOUT, read_message, unused_address, wait_until};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A running gateway; dropping it kills the process.
pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    pub discovery: Discovery,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// A configuration with an unused address to listen on and one gateway; the hosts are cached as ready.
pub fn gateway_configuration(counter: SocketAddr, discovery: SocketAddr, hosts: &[Host]) -> Value {
    let class = |name: &str, effect: &str, scope: &str| {
        json!({"name": name, "on-time-us": 300_000, "deadline-us": 3_000_000, "effect": effect,
            "key-scope": scope, "memory-span-us": 10_000_000, "late-share": 1})
    };
    let entries: Vec<Value> =
        hosts.iter().enumerate().map(|(n, host)| host_entry(n, host, "ready")).collect();
    json!({"name": "n0", "listen": unused_address().to_string(), "discovery": discovery.to_string(),
        "counter": counter.to_string(), "seed": "92094eb940cf389a", "peers": [],
        "known": {"version": 1, "full": true, "servers": entries},
        "settings": {
            "classes": [class("look", "pure", "all"), class("file", "token", "cell"), class("pay", "side_effect", "all")],
            "contracts": [{"name": "team", "rate": 1000.0, "burst": 1000.0, "max-out": 0}, {"name": "tiny", "rate": 0.1, "burst": 2.0}],
            "peers-total": 1, "zones": ["a"], "kinds": ["k"], "discovery": "automatic",
            "telemetry": {"fields": ["busy", "lat_ms"], "how": "piggyback"},
            "domain": {"may-count": true, "counter-timeout-us": 30_000, "most-units": 4},
            "limits": {"max-attempts": 3, "second-copies": true, "may-cancel": true, "probes": true,
                "retry-after": true, "max-retry-after-us": 500_000, "idle-close-us": 5_000_000},
            "obligations": {"drain-grace-us": 250_000, "cold-from": 0.2, "warm-up-us": 15_000_000,
                "tip-multiple": 4.0, "overload-for-us": 2_000_000}}})
}

/// Writes the configuration file of the gateway called `name` and returns its path.
pub fn write_configuration(name: &str, text: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("archlink-{}-{name}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// The command that runs the gateway; its environment names the configuration file and discovery's address.
pub fn gateway_command(name: &str, configuration: &Value) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_archlink-gateway"));
    command.env("LB_CONFIG", write_configuration(name, &configuration.to_string())).stderr(Stdio::piped());
    command.env("LB_DISCOVERY", configuration["discovery"].as_str().unwrap());
    command
}

pub fn start_gateway(name: &str, counter: CounterBehavior, hosts: &[Host]) -> Gateway {
    start_gateway_with_counter(name, start_counter(counter).0, hosts)
}

pub fn start_gateway_with_counter(name: &str, counter: SocketAddr, hosts: &[Host]) -> Gateway {
    let discovery = Discovery::default();
    let configuration = gateway_configuration(counter, discovery.start(), hosts);
    start_with_configuration(name, &configuration, discovery)
}

pub fn start_with_configuration(name: &str, configuration: &Value, discovery: Discovery) -> Gateway {
    let address = configuration["listen"].as_str().unwrap().parse().unwrap();
    let child = gateway_command(name, configuration).stderr(Stdio::null()).spawn().unwrap();
    let gateway = Gateway { child, address, discovery };
    wait_until("the gateway is ready", || {
        TcpStream::connect(address).is_ok_and(|stream| exchange(stream, b"GET /up HTTP/1.1\r\n\r\n").0 == 200)
    });
    gateway
}

/// Sends bytes and returns the status and body of the first answer; status 0 if there is none.
fn exchange(mut stream: TcpStream, bytes: &[u8]) -> (u16, Vec<u8>) {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(bytes).ok();
    let Some((first_line, _, body)) = read_message(&mut BufReader::new(stream)) else {
        return (0, Vec::new());
    };
    (first_line.split(' ').nth(1).unwrap().parse().unwrap(), body)
}

/// A new request identifier, for requests that are repeated until a condition holds.
pub fn unused_id() -> u32 {
    static NEXT: AtomicUsize = AtomicUsize::new(1_000_000);
    NEXT.fetch_add(1, Ordering::SeqCst) as u32
}

/// A request of the pure class.
pub fn lookup_request(id: u32) -> Vec<u8> {
    request("GET", "look", "team", id, 2.5, b"")
}

/// An encoded request; `deadline` is in seconds.
pub fn request(method: &str, class: &str, plan: &str, id: u32, deadline: f64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{method} /{class}/x?customer=0000000000000007&y=1 HTTP/1.1\r\nHost: api\r\nReq-Id: {id:016x}\r\nX-Tariff: {plan}\r\n\
         Req-Deadline: {deadline}\r\nIdempotency-Key: key-{id}\r\nX-Weight: units=1,spread=1,first=0\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

impl Gateway {
    /// Sends bytes on a new connection and returns the status and body of the first answer; status 0 if there is none.
    pub fn send(&self, bytes: &[u8]) -> (u16, Vec<u8>) {
        exchange(TcpStream::connect(self.address).unwrap(), bytes)
    }

    /// Returns the number of open file descriptors of the process.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Returns the resident memory of the process, in KiB.
    pub fn resident_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    pub fn signal(&self, signal: Signal) {
        rustix::process::kill_process(rustix::process::Pid::from_child(&self.child), signal).unwrap();
    }
}
