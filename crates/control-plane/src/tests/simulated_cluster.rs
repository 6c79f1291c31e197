//! A simulated cluster of four control nodes, three of them voters, on one thread and without sockets. Links are channels that
//! can be partitioned, disks are simulated, and time is the runtime's paused clock. Cores, drivers and calls are the real ones.

use crate::admin::calls::Call;
use crate::admin::server::respond;
use crate::server::node::Node;
use crate::server::write_queue::{BlockedMessages, StateWriter};
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

/// The nodes; the first [`VOTERS`] of them vote.
pub const NODES: [NodeId; 4] = [0x0a00_0001, 0x0a00_0002, 0x0a00_0003, 0x0a00_0004];
const VOTERS: usize = 3;
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Latency of a link in one direction.
const LATENCY: Duration = Duration::from_millis(10);

/// Runs a test on a runtime with paused time, where waiting takes no real time and is deterministic.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().start_paused(true).build_local(LocalOptions::default()).unwrap().block_on(test)
}

/// Lets simulated time pass.
pub async fn advance(seconds: f64) {
    sleep(Duration::from_secs_f64(seconds)).await;
}

#[derive(Default)]
struct DiskContents {
    state: RefCell<DurableState>,
    full: Cell<bool>,
}

/// A disk that accepts every write at once, or none.
#[derive(Clone, Default)]
pub struct SimulatedDisk(Rc<DiskContents>);

impl SimulatedDisk {
    /// Makes the queue full, or gives it room again.
    pub fn set_full(&self, full: bool) {
        self.0.full.set(full);
    }

    /// The durable state.
    pub fn state(&self) -> DurableState {
        self.0.state.borrow().clone()
    }
}

impl StateWriter for SimulatedDisk {
    fn enqueue(&self, change: StateChange, on_durable: Box<dyn FnOnce() + Send>) -> bool {
        if self.0.full.get() {
            return false;
        }
        let mut state = self.0.state.borrow_mut();
        if let Some(voter_set) = change.voter_set {
            state.voter_set = voter_set;
        }
        state.acceptors.extend(change.acceptors);
        state.grants.extend(change.grants.into_iter().map(|grant| (grant.role, grant)));
        on_durable();
        true
    }
}

fn settings(node: NodeId) -> Settings {
    let ip = Ipv4Addr::from(node);
    let seeds: Vec<String> =
        NODES[..VOTERS].iter().map(|&node| format!("{}:8200", Ipv4Addr::from(node))).collect();
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

/// A node without links whose process is stalled, so that it never ticks.
pub fn stalled_node(id: NodeId, disk: SimulatedDisk) -> Rc<Node> {
    let (settings, clock) = (settings(id), Clock::start());
    let identity = ControlNode {
        node: id,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        operator_address: SocketAddrV4::new(id.into(), 8200),
    };
    let initial = InitialState {
        identity,
        voter_set: VoterSet::initial(&NODES[..VOTERS]),
        required_voters: VOTERS,
        catch_up: 1000.0,
        acceptors: Some(Default::default()),
        grants: Vec::new(),
        seed: u64::from(id),
    };
    let (durable, mut durable_messages) = mpsc::unbounded_channel::<BlockedMessages>();
    let state = ControlNodeState::new(clock.now(), initial);
    let node = Node::new(settings, clock, state, Some(Box::new(disk)), durable);
    let writer = node.clone();
    spawn_local(async move {
        while let Some(messages) = durable_messages.recv().await {
            writer.on_durable(messages);
        }
    });
    node
}

/// A node without links that ticks.
pub fn running_node(id: NodeId, disk: SimulatedDisk) -> Rc<Node> {
    let node = stalled_node(id, disk);
    let ticking = node.clone();
    spawn_local(async move {
        loop {
            sleep(TICK_INTERVAL).await;
            ticking.tick();
        }
    });
    node
}

/// All nodes of a cluster, with their disks.
pub struct SimulatedCluster {
    /// The nodes, in the order of [`NODES`].
    pub nodes: Vec<Rc<Node>>,
    /// Their disks.
    pub disks: Vec<SimulatedDisk>,
    partitioned: Rc<RefCell<BTreeSet<NodeId>>>,
}

impl SimulatedCluster {
    /// A cluster in which all nodes reach each other.
    pub fn new() -> SimulatedCluster {
        let disks: Vec<SimulatedDisk> = NODES.iter().map(|_| SimulatedDisk::default()).collect();
        let nodes: Vec<Rc<Node>> =
            NODES.iter().zip(&disks).map(|(&id, disk)| running_node(id, disk.clone())).collect();
        let partitioned: Rc<RefCell<BTreeSet<NodeId>>> = Rc::default();
        for from in &nodes {
            for to in nodes.iter().filter(|to| to.id != from.id) {
                connect(from.clone(), to.clone(), partitioned.clone());
            }
        }
        SimulatedCluster { nodes, disks, partitioned }
    }

    /// Partitions a node from all others, or heals the partition.
    pub fn partition(&self, index: usize, partitioned: bool) {
        self.partitioned.borrow_mut().retain(|&node| node != NODES[index]);
        self.partitioned.borrow_mut().extend(partitioned.then_some(NODES[index]));
    }

    /// Sends a call to a node. Returns the response, and its body if that is JSON.
    pub async fn call(
        &self,
        index: usize,
        call: Call,
        path_parameters: &str,
        body: &str,
    ) -> (Response, Value) {
        send_call(&self.nodes[index], call, path_parameters, body).await
    }
}

/// Connects two nodes by a link in one direction.
fn connect(from: Rc<Node>, to: Rc<Node>, partitioned: Rc<RefCell<BTreeSet<NodeId>>>) {
    let (sender, mut messages) = mpsc::channel::<Message>(256);
    from.links.borrow_mut().insert(to.id, sender.clone());
    sender.try_send(from.with_state(|state, _| state.peer_hello())).unwrap();
    spawn_local(async move {
        while let Some(message) = messages.recv().await {
            sleep(LATENCY).await;
            if !partitioned.borrow().contains(&from.id) && !partitioned.borrow().contains(&to.id) {
                to.receive(from.id, message);
            }
        }
    });
}

/// Sends a call to one node. Returns the response, and its body if that is JSON.
pub async fn send_call(node: &Node, call: Call, path_parameters: &str, body: &str) -> (Response, Value) {
    let request = Request {
        method: call.method().to_string(),
        target: format!("{}{path_parameters}", call.path()),
        host: HeaderValue::Absent,
        fields: Vec::new(),
        forwarded: Vec::new(),
        body: body.as_bytes().to_vec().into(),
        close: false,
        reserved: None,
    };
    let response = respond(node, call, &request).await;
    let body = serde_json::from_slice(&response.body).unwrap_or_default();
    (response, body)
}

/// A configuration whose text differs with `rate`.
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
