//! The whole of archlink in one process, on loopback addresses: control and data gateways on threads of their own, and
//! stand-ins, written from the public protocol alone, for the platform and for hosts. Owns the stand-ins. Must never reach
//! into a gateway: what is seen is seen on sockets.
#![forbid(unsafe_code)]

use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::runtime::LocalOptions;
use tokio::sync::oneshot;

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A message's first line, its headers in small letters, and its body.
pub struct Message {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut line = || {
            let mut text = String::new();
            (from.read_line(&mut text).ok()? > 0).then(|| text.trim_end().to_string())
        };
        let first = line()?;
        let mut headers = HashMap::new();
        while let Some((name, value)) = line().as_deref().and_then(|text| text.split_once(':')) {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        Some(Message { first, headers, body: String::from_utf8(body).ok()? })
    }
}

/// Sends raw bytes and reads one answer; none where the connection ends without one.
pub fn exchange(to: SocketAddr, bytes: &[u8]) -> Option<Message> {
    const WITHIN: Duration = Duration::from_secs(5);
    let mut stream = TcpStream::connect_timeout(&to, WITHIN).ok()?;
    stream.set_read_timeout(Some(WITHIN)).ok()?;
    stream.write_all(bytes).ok()?;
    Message::read(&mut BufReader::new(stream))
}

pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Message> {
    let lines: String = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let text = format!("{method} {target} HTTP/1.1\r\nConnection: close\r\n{lines}{length}\r\n{body}");
    exchange(to, text.as_bytes())
}

/// What a stand-in host does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostBehavior {
    Well,
    /// Runs it and closes the connection.
    Loses,
    /// Turns it away and says so.
    Full,
}

/// A stand-in host: what it ran, in order, and what it does next.
pub struct Host {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub draining: bool,
    habit: Arc<Mutex<HostBehavior>>,
    ran: Arc<Mutex<Vec<Message>>>,
}

impl Host {
    fn start(id: &str, service: &str, zone: &str) -> std::io::Result<Host> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (habit, ran) = (Arc::new(Mutex::new(HostBehavior::Well)), Arc::new(Mutex::new(Vec::new())));
        let (own, habits, runs) = (id.to_string(), habit.clone(), ran.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, habits, runs) = (own.clone(), habits.clone(), runs.clone());
                thread::spawn(move || host_connection(stream, &own, &habits, &runs));
            }
        });
        let (id, service, zone) = (id.into(), service.into(), zone.into());
        Ok(Host { id, service, zone, address, draining: false, habit, ran })
    }

    pub fn set(&self, habit: HostBehavior) {
        *locked(&self.habit) = habit;
    }

    /// The ids of the requests that it ran.
    pub fn ran(&self) -> Vec<String> {
        locked(&self.ran).iter().map(|message| message.header("attempt-id").to_string()).collect()
    }

    /// The last request that it ran, first line and headers.
    pub fn last(&self, header: &str) -> Option<(String, String)> {
        locked(&self.ran).last().map(|message| (message.first.clone(), message.header(header).to_string()))
    }
}

fn host_connection(
    stream: TcpStream,
    own: &str,
    habit: &Mutex<HostBehavior>,
    ran: &Mutex<Vec<Message>>,
) -> Option<()> {
    let mut to = stream.try_clone().ok()?;
    let mut from = BufReader::new(stream);
    while let Some(message) = Message::read(&mut from) {
        let id = message.header("attempt-id").to_string();
        let head = |status: &str, more: &str, body: &str| {
            format!(
                "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\n{more}Content-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let habit = *locked(habit);
        let answer = match habit {
            _ if message.header("target-instance") != own => head("421 Misdirected Request", "", ""),
            HostBehavior::Full => head("503 Service Unavailable", "Not-Executed: 1\r\n", ""),
            _ => head("200 OK", "Server-Seal: seal\r\nServer-Load: 1,0,4\r\n", &format!("by {own}")),
        };
        if message.header("target-instance") == own && habit != HostBehavior::Full {
            locked(ran).push(message);
        }
        if habit == HostBehavior::Loses {
            return None;
        }
        to.write_all(answer.as_bytes()).ok()?;
    }
    Some(())
}

/// The stand-in platform: the list of hosts.
pub struct Platform {
    pub address: SocketAddr,
    hosts: Arc<Mutex<Vec<Host>>>,
}

impl Platform {
    fn start() -> std::io::Result<Platform> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let hosts: Arc<Mutex<Vec<Host>>> = Arc::default();
        let listed = hosts.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let listed = listed.clone();
                thread::spawn(move || -> Option<()> {
                    let mut to = stream.try_clone().ok()?;
                    let mut from = BufReader::new(stream);
                    while Message::read(&mut from).is_some() {
                        let body = list(&locked(&listed)).to_string();
                        write!(to, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
                    }
                    Some(())
                });
            }
        });
        Ok(Platform { address, hosts })
    }

    pub fn hosts(&self) -> MutexGuard<'_, Vec<Host>> {
        locked(&self.hosts)
    }

    pub fn add(&self, id: &str, service: &str, zone: &str) -> std::io::Result<()> {
        let host = Host::start(id, service, zone)?;
        self.hosts().push(host);
        Ok(())
    }
}

fn list(hosts: &[Host]) -> Value {
    let line = |host: &Host| {
        let state = if host.draining { "draining" } else { "available" };
        json!({"InstanceId": host.id, "Service": host.service, "Address": host.address, "Zone": host.zone,
            "ConfigVersion": "v1", "Capacity": 4, "OperatingState": state, "ColdLeft": "0ms"})
    };
    json!({"Instances": hosts.iter().map(line).collect::<Vec<_>>(), "NextToken": null})
}

/// A gateway on a thread of its own.
struct Running {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    fn start<F: Future<Output = Result<(), String>>>(
        make: impl FnOnce(oneshot::Receiver<()>) -> F + Send + 'static,
    ) -> Running {
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            let mut builder = tokio::runtime::Builder::new_current_thread();
            let runtime = builder.enable_all().build_local(LocalOptions::default());
            let ended =
                runtime.map_err(|e| e.to_string()).and_then(|runtime| runtime.block_on(make(stopped)));
            if let Err(e) = ended {
                eprintln!("a gateway ended: {e}");
            }
        });
        Running { stop: Some(stop), thread: Some(thread) }
    }

    fn stop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
    }
}

/// The system: three control gateways and two data gateways in two zones, the platform and its hosts.
pub struct DemoSystem {
    pub platform: Platform,
    pub folder: PathBuf,
    net: u8,
    control_nodes: Vec<Option<Running>>,
    data_nodes: Vec<Option<Running>>,
    lines: (Sender<String>, Receiver<String>),
}

const CONTROL: u16 = 8200;
const FRONT: u16 = 8206;

impl DemoSystem {
    /// On the loopback network 127.77.`net`: each test has its own.
    pub fn start(net: u8) -> Result<DemoSystem, String> {
        let folder = std::env::temp_dir().join(format!("archlink-quay-{}-{net}", std::process::id()));
        std::fs::remove_dir_all(&folder).ok();
        let platform = Platform::start().map_err(|e| e.to_string())?;
        let mut harbour = DemoSystem {
            platform,
            folder,
            net,
            control_nodes: Vec::new(),
            data_nodes: Vec::new(),
            lines: channel(),
        };
        for n in 0..3 {
            harbour.control_nodes.push(None);
            harbour.start_control_node(n, true)?;
        }
        for n in 0..2 {
            let settings = harbour.settings(n, false, false)?;
            let serve = move |stopped: oneshot::Receiver<()>| async move {
                let until = async move { drop(stopped.await) };
                archlink_data_plane::serve(settings, None, until).await.map_err(|e| format!("{e:?}"))
            };
            harbour.data_nodes.push(Some(Running::start(serve)));
        }
        Ok(harbour)
    }

    fn ip(&self, n: usize, control: bool) -> String {
        format!("127.77.{}.{}", self.net, n + if control { 10 } else { 20 })
    }

    /// Also after it was stopped: its folder is as it was left.
    pub fn start_control_node(&mut self, n: usize, first: bool) -> Result<(), String> {
        let settings = self.settings(n, true, first)?;
        let serve = move |stopped: oneshot::Receiver<()>| async move {
            let until = async move { drop(stopped.await) };
            archlink_control_plane::serve(settings, until).await.map_err(|e| format!("{e:?}"))
        };
        self.control_nodes[n] = Some(Running::start(serve));
        Ok(())
    }

    pub fn stop_control_node(&mut self, n: usize) {
        if let Some(mut running) = self.control_nodes[n].take() {
            running.stop();
        }
    }

    pub fn control(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.ip(n, true).parse().unwrap_or([127, 0, 0, 1].into()), CONTROL)
    }

    pub fn front(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.ip(n, false).parse().unwrap_or([127, 0, 0, 1].into()), FRONT)
    }

    fn settings(&self, n: usize, control: bool, first: bool) -> Result<archlink_config::Settings, String> {
        let ip = self.ip(n, control);
        let zone = if n == 1 { "east" } else { "west" };
        let seeds: Vec<String> = (0..3).map(|n| self.control(n).to_string()).collect();
        let listen = match control {
            true => json!({"Control": format!("{ip}:{CONTROL}"), "Directory": format!("{ip}:8209")}),
            false => json!({"Front": format!("{ip}:{FRONT}"), "Ready": format!("{ip}:8201")}),
        };
        let data = control.then(|| self.folder.join(n.to_string()));
        let text = json!({
            "NodeName": format!("{}-{n}", if control { "control" } else { "data" }), "IpAddress": ip, "Zone": zone,
            "Region": "coast", "Zones": {"east": "coast", "west": "coast"}, "Listen": listen,
            "InternalPorts": [7600, 7615], "SeedNodes": seeds, "FirstStart": first,
            "Limits": {"MemoryMb": 256, "FileDescriptors": 1024}, "DataDir": data,
            "TimingBounds": ["Revoke=5000ms,Grace=2s,RetryBudgetRatio=0.2,RetryBudgetSlack=50,BudgetWindow=10s",
                "QuotaWindow=5s,QuotaOverrun=0.1,QuotaSlack=20,ColdOverrun=1.5,ColdSlack=5,ttl_max=5s"],
            "Cloud": {"Address": self.platform.address.to_string(), "RatePerS": 50.0, "Lag": "100ms"},
        });
        archlink_config::Settings::read(&text.to_string()).map_err(|e| format!("{e:?}"))
    }

    /// Waits until `what` holds, for a while; each look is a call on a socket.
    pub fn until(&self, why: &str, mut what: impl FnMut(&DemoSystem) -> bool) {
        const LOOKS: u32 = 1500;
        for _ in 0..LOOKS {
            if what(self) {
                return;
            }
            // Nothing is sent here: it is a wait that a stop of the process ends.
            self.lines.1.recv_timeout(Duration::from_millis(10)).ok();
        }
        panic!("not in time: {why}");
    }

    pub fn operator(&self, n: usize, method: &str, call_: &str, body: &str) -> Option<Message> {
        call(
            self.control(n),
            method,
            &format!("/archlink/{call_}"),
            &[("Content-Type", "application/json")],
            body,
        )
    }

    /// A client's request at a data gateway.
    pub fn ask(&self, n: usize, method: &str, path: &str, id: &str, key: &str) -> Option<Message> {
        let headers =
            [("Host", "reports.example"), ("Attempt-Id", id), ("Time-Remaining", "3000"), ("Key", key)];
        call(self.front(n), method, path, &headers, "")
    }
}

impl Drop for DemoSystem {
    fn drop(&mut self) {
        for running in self.control_nodes.iter_mut().chain(&mut self.data_nodes).flatten() {
            running.stop.take();
        }
        for running in self.control_nodes.iter_mut().chain(&mut self.data_nodes).flatten() {
            running.stop();
        }
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// A configuration with a route to read and one to submit; the tenant `lab` may send `rate` a second and as many at once.
pub fn configuration(version: u64, rate: u32) -> String {
    json!({
        "ConfigVersion": format!("{version:08x}"),
        "RouteTable": {
            "ColumnNames": ["Designation", "Origin", "PathPrefix", "Category", "Timeout", "Target", "Precedence",
                "MaxAttempts", "Service"],
            "Records": [["read", "reports.example", "/read/", "idempotent", "3s", "500ms", 1, 2, "reports"],
                ["submit", "reports.example", "/submit/", "non_idempotent", "3s", "500ms", 0, 2, "reports"]],
        },
        "ServiceTable": {
            "ColumnNames": ["Designation", "HealthPath", "MaxConnections"],
            "Records": [["reports", "/health", 100]],
        },
        "Subscribers": {
            "ColumnNames": ["Designation", "Credentials", "RatePerS", "BurstSize"],
            "Records": [["lab", ["lab-key"], rate, rate], ["free", ["free-key"], 0, 0]],
        },
    })
    .to_string()
}
