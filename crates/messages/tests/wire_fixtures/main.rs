//! Compares the encoding of every message between the system's own processes, and of the values that they store or
//! patch against, with `fixtures/messages.txt`: one line per message, with its name and its bytes in hexadecimal, `-`
//! for none.
//!
//! Renaming types, variants or fields must not change these bytes, since processes of two versions run side by side.
//! The test never writes the fixture: if a line is missing or differs, it prints the line that the present code
//! produces.

mod names;
mod samples;

use archlink_messages::{
    HostList, Message, MessageCodec, VoterSet, decode_evacuated_zones, encode_evacuated_zones, patch,
};
use bytes::BytesMut;
use names::{CONSENSUS_MESSAGES, MESSAGES, UPDATES, consensus_message_name, message_name, update_name};
use samples::{consensus_messages, hosts, messages, updates, voter_set};
use std::collections::{BTreeMap, BTreeSet};
use tokio_util::codec::{Decoder, Encoder};

const RECORDED: &str = include_str!("../../fixtures/messages.txt");

/// Values that are stored or patched against and are not frames. Each has a test of its own.
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

fn encode(message: &Message) -> Vec<u8> {
    let mut buffer = BytesMut::new();
    MessageCodec::default().encode(message, &mut buffer).unwrap();
    buffer.to_vec()
}

/// Decodes exactly one message, without bytes left over.
fn decode(name: &str, frame: &[u8]) -> Message {
    let mut buffer = BytesMut::from(frame);
    let message =
        MessageCodec::default().decode(&mut buffer).unwrap_or_else(|e| panic!("{name} does not decode: {e}"));
    assert!(buffer.is_empty(), "{name} has bytes left over");
    message.unwrap_or_else(|| panic!("{name} is not a complete frame"))
}

fn assert_recorded(name: &str, bytes: &[u8]) {
    let expected = recorded().remove(name).map(|bytes| to_hex(&bytes));
    assert_eq!(expected.as_deref(), Some(to_hex(bytes).as_str()), "{name} is not encoded as recorded");
}

/// Reports all differences at once, as lines of the fixture.
#[test]
fn every_message_encodes_to_the_recorded_bytes() {
    let recorded = recorded();
    let mut differing = Vec::new();
    for message in messages() {
        let (name, bytes) = (message_name(&message), encode(&message));
        if recorded.get(name.as_str()) != Some(&bytes) {
            differing.push(format!("{name} {}", to_hex(&bytes)));
        }
    }
    assert!(differing.is_empty(), "not recorded, or recorded differently:\n{}", differing.join("\n"));
}

#[test]
fn every_recorded_message_decodes_to_its_value_and_encodes_to_the_same_bytes() {
    let recorded = recorded();
    for message in messages() {
        let name = message_name(&message);
        let frame = recorded.get(name.as_str()).unwrap_or_else(|| panic!("{name} is not recorded"));
        let decoded = decode(&name, frame);
        assert_eq!(format!("{decoded:?}"), format!("{message:?}"), "{name}");
        assert_eq!(to_hex(&encode(&decoded)), to_hex(frame), "{name}");
    }
}

#[test]
fn every_recorded_line_belongs_to_one_message() {
    let mut names: Vec<String> = messages().iter().map(message_name).collect();
    names.extend(VALUES.map(str::to_string));
    let count = names.len();
    let names: BTreeSet<String> = names.into_iter().collect();
    assert_eq!(names.len(), count, "two messages have one name");
    let lines: BTreeSet<String> = recorded().into_keys().map(str::to_string).collect();
    assert_eq!(lines, names);
}

/// Every variant has the index on the wire that is recorded for it, and the index after the last one has no variant.
#[test]
fn every_variant_has_its_recorded_index() {
    const LENGTH: usize = 4;
    let first = |name: &str| name.split('.').next().unwrap().to_string();
    let mut found: [BTreeSet<(usize, String)>; 3] = Default::default();
    for message in messages() {
        let frame = encode(&message);
        found[0].insert((frame[LENGTH].into(), first(&message_name(&message))));
    }
    // A consensus message of epoch 0, and one state update: one byte for the message, one before the inner variant.
    for consensus_message in consensus_messages() {
        let name = first(&consensus_message_name(&consensus_message));
        found[1].insert((encode(&Message::Consensus(0, consensus_message))[LENGTH + 2].into(), name));
    }
    for update in updates() {
        let name = first(&update_name(&update));
        found[2].insert((encode(&Message::StateUpdates(vec![update]))[LENGTH + 2].into(), name));
    }
    let numbered = |names: &[&str]| names.iter().map(|name| name.to_string()).enumerate().collect();
    assert_eq!(found, [numbered(&MESSAGES), numbered(&CONSENSUS_MESSAGES), numbered(&UPDATES)]);

    // A variant after the last one would decode some of these bodies; an index without a variant decodes none.
    let assert_undecodable = |head: &[u8]| {
        for body in [0, 1, 255].into_iter().flat_map(|byte: u8| (0..64).map(move |length| vec![byte; length]))
        {
            let frame = [&((head.len() + body.len()) as u32).to_be_bytes(), head, &body].concat();
            let decoded = MessageCodec::default().decode(&mut BytesMut::from(&frame[..]));
            assert!(decoded.is_err(), "{head:?} decodes as {decoded:?}");
        }
    };
    assert_undecodable(&[MESSAGES.len() as u8]);
    assert_undecodable(&[1, 0, CONSENSUS_MESSAGES.len() as u8]);
    assert_undecodable(&[5, 1, UPDATES.len() as u8]);
}

#[test]
fn host_list_encodes_to_the_recorded_bytes() {
    for (name, hosts) in [("value.hosts.empty", HostList::default()), ("value.hosts.filled", hosts())] {
        assert_recorded(name, &hosts.to_bytes());
        let decoded = HostList::from_bytes(&recorded()[name]).unwrap();
        assert_eq!(decoded, hosts, "{name}");
        assert_recorded(name, &decoded.to_bytes());
    }
}

/// The default voter set, which means unknown, is encoded but rejected as a stored value.
#[test]
fn voter_set_encodes_to_the_recorded_bytes() {
    assert_recorded("value.muster.default", &VoterSet::default().to_bytes());
    assert_eq!(VoterSet::from_bytes(&recorded()["value.muster.default"]), None);
    let settled = VoterSet { incoming: Vec::new(), ..voter_set() };
    for (name, voter_set) in [("value.muster.settled", settled), ("value.muster.changing", voter_set())] {
        assert_recorded(name, &voter_set.to_bytes());
        let decoded = VoterSet::from_bytes(&recorded()[name]).unwrap();
        assert_eq!(decoded, voter_set, "{name}");
        assert_recorded(name, &decoded.to_bytes());
    }
}

#[test]
fn evacuated_zones_encode_to_the_recorded_bytes() {
    let two = BTreeSet::from(["zone-2".to_string(), "zone-1".to_string()]);
    for (name, zones) in [("value.evacuations.none", BTreeSet::new()), ("value.evacuations.two", two)] {
        assert_recorded(name, &encode_evacuated_zones(zones.clone()));
        let decoded = decode_evacuated_zones(&recorded()[name]);
        assert_eq!(decoded, zones, "{name}");
        assert_recorded(name, &encode_evacuated_zones(decoded));
    }
}

/// Patches from an older process can be decompressed; the bytes of a new patch may change with the compression library.
#[test]
fn recorded_patches_decompress() {
    for (name, base) in [("value.packed.alone", b"".as_slice()), ("value.packed.against_base", BASE)] {
        assert_eq!(patch::decompress(&recorded()[name], base).unwrap(), TEXT, "{name}");
        let recompressed = patch::compress(TEXT, base).unwrap();
        assert_eq!(patch::decompress(&recompressed, base).unwrap(), TEXT, "{name}");
        assert_eq!(recompressed[..4], recorded()[name][..4], "{name}: the text's length");
    }
}
