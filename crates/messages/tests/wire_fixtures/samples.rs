//! One or more values of every variant, as recorded in the fixture.

use archlink_messages::{
    AcceptedValue, AcceptorState, ConsensusMessage, ControlNode, CounterAdd, DataNode, Heartbeat,
    HostInstance, HostList, LeaseGrant, Message, ProposalNumber, REGISTERS, Register, SINGLETON_ROLES,
    SessionTable, SingletonRole, StateUpdate, VersionDigest, VersionVector, VoterSet,
};
use bytes::Bytes;
use std::net::SocketAddrV4;

fn address(text: &str) -> SocketAddrV4 {
    text.parse().unwrap()
}

/// Covers numbers of one, two and more bytes on the wire, so that a change of the encoding or of the order of fields is
/// noticed.
fn proposal() -> ProposalNumber {
    ProposalNumber { round: 0x0100_0000_0003, node: 0x0a01_0020, nonce: 300 }
}

fn later_proposal() -> ProposalNumber {
    ProposalNumber { round: 0x0100_0000_0004, node: 0x0a01_0027, nonce: 7 }
}

fn accepted_value() -> AcceptedValue {
    AcceptedValue {
        proposal: proposal(),
        revision: 513,
        value: Bytes::from_static(b"text"),
        recent_versions: vec![
            VersionDigest { version: 3, digest: [5; 16] },
            VersionDigest { version: 1000, digest: *b"0123456789abcdef" },
        ],
    }
}

pub fn voter_set() -> VoterSet {
    VoterSet { epoch: 0x1_0002_0003, voters: vec![0x0a01_0020, 0x0a01_0027], incoming: vec![0x0a01_002e] }
}

fn control_node() -> ControlNode {
    ControlNode {
        node: 0x0a01_0020,
        zone: "zone-1".into(),
        region: "region-2".into(),
        operator_address: address("10.1.0.32:7301"),
    }
}

fn other_control_node() -> ControlNode {
    ControlNode {
        node: 9,
        zone: String::new(),
        region: "r".into(),
        operator_address: address("10.1.0.39:80"),
    }
}

fn data_node(ready: bool) -> DataNode {
    DataNode {
        node: 0x0a01_0040,
        zone: "zone-3".into(),
        region: "region-4".into(),
        client_address: address("10.1.0.64:8080"),
        ready,
    }
}

pub fn hosts() -> HostList {
    let instance = HostInstance {
        id: "host-1".into(),
        service: "service-é".into(),
        address: address("10.2.3.4:9000"),
        zone: "zone-1".into(),
        capacity: 640,
        draining: true,
        warm_up_seconds: 2.5,
    };
    let other = HostInstance {
        id: "host-2".into(),
        draining: false,
        warm_up_seconds: 0.0,
        capacity: 1,
        ..instance.clone()
    };
    HostList { term: 12, version: 345, instances: vec![instance, other] }
}

fn sessions() -> SessionTable {
    SessionTable {
        source: 0x0a01_0020,
        incarnation: 1 << 40,
        version: 129,
        data_nodes: vec![data_node(true), data_node(false)],
    }
}

fn version_vector() -> VersionVector {
    VersionVector {
        configuration: 1,
        evacuations: 200,
        hosts: (3, 40_000),
        control_nodes: u64::MAX,
        data_nodes: 5,
        sessions: vec![(0x0a01_0020, 6, 7), (0x0a01_0027, 800, 9)],
    }
}

fn lease_grant(role: SingletonRole) -> LeaseGrant {
    LeaseGrant { role, holder: 0x0a01_0020, term: 77 }
}

fn lease_grants() -> Vec<LeaseGrant> {
    SINGLETON_ROLES.map(lease_grant).to_vec()
}

pub fn consensus_messages() -> Vec<ConsensusMessage> {
    let mut all = Vec::new();
    for register in REGISTERS {
        all.extend([
            ConsensusMessage::Prepare(register, proposal()),
            ConsensusMessage::Promise(register, proposal(), None),
            ConsensusMessage::Promise(register, proposal(), Some(accepted_value())),
            ConsensusMessage::Reject(register, proposal(), later_proposal()),
            ConsensusMessage::Accept(register, AcceptedValue::default()),
            ConsensusMessage::Accept(register, accepted_value()),
            ConsensusMessage::Accepted(register, proposal()),
            ConsensusMessage::FetchValue(register),
            ConsensusMessage::FetchedValue(register, AcceptedValue::default()),
            ConsensusMessage::FetchedValue(register, accepted_value()),
        ]);
    }
    let acceptors = vec![
        (
            Register::Configuration,
            AcceptorState { promised: later_proposal(), accepted: Some(accepted_value()) },
        ),
        (Register::Evacuations, AcceptorState { promised: proposal(), accepted: None }),
        (Register::VoterSet, AcceptorState::default()),
    ];
    all.extend([
        ConsensusMessage::ReadRequest(501),
        ConsensusMessage::ReadReply(501, Vec::new()),
        ConsensusMessage::ReadReply(
            502,
            vec![
                (Register::Configuration, proposal()),
                (Register::Evacuations, later_proposal()),
                (Register::VoterSet, ProposalNumber::default()),
            ],
        ),
        ConsensusMessage::StateTransferRequest(503),
        ConsensusMessage::StateTransferReply(503, Vec::new(), Vec::new()),
        ConsensusMessage::StateTransferReply(504, acceptors, lease_grants()),
    ]);
    for role in SINGLETON_ROLES {
        all.extend([
            ConsensusMessage::LeaseRequest(lease_grant(role), 601),
            ConsensusMessage::LeaseRenewal(lease_grant(role), 602),
            ConsensusMessage::GrantPersisted(lease_grant(role)),
            ConsensusMessage::LeaseGranted(lease_grant(role), 603),
            ConsensusMessage::LeaseDenied(lease_grant(role)),
            ConsensusMessage::LeaseReleased(lease_grant(role), 0x0a01_0027),
        ]);
    }
    all
}

pub fn updates() -> Vec<StateUpdate> {
    let mut all = Vec::new();
    for register in REGISTERS {
        all.extend([
            StateUpdate::Chosen(register, AcceptedValue::default()),
            StateUpdate::Chosen(register, accepted_value()),
        ]);
    }
    all.extend([
        StateUpdate::ConfigurationPatch { ordering_key: 514, base: 0, patch: Bytes::new() },
        StateUpdate::ConfigurationPatch {
            ordering_key: 514,
            base: 513,
            patch: Bytes::from_static(b"packed"),
        },
        StateUpdate::HostList(HostList::default()),
        StateUpdate::HostList(hosts()),
        StateUpdate::HostListPatch { revision: (12, 346), base: (0, 0), patch: Bytes::new() },
        StateUpdate::HostListPatch {
            revision: (12, 346),
            base: (11, 345),
            patch: Bytes::from_static(b"patch"),
        },
        StateUpdate::ControlNodes(Vec::new()),
        StateUpdate::ControlNodes(vec![control_node(), other_control_node()]),
        StateUpdate::DataNodes(Vec::new()),
        StateUpdate::DataNodes(vec![0x0a01_0040, 3]),
        StateUpdate::Sessions(SessionTable::default()),
        StateUpdate::Sessions(sessions()),
    ]);
    all
}

fn heartbeats() -> Vec<Heartbeat> {
    let empty = Heartbeat {
        serial: 0,
        cluster_clock: 0.25,
        confirmed_age: None,
        versions: VersionVector::default(),
        leases: Vec::new(),
        voter_set: VoterSet::default(),
        recovered: false,
        suspected: Vec::new(),
    };
    let filled = Heartbeat {
        serial: 4242,
        cluster_clock: 1234.5,
        confirmed_age: Some(0.75),
        versions: version_vector(),
        leases: lease_grants(),
        voter_set: voter_set(),
        recovered: true,
        suspected: vec![0x0a01_002e, 4],
    };
    vec![
        Heartbeat { confirmed_age: Some(0.0), ..empty.clone() },
        Heartbeat { confirmed_age: None, ..filled.clone() },
        empty,
        filled,
    ]
}

pub fn messages() -> Vec<Message> {
    let mut all: Vec<Message> = consensus_messages()
        .into_iter()
        .map(|consensus_message| Message::Consensus(0x1_0002_0003, consensus_message))
        .collect();
    all.extend(updates().into_iter().map(|update| Message::StateUpdates(vec![update])));
    all.extend(heartbeats().into_iter().map(Message::Heartbeat));
    let adds = vec![
        CounterAdd { key: 0xcbf2_9ce4_8422_2325, amount: 1.5, lifetime: 60.0 },
        CounterAdd { key: 2, amount: -0.5, lifetime: 0.25 },
    ];
    all.extend([
        Message::PeerHello { control_node: other_control_node(), voter_set: VoterSet::default() },
        Message::PeerHello { control_node: control_node(), voter_set: voter_set() },
        Message::VoterSet(VoterSet::default()),
        Message::VoterSet(voter_set()),
        Message::UpdateRequest(VersionVector::default()),
        Message::UpdateRequest(version_vector()),
        Message::StateUpdates(Vec::new()),
        Message::StateUpdates(vec![
            StateUpdate::DataNodes(vec![3]),
            StateUpdate::ControlNodes(vec![control_node()]),
            StateUpdate::HostList(hosts()),
        ]),
        Message::SessionHeartbeat {
            serial: 1,
            data_node: data_node(false),
            cluster_clock: 0.0,
            leases: Vec::new(),
        },
        Message::SessionHeartbeat {
            serial: 301,
            data_node: data_node(true),
            cluster_clock: 99.125,
            leases: lease_grants(),
        },
        Message::CounterAdds { serial: 2, term: 77, cluster_clock: 1.0, adds: Vec::new() },
        Message::CounterAdds { serial: 302, term: 78, cluster_clock: 98.5, adds },
        Message::CounterTotals { serial: 3, cluster_clock: 1.0, totals: None },
        Message::CounterTotals { serial: 4, cluster_clock: 2.0, totals: Some(Vec::new()) },
        Message::CounterTotals { serial: 303, cluster_clock: 97.75, totals: Some(vec![1.5, 0.0, -2.25]) },
    ]);
    all
}
