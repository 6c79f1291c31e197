//! What the system's own processes say to one another: plain types, encoded with postcard in frames that carry their
//! length. Owns the wire between them. Must never hold a connection, decide, or carry a time of day: times are lengths in
//! seconds, and the fleet's clock counts from nowhere in particular.
#![forbid(unsafe_code)]

mod node_rank;
pub mod patch;
mod voter_set;

pub use node_rank::NodeRank;
pub use voter_set::VoterSet;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddrV4;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// A machine, by its IPv4 address as a number: it keeps that for life, also with a new disk.
pub type NodeId = u32;

/// One attempt to write a register; a later one is greater, and no two are alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalNumber {
    pub round: u64,
    pub node: NodeId,
    pub nonce: u32,
}

/// What the control plane keeps on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Register {
    /// The configuration, as the operator sent it, packed by itself.
    Configuration,
    /// Which zones are evacuated.
    Evacuations,
    /// Who votes on all registers, this one among them: a `Muster`.
    VoterSet,
}

/// Those that the voters hold and are asked about.
pub const REGISTERS: [Register; 3] = [Register::Configuration, Register::Evacuations, Register::VoterSet];

/// What was acknowledged under a number of the operators: the digest of the text that stands under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionDigest {
    pub version: u64,
    pub digest: [u8; 16],
}

/// A register's value under the ballot it was accepted with. Among chosen values a stamp names one content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedValue {
    pub proposal: ProposalNumber,
    pub revision: u64,
    pub value: Bytes,
    /// Of the configuration: the last numbers that were taken, oldest first, the one that stands at the end.
    pub recent_versions: Vec<VersionDigest>,
}

impl AcceptedValue {
    /// Which founding it is of: a person who founds anew goes beyond the rounds of all before.
    pub fn generation(&self) -> u64 {
        self.proposal.round >> voter_set::ROUND_BITS
    }

    /// Grows from one chosen value to the next, also where a person founds anew and the stamp goes back. Vectors and
    /// pieces carry this for the stamp.
    pub fn ordering_key(&self) -> u64 {
        (self.generation() << voter_set::ROUND_BITS) | self.revision
    }
}

/// All that a voter has on disk of one register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptorState {
    pub promised: ProposalNumber,
    pub accepted: Option<AcceptedValue>,
}

/// The zones in a value of the register of evacuations, and the value of a set of zones.
pub fn decode_evacuated_zones(value: &[u8]) -> BTreeSet<String> {
    String::from_utf8_lossy(value).lines().map(str::to_string).collect()
}

pub fn encode_evacuated_zones(zones: BTreeSet<String>) -> Bytes {
    zones.into_iter().collect::<Vec<_>>().join("\n").into()
}

/// What one control gateway does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SingletonRole {
    /// Asks the platform which hosts there are.
    HostDiscovery,
    /// Holds the counts of all tenants.
    QuotaCounter,
}

pub const SINGLETON_ROLES: [SingletonRole; 2] = [SingletonRole::HostDiscovery, SingletonRole::QuotaCounter];

/// A control gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlNode {
    pub node: NodeId,
    pub zone: String,
    pub region: String,
    pub operator_address: SocketAddrV4,
}

/// Tells one set of gateways from another; the nodes in their order.
pub fn node_set_fingerprint(nodes: impl ExactSizeIterator<Item = NodeId>) -> u64 {
    let count = nodes.len() as u64;
    nodes.fold(count, |sum, node| sum.wrapping_mul(0x0100_0000_01b3).wrapping_add(u64::from(node)))
}

/// A data gateway; `ready` to be sent clients.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataNode {
    pub node: NodeId,
    pub zone: String,
    pub region: String,
    pub client_address: SocketAddrV4,
    pub ready: bool,
}

/// One host, in one life of it. `cold_for`: seconds for which it stays slow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostInstance {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub capacity: u32,
    pub draining: bool,
    pub warm_up_seconds: f32,
}

/// The list of hosts under the lookout's term and a number that grows with each change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    pub term: u64,
    pub version: u64,
    pub instances: Vec<HostInstance>,
}

impl HostList {
    /// The lookout's term, and the number of the list in it.
    pub fn revision(&self) -> (u64, u64) {
        (self.term, self.version)
    }

    /// The same bytes for the same list: patches are made between them.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn from_bytes(bytes: &[u8]) -> io::Result<HostList> {
        postcard::from_bytes(bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
    }
}

/// The data gateways in session with one control gateway, in one life of that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionTable {
    pub source: NodeId,
    pub incarnation: u64,
    pub version: u64,
    pub data_nodes: Vec<DataNode>,
}

/// What a gateway holds, by source: the greatest stamp of each register, list and session table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionVector {
    pub configuration: u64,
    pub evacuations: u64,
    pub hosts: (u64, u64),
    pub control_nodes: u64,
    /// Of the data gateways that there may be, lately lost ones among them; 0 is not known yet.
    pub data_nodes: u64,
    pub sessions: Vec<(NodeId, u64, u64)>,
}

/// What one gateway lacked and another holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum StateUpdate {
    Chosen(Register, AcceptedValue),
    /// The configuration of a stamp, packed against that of another, which the reader holds; 0 is against none.
    ConfigurationPatch {
        stamp: u64,
        base: u64,
        packed: Bytes,
    },
    HostList(HostList),
    /// The list of hosts of a stamp, as its bytes packed against those of another, which the reader holds.
    HostListPatch {
        stamp: (u64, u64),
        base: (u64, u64),
        packed: Bytes,
    },
    ControlNodes(Vec<ControlNode>),
    /// Data gateways that there may be, lately lost ones among them, in the order of their numbers.
    DataNodes(Vec<NodeId>),
    Sessions(SessionTable),
}

/// Who holds a duty, in which term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    pub role: SingletonRole,
    pub holder: NodeId,
    pub term: u64,
}

/// A sign of life, and what there is to be pulled.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The hail that it answers; 0 where it comes unasked.
    pub serial: u64,
    /// The fleet's clock.
    pub cluster_clock: f64,
    /// Seconds since a question was asked to which a majority answered that the configuration held here is the newest.
    pub confirmed_age: Option<f64>,
    pub versions: VersionVector,
    pub leases: Vec<LeaseGrant>,
    /// Who votes, as far as known here.
    pub voter_set: VoterSet,
    /// Does this gateway's disk hold all that it ever promised?
    pub recovered: bool,
    /// Voters that this gateway, in touch with a majority all the while, has not heard of for very long.
    pub suspected: Vec<NodeId>,
}

/// One add to a name of the counter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CounterAdd {
    pub key: u64,
    pub amount: f32,
    /// Seconds that the name lives from its first add on.
    pub lifetime: f32,
}

/// What is asked of voters, and their answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ConsensusMessage {
    Prepare(Register, ProposalNumber),
    Promise(Register, ProposalNumber, Option<AcceptedValue>),
    Reject(Register, ProposalNumber, ProposalNumber),
    Accept(Register, AcceptedValue),
    Accepted(Register, ProposalNumber),
    /// Which ballots does a voter hold on its disk?
    ReadRequest(u64),
    ReadReply(u64, Vec<(Register, ProposalNumber)>),
    FetchValue(Register),
    FetchedValue(Register, AcceptedValue),
    /// A voter that lost its disk asks for what the others hold.
    StateTransferRequest(u64),
    StateTransferReply(u64, Vec<(Register, AcceptorState)>, Vec<LeaseGrant>),
    /// For a new term, with a number that tells one bid from the next.
    LeaseRequest(LeaseGrant, u64),
    /// The same by who holds the term, in the life in which it won it.
    LeaseRenewal(LeaseGrant, u64),
    /// Of a voter to itself alone: its disk has what it granted.
    GrantPersisted(LeaseGrant),
    LeaseGranted(LeaseGrant, u64),
    LeaseDenied(LeaseGrant),
    /// A holder names its successor.
    LeaseReleased(LeaseGrant, NodeId),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// First on each link between control gateways.
    PeerHello {
        control_node: ControlNode,
        voter_set: VoterSet,
    },
    /// Said to voters and by them: counts in the epoch that it names alone.
    Consensus(u64, ConsensusMessage),
    /// Who votes by now: the answer to a poll of an earlier epoch.
    VoterSet(VoterSet),
    Heartbeat(Heartbeat),
    UpdateRequest(VersionVector),
    StateUpdates(Vec<StateUpdate>),
    /// A data gateway's sign of life: its session stands while these come.
    SessionHeartbeat {
        serial: u64,
        data_node: DataNode,
        clock: f64,
        leases: Vec<LeaseGrant>,
    },
    /// `serial` tells one question of a connection from all others, and its answer names it.
    CounterAdds {
        serial: u64,
        term: u64,
        clock: f64,
        adds: Vec<CounterAdd>,
    },
    /// In the order of the adds; none where this gateway does not hold the counts.
    CounterTotals {
        serial: u64,
        clock: f64,
        totals: Option<Vec<f32>>,
    },
}

/// Frames of words; one that cannot be read ends its connection.
pub struct MessageCodec(LengthDelimitedCodec);

impl Default for MessageCodec {
    fn default() -> MessageCodec {
        const MOST_FRAME: usize = 8 << 20;
        MessageCodec(LengthDelimitedCodec::builder().max_frame_length(MOST_FRAME).new_codec())
    }
}

impl Decoder for MessageCodec {
    type Item = Message;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<Message>> {
        let Some(frame) = self.0.decode(from)? else { return Ok(None) };
        let read = postcard::from_bytes(&frame);
        read.map(Some).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
    }
}

impl Encoder<&Message> for MessageCodec {
    type Error = io::Error;

    fn encode(&mut self, word: &Message, to: &mut BytesMut) -> io::Result<()> {
        let bytes = postcard::to_stdvec(word).map_err(io::Error::other)?;
        self.0.encode(Bytes::from(bytes), to)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Damaged frames are errors, never panics.
    #[test]
    fn any_frame_is_a_word_or_an_error() {
        bolero::check!().with_iterations(20_000).for_each(|bytes: &[u8]| {
            let mut buffer = BytesMut::new();
            buffer.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
            buffer.extend_from_slice(bytes);
            MessageCodec::default().decode(&mut buffer).ok();
        });
    }

    #[test]
    fn a_word_survives_the_wire() {
        let held = AcceptedValue {
            proposal: ProposalNumber { round: 3, node: 7, nonce: 9 },
            revision: 4,
            value: Bytes::from("text"),
            recent_versions: vec![VersionDigest { version: 3, digest: [5; 16] }],
        };
        let mut buffer = BytesMut::new();
        let word = Message::Consensus(2, ConsensusMessage::Accept(Register::Configuration, held.clone()));
        MessageCodec::default().encode(&word, &mut buffer).unwrap();
        let read = MessageCodec::default().decode(&mut buffer).unwrap();
        assert!(
            matches!(read, Some(Message::Consensus(2, ConsensusMessage::Accept(Register::Configuration, same))) if same == held)
        );
    }
}
