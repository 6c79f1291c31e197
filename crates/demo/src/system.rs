//! The complete system: control nodes and data nodes in two zones, the platform and its hosts.

use crate::http::{self, HttpMessage};
use crate::node_thread::NodeThread;
use crate::{DemoError, Platform};
use archlink_config::Settings;
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::oneshot;

/// Number of control nodes: the minimum that tolerates the loss of one.
const CONTROL_NODES: usize = 3;
/// Number of data nodes: the minimum that shares a quota.
const DATA_NODES: usize = 2;
/// Port of a control node's operator interface.
const CONTROL_PORT: u16 = 8200;
/// Port at which a data node reports its readiness.
const READY_PORT: u16 = 8201;
/// Port at which a data node accepts clients.
const FRONT_PORT: u16 = 8206;
/// Port of a control node's directory.
const DIRECTORY_PORT: u16 = 8209;
/// Number of polls before [`DemoSystem::wait_until`] gives up: 15 s in total, plus the duration of the polls themselves.
const MAX_POLLS: u32 = 1500;
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The kind of a node, which determines the program that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// A control node.
    Control,
    /// A data node.
    Data,
}

/// Whether a control node starts for the first time (setting `FirstStart`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstStart {
    /// A first start: with an empty data folder, the node becomes one of the first voters.
    Yes,
    /// A restart: the node uses only the state in its data folder.
    No,
}

/// The system on one loopback network. When dropped, it stops all nodes and removes its data folder.
pub struct DemoSystem {
    /// The platform and the hosts.
    pub platform: Platform,
    /// Data folder of the control nodes, with one subfolder per node, named by its index.
    pub data_folder: PathBuf,
    network: u8,
    control_nodes: Vec<Option<NodeThread>>,
    data_nodes: Vec<Option<NodeThread>>,
}

impl DemoSystem {
    /// Starts the system on the loopback network 127.77.`network`. Each system needs a separate network.
    ///
    /// # Errors
    ///
    /// [`DemoError::Listen`] or [`DemoError::Settings`]. A node that can't listen prints the error to standard error.
    pub fn start(network: u8) -> Result<DemoSystem, DemoError> {
        let folder_name = format!("archlink-demo-{}-{network}", std::process::id());
        let data_folder = std::env::temp_dir().join(folder_name);
        std::fs::remove_dir_all(&data_folder).ok();
        let mut system = DemoSystem {
            platform: Platform::start()?,
            data_folder,
            network,
            control_nodes: Vec::new(),
            data_nodes: Vec::new(),
        };
        for index in 0..CONTROL_NODES {
            system.control_nodes.push(None);
            system.start_control_node(index, FirstStart::Yes)?;
        }
        for index in 0..DATA_NODES {
            let data_node = system.start_data_node(index)?;
            system.data_nodes.push(Some(data_node));
        }
        Ok(system)
    }

    /// Starts a control node, or restarts a stopped one with its data folder unchanged.
    ///
    /// # Errors
    ///
    /// [`DemoError::Settings`].
    pub fn start_control_node(&mut self, index: usize, first_start: FirstStart) -> Result<(), DemoError> {
        let settings = self.settings(index, NodeKind::Control, first_start)?;
        let node = node_name(NodeKind::Control, index);
        let name = node.clone();
        let serve = move |stopped: oneshot::Receiver<()>| async move {
            let shutdown = async move { drop(stopped.await) };
            let served = archlink_control_plane::serve(settings, shutdown).await;
            served.map_err(|report| DemoError::Node { node, report: format!("{report:?}") })
        };
        self.control_nodes[index] = Some(NodeThread::start(name, serve));
        Ok(())
    }

    fn start_data_node(&self, index: usize) -> Result<NodeThread, DemoError> {
        let settings = self.settings(index, NodeKind::Data, FirstStart::No)?;
        let node = node_name(NodeKind::Data, index);
        let name = node.clone();
        let serve = move |stopped: oneshot::Receiver<()>| async move {
            let shutdown = async move { drop(stopped.await) };
            let served = archlink_data_plane::serve(settings, None, shutdown).await;
            served.map_err(|report| DemoError::Node { node, report: format!("{report:?}") })
        };
        Ok(NodeThread::start(name, serve))
    }

    /// Stops a control node and waits until it has ended.
    pub fn stop_control_node(&mut self, index: usize) {
        if let Some(mut node) = self.control_nodes[index].take() {
            node.stop();
        }
    }

    fn ip(&self, index: usize, kind: NodeKind) -> Ipv4Addr {
        let first_octet = match kind {
            NodeKind::Control => 10,
            NodeKind::Data => 20,
        };
        Ipv4Addr::new(127, 77, self.network, first_octet + index as u8)
    }

    /// Address of a control node's operator interface.
    pub fn operator_address(&self, index: usize) -> SocketAddr {
        (self.ip(index, NodeKind::Control), CONTROL_PORT).into()
    }

    /// Address at which a data node accepts clients.
    pub fn front_address(&self, index: usize) -> SocketAddr {
        (self.ip(index, NodeKind::Data), FRONT_PORT).into()
    }

    fn settings(&self, index: usize, kind: NodeKind, first_start: FirstStart) -> Result<Settings, DemoError> {
        let ip = self.ip(index, kind);
        let zone = if index == 1 { "east" } else { "west" };
        let seeds: Vec<String> =
            (0..CONTROL_NODES).map(|index| self.operator_address(index).to_string()).collect();
        let data_folder = (kind == NodeKind::Control).then(|| self.data_folder.join(index.to_string()));
        let text = json!({
            "NodeName": node_name(kind, index), "IpAddress": ip, "Zone": zone,
            "Region": "coast", "Zones": {"east": "coast", "west": "coast"}, "Listen": listen_addresses(ip, kind),
            "InternalPorts": [7600, 7615], "SeedNodes": seeds, "FirstStart": first_start == FirstStart::Yes,
            "Limits": {"MemoryMb": 256, "FileDescriptors": 1024}, "DataDir": data_folder,
            "TimingBounds": ["Revoke=5000ms,Grace=2s,RetryBudgetRatio=0.2,RetryBudgetSlack=50,BudgetWindow=10s",
                "QuotaWindow=5s,QuotaOverrun=0.1,QuotaSlack=20,ColdOverrun=1.5,ColdSlack=5,ttl_max=5s"],
            "Cloud": {"Address": self.platform.address.to_string(), "RatePerS": 50.0, "Lag": "100ms"},
        });
        Settings::read(&text.to_string()).map_err(|report| DemoError::Settings {
            node: node_name(kind, index),
            report: format!("{report:?}"),
        })
    }

    /// Polls a condition until it is met; each poll is a call on a socket. `condition` describes it in the error, as in "until
    /// the configuration is committed".
    ///
    /// # Errors
    ///
    /// [`DemoError::Timeout`] if the condition is not met within about 15 s.
    pub fn wait_until(
        &self,
        condition: &str,
        mut is_met: impl FnMut(&DemoSystem) -> bool,
    ) -> Result<(), DemoError> {
        for _ in 0..MAX_POLLS {
            if is_met(self) {
                return Ok(());
            }
            std::thread::park_timeout(POLL_INTERVAL);
        }
        Err(DemoError::Timeout { condition: condition.into() })
    }

    /// Sends an operator's call, such as `Configuration.Read`, to a control node.
    pub fn call_operator(&self, index: usize, method: &str, call: &str, body: &str) -> Option<HttpMessage> {
        let target = format!("/archlink/{call}");
        let headers = [("Content-Type", "application/json")];
        http::send(self.operator_address(index), method, &target, &headers, body)
    }

    /// Sends a client's request to a data node, with an attempt ID and the tenant's key.
    pub fn send_request(
        &self,
        index: usize,
        method: &str,
        path: &str,
        attempt_id: &str,
        key: &str,
    ) -> Option<HttpMessage> {
        let headers = [
            ("Host", "reports.example"),
            ("Attempt-Id", attempt_id),
            ("Time-Remaining", "3000"),
            ("Key", key),
        ];
        http::send(self.front_address(index), method, path, &headers, "")
    }
}

fn node_name(kind: NodeKind, index: usize) -> String {
    match kind {
        NodeKind::Control => format!("control-{index}"),
        NodeKind::Data => format!("data-{index}"),
    }
}

fn listen_addresses(ip: Ipv4Addr, kind: NodeKind) -> Value {
    match kind {
        NodeKind::Control => {
            json!({"Control": format!("{ip}:{CONTROL_PORT}"), "Directory": format!("{ip}:{DIRECTORY_PORT}")})
        }
        NodeKind::Data => {
            json!({"Front": format!("{ip}:{FRONT_PORT}"), "Ready": format!("{ip}:{READY_PORT}")})
        }
    }
}

impl Drop for DemoSystem {
    fn drop(&mut self) {
        let mut nodes: Vec<&mut NodeThread> =
            self.control_nodes.iter_mut().chain(&mut self.data_nodes).flatten().collect();
        // Tell all nodes to stop before waiting for any, so that they shut down concurrently.
        nodes.iter_mut().for_each(|node| node.begin_stop());
        nodes.iter_mut().for_each(|node| node.stop());
        std::fs::remove_dir_all(&self.data_folder).ok();
    }
}
