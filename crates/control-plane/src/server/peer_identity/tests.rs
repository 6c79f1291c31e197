//! Tests which messages a connection may send.

use super::*;
use archlink_messages::{ConsensusMessage, ControlNode, DataNode, VersionVector, VoterSet};
use std::net::{Ipv4Addr, SocketAddrV4};

const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);

fn heartbeat(node: NodeId, serial: u64) -> Message {
    let (zone, region) = (String::new(), String::new());
    Message::SessionHeartbeat {
        serial,
        data_node: DataNode { node, zone, region, client_address: ADDRESS, ready: true },
        cluster_clock: 0.0,
        leases: vec![],
    }
}

fn hello(node: NodeId) -> Message {
    let (zone, region) = (String::new(), String::new());
    Message::PeerHello {
        control_node: ControlNode { node, zone, region, operator_address: ADDRESS },
        voter_set: VoterSet::default(),
    }
}

fn adds(serial: u64) -> Message {
    Message::CounterAdds { serial, term: 1, cluster_clock: 0.0, adds: vec![] }
}

/// A connection is bound to a sender by its first message. A message of another sender, or of none, is rejected.
#[test]
fn connection_is_bound_to_its_first_sender() {
    use IdentityError::{ChangedIdentity, ReusedSerial, Unidentified};
    let update_request = || Message::UpdateRequest(VersionVector::default());
    let read_request = || Message::Consensus(1, ConsensusMessage::ReadRequest(1));
    for (messages, expected) in [
        (vec![hello(1), read_request(), hello(1)], Ok(())),
        (vec![hello(1), hello(2)], Err(ChangedIdentity)),
        (vec![hello(1), heartbeat(1, 1)], Err(ChangedIdentity)),
        (vec![hello(1), adds(1)], Err(ChangedIdentity)),
        (vec![heartbeat(1, 1), update_request(), heartbeat(1, 2)], Ok(())),
        (vec![heartbeat(1, 1), heartbeat(2, 2)], Err(ChangedIdentity)),
        (vec![heartbeat(1, 2), heartbeat(1, 2)], Err(ReusedSerial)),
        (vec![heartbeat(1, 2), heartbeat(1, 1)], Err(ReusedSerial)),
        (vec![adds(1), adds(2)], Ok(())),
        (vec![adds(1), adds(1)], Err(ReusedSerial)),
        (vec![adds(1), hello(1)], Err(ChangedIdentity)),
        (vec![update_request()], Err(Unidentified)),
        (vec![read_request()], Err(Unidentified)),
    ] {
        let mut connections = ConnectionTable::default();
        let mut peer = IncomingPeer::new(&mut connections);
        let verified = messages.iter().try_for_each(|message| peer.verify(&mut connections, message));
        assert_eq!(verified, expected, "{messages:?}");
    }
}

/// A data node's later connection takes over its session: messages that still arrive on the earlier one are rejected, and its
/// close does not end the session.
#[test]
fn superseded_connection_is_rejected_and_does_not_end_the_session() {
    let mut connections = ConnectionTable::default();
    let mut first = IncomingPeer::new(&mut connections);
    let mut second = IncomingPeer::new(&mut connections);
    assert_eq!(first.verify(&mut connections, &heartbeat(7, 1)), Ok(()));
    assert_eq!(second.verify(&mut connections, &heartbeat(7, 1)), Ok(()));
    let late = first.verify(&mut connections, &heartbeat(7, 2));
    assert_eq!(late, Err(IdentityError::Superseded));
    assert!(!first.close(&mut connections));
    assert_eq!(second.verify(&mut connections, &heartbeat(7, 2)), Ok(()));
    assert!(second.close(&mut connections) && connections.newest.is_empty());
}
