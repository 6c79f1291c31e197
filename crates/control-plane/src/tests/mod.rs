//! Tests of the control node's drivers and its HTTP interface, on a simulated cluster.

mod callers;
mod durability;
pub mod log_capture;
mod partitions;
mod responses;
mod simulated_cluster;
mod versions;

use crate::admin::server;
use archlink_messages::DataNode;
use simulated_cluster::{NODES, SimulatedDisk, running_node};
use std::io::{Read, Write};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpListener;

/// A data node that is ready.
fn data_node() -> DataNode {
    DataNode {
        node: 0x0a00_0101,
        zone: "west".into(),
        region: "coast".into(),
        client_address: SocketAddrV4::new([10, 0, 1, 1].into(), 8206),
        ready: true,
    }
}

/// Serves one caller for at most `seconds`. The caller sends `requests` at once and then disconnects if `disconnects` is set.
/// Returns how long it took, and the responses to a caller that stayed connected.
async fn serve_caller(requests: &[u8], disconnects: bool, seconds: u64) -> (f64, String) {
    let node = running_node(NODES[0], SimulatedDisk::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    caller.write_all(requests).unwrap();
    let staying = (!disconnects).then_some(caller);
    let (stream, _) = listener.accept().await.unwrap();
    let started_at = node.clock.now();
    let serving = server::serve(node.clone(), stream, Default::default(), Default::default());
    tokio::time::timeout(Duration::from_secs(seconds), serving).await.ok();
    let mut responses = String::new();
    staying.map(|mut caller| caller.read_to_string(&mut responses).unwrap());
    (node.clock.now() - started_at, responses)
}
