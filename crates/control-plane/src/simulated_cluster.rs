//! Four control gateways, three of which vote, on one thread, without sockets: their links are channels that can be cut, their disks are made
//! up, their time is the test's own. What the cores, ports and calls are is the program's.

use crate::admin_server::respond;
use crate::calls::Call;
use crate::node::{Kept, Node};
use crate::write_queue::Disk;
use archlink_config::Settings;
use archlink_control_node::node::{ControlNodeState, InitialState};
use archlink_http::codec::{HeaderValue, Request, Response};
use archlink_messages::{ControlNode, Message, NodeId, VoterSet};
use archlink_runtime::Clock;
use archlink_storage::{DurableState, StateChange};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime::LocalOptions;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

pub const NODES: [NodeId; 4] = [0x0a00_0001, 0x0a00_0002, 0x0a00_0003, 0x0a00_0004];
const SEATS: usize = 3;
const TICK: Duration = Duration::from_millis(50);
/// One way between two gateways.
const WAY: Duration = Duration::from_millis(10);

/// On a thread of its own time: waiting costs nothing, and goes the same way each time.
pub fn play<T>(work: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().start_paused(true).build_local(LocalOptions::default()).unwrap().block_on(work)
}

pub async fn pass(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds)).await;
}

/// A disk that takes everything at once, or nothing.
#[derive(Clone, Default)]
pub struct Shelf(Rc<(RefCell<DurableState>, Cell<bool>)>);

impl Shelf {
    pub fn refuse(&self, refuses: bool) {
        self.0.1.set(refuses);
    }

    pub fn state(&self) -> DurableState {
        self.0.0.borrow().clone()
    }
}

impl Disk for Shelf {
    fn enter(&self, entered: StateChange, kept: Box<dyn FnOnce() + Send>) -> bool {
        if self.0.1.get() {
            return false;
        }
        let mut state = self.0.0.borrow_mut();
        if let Some(voter_set) = entered.voter_set {
            state.voter_set = voter_set;
        }
        state.acceptors.extend(entered.acceptors);
        state.grants.extend(entered.grants.into_iter().map(|grant| (grant.role, grant)));
        kept();
        true
    }
}

pub fn settings(node: NodeId) -> Settings {
    let ip = Ipv4Addr::from(node);
    let seeds: Vec<String> =
        NODES[..SEATS].iter().map(|&node| format!("{}:8200", Ipv4Addr::from(node))).collect();
    let text = json!({
        "NodeName": format!("control-{ip}"), "IpAddress": ip, "Zone": "west", "Region": "coast",
        "Zones": {"east": "coast", "west": "coast"},
        "Listen": {"Control": format!("{ip}:8200"), "Directory": format!("{ip}:8209")},
        "InternalPorts": [7600, 7615], "SeedNodes": seeds, "FirstStart": true,
        "Limits": {"MemoryMb": 256, "FileDescriptors": 1024},
        "TimingBounds": ["Revoke=5000ms,Grace=2s,RetryBudgetRatio=0.2,RetryBudgetSlack=50,BudgetWindow=10s",
            "QuotaWindow=5s,QuotaOverrun=0.1,QuotaSlack=20,ColdOverrun=1.5,ColdSlack=5,ttl_max=5s"],
    });
    Settings::read(&text.to_string()).unwrap()
}

/// One gateway, with a link to nobody yet, whose process stands still.
pub fn still(node: NodeId, shelf: Shelf) -> Rc<Node> {
    let (settings, clock) = (settings(node), Clock::start());
    let control_node = ControlNode {
        node,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        operator_address: SocketAddrV4::new(node.into(), 8200),
    };
    let voter_set = VoterSet::initial(&NODES[..SEATS]);
    let slots = Some(Default::default());
    let start = InitialState {
        identity: control_node,
        voter_set,
        required_voters: SEATS,
        catch_up: 1000.0,
        acceptors: slots,
        grants: Vec::new(),
        seed: u64::from(node),
    };
    let (kept, mut words) = mpsc::unbounded_channel::<Kept>();
    let control = ControlNodeState::new(clock.now(), start);
    let port = Node::new(settings, clock, control, Some(Box::new(shelf)), kept);
    let on_disk = port.clone();
    spawn_local(async move {
        while let Some(then) = words.recv().await {
            on_disk.kept(then);
        }
    });
    port
}

/// The same one that runs.
pub fn port(node: NodeId, shelf: Shelf) -> Rc<Node> {
    let port = still(node, shelf);
    let ticked = port.clone();
    spawn_local(async move {
        loop {
            sleep(TICK).await;
            ticked.tick();
        }
    });
    port
}

pub struct Sound {
    pub ports: Vec<Rc<Node>>,
    pub shelves: Vec<Shelf>,
    cut: Rc<RefCell<BTreeSet<NodeId>>>,
}

impl Sound {
    /// All of them, hearing each other.
    pub fn new() -> Sound {
        let shelves: Vec<Shelf> = NODES.iter().map(|_| Shelf::default()).collect();
        let ports: Vec<Rc<Node>> =
            NODES.iter().zip(&shelves).map(|(&node, s)| port(node, s.clone())).collect();
        let cut: Rc<RefCell<BTreeSet<NodeId>>> = Rc::default();
        for from in &ports {
            for to in ports.iter().filter(|to| to.me != from.me) {
                let (out, mut words) = mpsc::channel::<Message>(256);
                let (from, to, cut) = (from.clone(), to.clone(), cut.clone());
                from.links.borrow_mut().insert(to.me, out.clone());
                out.try_send(from.look(|control, _| control.peer_hello())).unwrap();
                spawn_local(async move {
                    while let Some(word) = words.recv().await {
                        sleep(WAY).await;
                        if !cut.borrow().contains(&from.me) && !cut.borrow().contains(&to.me) {
                            to.hear(from.me, word);
                        }
                    }
                });
            }
        }
        Sound { ports, shelves, cut }
    }

    /// Nothing goes to that gateway and from it any more, or does again.
    pub fn cut(&self, n: usize, cut: bool) {
        self.cut.borrow_mut().retain(|&node| node != NODES[n]);
        self.cut.borrow_mut().extend(cut.then_some(NODES[n]));
    }

    pub async fn call(&self, n: usize, call: Call, names: &str, body: &str) -> (Response, Value) {
        ask(&self.ports[n], call, names, body).await
    }
}

pub async fn ask(port: &Node, call: Call, names: &str, body: &str) -> (Response, Value) {
    let request = Request {
        method: call.method().to_string(),
        target: format!("{}{names}", call.path()),
        host: HeaderValue::Absent,
        fields: Vec::new(),
        forwarded: Vec::new(),
        body: body.as_bytes().to_vec().into(),
        close: false,
        held: None,
    };
    let answer = respond(port, call, &request).await;
    let told = serde_json::from_slice(&answer.body).unwrap_or_default();
    (answer, told)
}

/// A configuration whose texts differ with `rate`.
pub fn configuration(version: u64, rate: u32) -> String {
    json!({
        "ConfigVersion": format!("{version:08x}"),
        "RouteTable": {
            "ColumnNames": ["Designation", "Origin", "PathPrefix", "Category", "Timeout", "Target", "Precedence",
                "MaxAttempts", "Service"],
            "Records": [["read", "reports.example", "/read/", "idempotent", "3s", "500ms", 1, 2, "reports"]],
        },
        "ServiceTable": {"ColumnNames": ["Designation", "HealthPath", "MaxConnections"],
            "Records": [["reports", "/health", 100]]},
        "Subscribers": {"ColumnNames": ["Designation", "Credentials", "RatePerS", "BurstSize"],
            "Records": [["lab", ["lab-key"], rate, rate]]},
    })
    .to_string()
}
