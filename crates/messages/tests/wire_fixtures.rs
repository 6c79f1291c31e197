//! The bytes between the system's own processes, and the values that they store or patch against, as recorded in
//! `fixtures/messages.txt`: one line a message, its name and its bytes in hexadecimal, `-` for none. Renaming types, variants or fields
//! must leave these bytes as they are: processes of two versions run side by side. Must never record the fixture by
//! itself: where a line is missing or differs, the test names it and gives the bytes of the code as it stands.

use archlink_messages::{
    AcceptedValue, AcceptorState, ConsensusMessage, ControlNode, CounterAdd, DataNode, Heartbeat,
    HostInstance, HostList, LeaseGrant, Message, MessageCodec, ProposalNumber, REGISTERS, Register,
    SINGLETON_ROLES, SessionTable, SingletonRole, StateUpdate, VersionDigest, VersionVector, VoterSet,
    decode_evacuated_zones, encode_evacuated_zones, patch,
};
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use tokio_util::codec::{Decoder, Encoder};

const RECORDED: &str = include_str!("../fixtures/messages.txt");

/// Values that are stored or patched against, and are no frames; each has a test of its own.
const VALUES: [&str; 9] = [
    "value.hosts.empty",
    "value.hosts.filled",
    "value.muster.default",
    "value.muster.settled",
    "value.muster.changing",
    "value.evacuations.none",
    "value.evacuations.two",
    "value.packed.alone",
    "value.packed.against_base",
];

const BASE: &[u8] = b"route a to service b in zone c\nroute d to service e in zone f\n";
const TEXT: &[u8] = b"route a to service b in zone c\nroute d to service g in zone f\n";

fn recorded() -> BTreeMap<&'static str, Vec<u8>> {
    const NO_BYTES: &str = "-";
    let mut all = BTreeMap::new();
    for line in RECORDED.lines() {
        let (name, text) = line.split_once(' ').unwrap_or_else(|| panic!("no name and bytes: {line:?}"));
        let bytes = if text == NO_BYTES { Vec::new() } else { from_hex(text) };
        assert!(all.insert(name, bytes).is_none(), "{name} is recorded twice");
    }
    all
}

fn from_hex(text: &str) -> Vec<u8> {
    assert!(!text.is_empty() && text.len().is_multiple_of(2) && text.is_ascii(), "not hexadecimal: {text:?}");
    (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap()).collect()
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn encode(word: &Message) -> Vec<u8> {
    let mut buffer = BytesMut::new();
    MessageCodec::default().encode(word, &mut buffer).unwrap();
    buffer.to_vec()
}

/// Exactly one word, with nothing left over.
fn decode(name: &str, frame: &[u8]) -> Message {
    let mut buffer = BytesMut::from(frame);
    let word =
        MessageCodec::default().decode(&mut buffer).unwrap_or_else(|e| panic!("{name} does not decode: {e}"));
    assert!(buffer.is_empty(), "{name} has bytes left over");
    word.unwrap_or_else(|| panic!("{name} is not a whole frame"))
}

fn assert_recorded(name: &str, bytes: &[u8]) {
    let expected = recorded().remove(name).map(|bytes| to_hex(&bytes));
    assert_eq!(expected.as_deref(), Some(to_hex(bytes).as_str()), "{name} is not encoded as recorded");
}

fn option_name(present: bool) -> &'static str {
    if present { "some" } else { "none" }
}

fn list_name(empty: bool) -> &'static str {
    if empty { "empty" } else { "filled" }
}

fn register_name(register: Register) -> &'static str {
    match register {
        Register::Configuration => "chart",
        Register::Evacuations => "evacuations",
        Register::VoterSet => "muster",
    }
}

fn duty_name(role: SingletonRole) -> &'static str {
    match role {
        SingletonRole::HostDiscovery => "lookout",
        SingletonRole::QuotaCounter => "tally",
    }
}

/// A new variant does not compile without an arm here, and fails the test of numbers without a row in `polls`.
fn poll_name(poll: &ConsensusMessage) -> String {
    match poll {
        ConsensusMessage::Prepare(register, _) => format!("prepare.{}", register_name(*register)),
        ConsensusMessage::Promise(register, _, held) => {
            format!("promise.{}.{}", register_name(*register), option_name(held.is_some()))
        }
        ConsensusMessage::Reject(register, ..) => format!("refuse.{}", register_name(*register)),
        ConsensusMessage::Accept(register, held) => {
            format!("accept.{}.{}", register_name(*register), list_name(held.recent_versions.is_empty()))
        }
        ConsensusMessage::Accepted(register, _) => format!("accepted.{}", register_name(*register)),
        ConsensusMessage::ReadRequest(_) => "ask".into(),
        ConsensusMessage::ReadReply(_, held) => format!("answer.{}", list_name(held.is_empty())),
        ConsensusMessage::FetchValue(register) => format!("fetch.{}", register_name(*register)),
        ConsensusMessage::FetchedValue(register, held) => {
            format!("fetched.{}.{}", register_name(*register), list_name(held.recent_versions.is_empty()))
        }
        ConsensusMessage::StateTransferRequest(_) => "recall".into(),
        ConsensusMessage::StateTransferReply(_, slots, _) => {
            format!("recalled.{}", list_name(slots.is_empty()))
        }
        ConsensusMessage::LeaseRequest(post, _) => format!("bid.{}", duty_name(post.role)),
        ConsensusMessage::LeaseRenewal(post, _) => format!("renew.{}", duty_name(post.role)),
        ConsensusMessage::GrantPersisted(post) => format!("kept.{}", duty_name(post.role)),
        ConsensusMessage::LeaseGranted(post, _) => format!("grant.{}", duty_name(post.role)),
        ConsensusMessage::LeaseDenied(post) => format!("deny.{}", duty_name(post.role)),
        ConsensusMessage::LeaseReleased(post, _) => format!("yield.{}", duty_name(post.role)),
    }
}

/// As for `poll_name`.
fn piece_name(piece: &StateUpdate) -> String {
    match piece {
        StateUpdate::Chosen(register, held) => {
            format!("chosen.{}.{}", register_name(*register), list_name(held.recent_versions.is_empty()))
        }
        StateUpdate::ConfigurationPatch { packed, .. } => format!("chart.{}", list_name(packed.is_empty())),
        StateUpdate::HostList(hosts) => format!("hosts.{}", list_name(hosts.instances.is_empty())),
        StateUpdate::HostListPatch { packed, .. } => format!("hosts_patch.{}", list_name(packed.is_empty())),
        StateUpdate::ControlNodes(control_nodes) => {
            format!("keepers.{}", list_name(control_nodes.is_empty()))
        }
        StateUpdate::DataNodes(nodes) => format!("pilots.{}", list_name(nodes.is_empty())),
        StateUpdate::Sessions(sessions) => format!("sessions.{}", list_name(sessions.data_nodes.is_empty())),
    }
}

/// As for `poll_name`.
fn word_name(word: &Message) -> String {
    match word {
        Message::PeerHello { voter_set, .. } => {
            format!("greet.{}", list_name(voter_set.voters.is_empty()))
        }
        Message::Consensus(_, poll) => format!("poll.{}", poll_name(poll)),
        Message::VoterSet(voter_set) => format!("muster.{}", list_name(voter_set.voters.is_empty())),
        Message::Heartbeat(beat) => {
            let lists = list_name(beat.versions.sessions.is_empty());
            format!("beat.{}.{lists}", option_name(beat.confirmed_age.is_some()))
        }
        Message::UpdateRequest(vector) => format!("pull.{}", list_name(vector.sessions.is_empty())),
        Message::StateUpdates(pieces) => match pieces.as_slice() {
            [] => "news.empty".into(),
            [piece] => format!("news.{}", piece_name(piece)),
            [..] => "news.several".into(),
        },
        Message::SessionHeartbeat { leases: terms, .. } => format!("hail.{}", list_name(terms.is_empty())),
        Message::CounterAdds { adds, .. } => format!("adds.{}", list_name(adds.is_empty())),
        Message::CounterTotals { totals: None, .. } => "totals.none".into(),
        Message::CounterTotals { totals: Some(totals), .. } => {
            format!("totals.some.{}", list_name(totals.is_empty()))
        }
    }
}

/// The first part of the names of each variant, in the order of their declaration, which is their number on the wire.
const WORDS: [&str; 9] = ["greet", "poll", "muster", "beat", "pull", "news", "hail", "adds", "totals"];
const POLLS: [&str; 17] = [
    "prepare", "promise", "refuse", "accept", "accepted", "ask", "answer", "fetch", "fetched", "recall",
    "recalled", "bid", "renew", "kept", "grant", "deny", "yield",
];
const PIECES: [&str; 7] = ["chosen", "chart", "hosts", "hosts_patch", "keepers", "pilots", "sessions"];

fn address(text: &str) -> SocketAddrV4 {
    text.parse().unwrap()
}

/// Numbers of one, two and more bytes on the wire, so that a change of the encoding or of the order of fields shows.
fn proposal() -> ProposalNumber {
    ProposalNumber { round: 0x0100_0000_0003, node: 0x0a01_0020, nonce: 300 }
}

fn later_ballot() -> ProposalNumber {
    ProposalNumber { round: 0x0100_0000_0004, node: 0x0a01_0027, nonce: 7 }
}

fn held() -> AcceptedValue {
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

fn voter_set() -> VoterSet {
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

fn other_keeper() -> ControlNode {
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

fn hosts() -> HostList {
    let line = HostInstance {
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
        ..line.clone()
    };
    HostList { term: 12, version: 345, instances: vec![line, other] }
}

fn sessions() -> SessionTable {
    SessionTable {
        source: 0x0a01_0020,
        incarnation: 1 << 40,
        version: 129,
        data_nodes: vec![data_node(true), data_node(false)],
    }
}

fn vector() -> VersionVector {
    VersionVector {
        configuration: 1,
        evacuations: 200,
        hosts: (3, 40_000),
        control_nodes: u64::MAX,
        data_nodes: 5,
        sessions: vec![(0x0a01_0020, 6, 7), (0x0a01_0027, 800, 9)],
    }
}

fn post(role: SingletonRole) -> LeaseGrant {
    LeaseGrant { role, holder: 0x0a01_0020, term: 77 }
}

fn posts() -> Vec<LeaseGrant> {
    SINGLETON_ROLES.map(post).to_vec()
}

fn polls() -> Vec<ConsensusMessage> {
    let mut all = Vec::new();
    for register in REGISTERS {
        all.extend([
            ConsensusMessage::Prepare(register, proposal()),
            ConsensusMessage::Promise(register, proposal(), None),
            ConsensusMessage::Promise(register, proposal(), Some(held())),
            ConsensusMessage::Reject(register, proposal(), later_ballot()),
            ConsensusMessage::Accept(register, AcceptedValue::default()),
            ConsensusMessage::Accept(register, held()),
            ConsensusMessage::Accepted(register, proposal()),
            ConsensusMessage::FetchValue(register),
            ConsensusMessage::FetchedValue(register, AcceptedValue::default()),
            ConsensusMessage::FetchedValue(register, held()),
        ]);
    }
    let slots = vec![
        (Register::Configuration, AcceptorState { promised: later_ballot(), accepted: Some(held()) }),
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
                (Register::Evacuations, later_ballot()),
                (Register::VoterSet, ProposalNumber::default()),
            ],
        ),
        ConsensusMessage::StateTransferRequest(503),
        ConsensusMessage::StateTransferReply(503, Vec::new(), Vec::new()),
        ConsensusMessage::StateTransferReply(504, slots, posts()),
    ]);
    for role in SINGLETON_ROLES {
        all.extend([
            ConsensusMessage::LeaseRequest(post(role), 601),
            ConsensusMessage::LeaseRenewal(post(role), 602),
            ConsensusMessage::GrantPersisted(post(role)),
            ConsensusMessage::LeaseGranted(post(role), 603),
            ConsensusMessage::LeaseDenied(post(role)),
            ConsensusMessage::LeaseReleased(post(role), 0x0a01_0027),
        ]);
    }
    all
}

fn pieces() -> Vec<StateUpdate> {
    let mut all = Vec::new();
    for register in REGISTERS {
        all.extend([
            StateUpdate::Chosen(register, AcceptedValue::default()),
            StateUpdate::Chosen(register, held()),
        ]);
    }
    all.extend([
        StateUpdate::ConfigurationPatch { stamp: 514, base: 0, packed: Bytes::new() },
        StateUpdate::ConfigurationPatch { stamp: 514, base: 513, packed: Bytes::from_static(b"packed") },
        StateUpdate::HostList(HostList::default()),
        StateUpdate::HostList(hosts()),
        StateUpdate::HostListPatch { stamp: (12, 346), base: (0, 0), packed: Bytes::new() },
        StateUpdate::HostListPatch {
            stamp: (12, 346),
            base: (11, 345),
            packed: Bytes::from_static(b"patch"),
        },
        StateUpdate::ControlNodes(Vec::new()),
        StateUpdate::ControlNodes(vec![control_node(), other_keeper()]),
        StateUpdate::DataNodes(Vec::new()),
        StateUpdate::DataNodes(vec![0x0a01_0040, 3]),
        StateUpdate::Sessions(SessionTable::default()),
        StateUpdate::Sessions(sessions()),
    ]);
    all
}

fn beats() -> Vec<Heartbeat> {
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
        versions: vector(),
        leases: posts(),
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

fn words() -> Vec<Message> {
    let mut all: Vec<Message> =
        polls().into_iter().map(|poll| Message::Consensus(0x1_0002_0003, poll)).collect();
    all.extend(pieces().into_iter().map(|piece| Message::StateUpdates(vec![piece])));
    all.extend(beats().into_iter().map(Message::Heartbeat));
    let adds = vec![
        CounterAdd { key: 0xcbf2_9ce4_8422_2325, amount: 1.5, lifetime: 60.0 },
        CounterAdd { key: 2, amount: -0.5, lifetime: 0.25 },
    ];
    all.extend([
        Message::PeerHello { control_node: other_keeper(), voter_set: VoterSet::default() },
        Message::PeerHello { control_node: control_node(), voter_set: voter_set() },
        Message::VoterSet(VoterSet::default()),
        Message::VoterSet(voter_set()),
        Message::UpdateRequest(VersionVector::default()),
        Message::UpdateRequest(vector()),
        Message::StateUpdates(Vec::new()),
        Message::StateUpdates(vec![
            StateUpdate::DataNodes(vec![3]),
            StateUpdate::ControlNodes(vec![control_node()]),
            StateUpdate::HostList(hosts()),
        ]),
        Message::SessionHeartbeat { serial: 1, data_node: data_node(false), clock: 0.0, leases: Vec::new() },
        Message::SessionHeartbeat { serial: 301, data_node: data_node(true), clock: 99.125, leases: posts() },
        Message::CounterAdds { serial: 2, term: 77, clock: 1.0, adds: Vec::new() },
        Message::CounterAdds { serial: 302, term: 78, clock: 98.5, adds },
        Message::CounterTotals { serial: 3, clock: 1.0, totals: None },
        Message::CounterTotals { serial: 4, clock: 2.0, totals: Some(Vec::new()) },
        Message::CounterTotals { serial: 303, clock: 97.75, totals: Some(vec![1.5, 0.0, -2.25]) },
    ]);
    all
}

/// All differences at once, as lines of the fixture.
#[test]
fn every_message_encodes_to_the_recorded_bytes() {
    let recorded = recorded();
    let mut differing = Vec::new();
    for word in words() {
        let (name, bytes) = (word_name(&word), encode(&word));
        if recorded.get(name.as_str()) != Some(&bytes) {
            differing.push(format!("{name} {}", to_hex(&bytes)));
        }
    }
    assert!(differing.is_empty(), "not recorded, or recorded otherwise:\n{}", differing.join("\n"));
}

#[test]
fn every_recorded_message_decodes_to_its_value_and_encodes_to_the_same_bytes() {
    let recorded = recorded();
    for word in words() {
        let name = word_name(&word);
        let frame = recorded.get(name.as_str()).unwrap_or_else(|| panic!("{name} is not recorded"));
        let read = decode(&name, frame);
        assert_eq!(format!("{read:?}"), format!("{word:?}"), "{name}");
        assert_eq!(to_hex(&encode(&read)), to_hex(frame), "{name}");
    }
}

#[test]
fn every_recorded_line_belongs_to_one_message() {
    let mut names: Vec<String> = words().iter().map(word_name).collect();
    names.extend(VALUES.map(str::to_string));
    let count = names.len();
    let names: BTreeSet<String> = names.into_iter().collect();
    assert_eq!(names.len(), count, "two messages have one name");
    let lines: BTreeSet<String> = recorded().into_keys().map(str::to_string).collect();
    assert_eq!(lines, names);
}

/// Every number of a variant is taken by the variant that is recorded under it, and the number after the last one by none.
#[test]
fn every_variant_is_recorded_under_its_number() {
    const LENGTH: usize = 4;
    let first = |name: &str| name.split('.').next().unwrap().to_string();
    let mut found: [BTreeSet<(usize, String)>; 3] = Default::default();
    for word in words() {
        let frame = encode(&word);
        found[0].insert((frame[LENGTH].into(), first(&word_name(&word))));
    }
    // A poll of epoch 0, and news of one piece: one byte for the word, one before the inner variant.
    for poll in polls() {
        let name = first(&poll_name(&poll));
        found[1].insert((encode(&Message::Consensus(0, poll))[LENGTH + 2].into(), name));
    }
    for piece in pieces() {
        let name = first(&piece_name(&piece));
        found[2].insert((encode(&Message::StateUpdates(vec![piece]))[LENGTH + 2].into(), name));
    }
    let numbered = |names: &[&str]| names.iter().map(|name| name.to_string()).enumerate().collect();
    assert_eq!(found, [numbered(&WORDS), numbered(&POLLS), numbered(&PIECES)]);

    // A variant after the last one reads some of these bodies; a number that no variant has reads none.
    let unread = |head: &[u8]| {
        for body in [0, 1, 255].into_iter().flat_map(|byte: u8| (0..64).map(move |length| vec![byte; length]))
        {
            let frame = [&((head.len() + body.len()) as u32).to_be_bytes(), head, &body].concat();
            let read = MessageCodec::default().decode(&mut BytesMut::from(&frame[..]));
            assert!(read.is_err(), "{head:?} is read as {read:?}");
        }
    };
    unread(&[WORDS.len() as u8]);
    unread(&[1, 0, POLLS.len() as u8]);
    unread(&[5, 1, PIECES.len() as u8]);
}

#[test]
fn a_list_of_hosts_is_stored_as_the_recorded_bytes() {
    for (name, hosts) in [("value.hosts.empty", HostList::default()), ("value.hosts.filled", hosts())] {
        assert_recorded(name, &hosts.to_bytes());
        let read = HostList::from_bytes(&recorded()[name]).unwrap();
        assert_eq!(read, hosts, "{name}");
        assert_recorded(name, &read.to_bytes());
    }
}

/// The default one, not known yet, is encoded but refused as a stored value.
#[test]
fn a_set_of_voters_is_stored_as_the_recorded_bytes() {
    assert_recorded("value.muster.default", &VoterSet::default().to_bytes());
    assert_eq!(VoterSet::from_bytes(&recorded()["value.muster.default"]), None);
    let settled = VoterSet { incoming: Vec::new(), ..voter_set() };
    for (name, voter_set) in [("value.muster.settled", settled), ("value.muster.changing", voter_set())] {
        assert_recorded(name, &voter_set.to_bytes());
        let read = VoterSet::from_bytes(&recorded()[name]).unwrap();
        assert_eq!(read, voter_set, "{name}");
        assert_recorded(name, &read.to_bytes());
    }
}

#[test]
fn evacuated_zones_are_stored_as_the_recorded_bytes() {
    let two = BTreeSet::from(["zone-2".to_string(), "zone-1".to_string()]);
    for (name, zones) in [("value.evacuations.none", BTreeSet::new()), ("value.evacuations.two", two)] {
        assert_recorded(name, &encode_evacuated_zones(zones.clone()));
        let read = decode_evacuated_zones(&recorded()[name]);
        assert_eq!(read, zones, "{name}");
        assert_recorded(name, &encode_evacuated_zones(read));
    }
}

/// What an older process packed is read; the packed bytes themselves may change with the library that packs.
#[test]
fn recorded_packed_texts_are_unpacked() {
    for (name, base) in [("value.packed.alone", b"".as_slice()), ("value.packed.against_base", BASE)] {
        assert_eq!(patch::decompress(&recorded()[name], base).unwrap(), TEXT, "{name}");
        let again = patch::compress(TEXT, base).unwrap();
        assert_eq!(patch::decompress(&again, base).unwrap(), TEXT, "{name}");
        assert_eq!(again[..4], recorded()[name][..4], "{name}: the text's length");
    }
}
