//! What the system's own processes say to one another: plain types, encoded with postcard in frames that carry their
//! length. Owns the wire between them. Must never hold a connection, decide, or carry a time of day: times are lengths in
//! seconds, and the fleet's clock counts from nowhere in particular.
#![forbid(unsafe_code)]

mod lot;
mod muster;
pub mod pack;

pub use lot::Lot;
pub use muster::Muster;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddrV4;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// A machine, by its IPv4 address as a number: it keeps that for life, also with a new disk.
pub type Node = u32;

/// One attempt to write a register; a later one is greater, and no two are alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub node: Node,
    pub nonce: u32,
}

/// What the control plane keeps on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Register {
    /// The configuration, as the operator sent it, packed by itself.
    Chart,
    /// Which zones are evacuated.
    Evacuations,
    /// Who votes on all registers, this one among them: a `Muster`.
    Muster,
}

/// Those that the voters hold and are asked about.
pub const REGISTERS: [Register; 3] = [Register::Chart, Register::Evacuations, Register::Muster];

/// What was acknowledged under a number of the operators: the digest of the text that stands under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    pub version: u64,
    pub digest: [u8; 16],
}

/// A register's value under the ballot it was accepted with. Among chosen values a stamp names one content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    pub ballot: Ballot,
    pub stamp: u64,
    pub value: Bytes,
    /// Of the configuration: the last numbers that were taken, oldest first, the one that stands at the end.
    pub marks: Vec<Mark>,
}

impl Held {
    /// Which founding it is of: a person who founds anew goes beyond the rounds of all before.
    pub fn founding(&self) -> u64 {
        self.ballot.round >> muster::ROUND_BITS
    }

    /// Grows from one chosen value to the next, also where a person founds anew and the stamp goes back. Vectors and
    /// pieces carry this for the stamp.
    pub fn order(&self) -> u64 {
        (self.founding() << muster::ROUND_BITS) | self.stamp
    }
}

/// All that a voter has on disk of one register.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    pub promised: Ballot,
    pub held: Option<Held>,
}

/// The zones in a value of the register of evacuations, and the value of a set of zones.
pub fn evacuated(value: &[u8]) -> BTreeSet<String> {
    String::from_utf8_lossy(value).lines().map(str::to_string).collect()
}

pub fn evacuations(zones: BTreeSet<String>) -> Bytes {
    zones.into_iter().collect::<Vec<_>>().join("\n").into()
}

/// What one control gateway does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Duty {
    /// Asks the platform which hosts there are.
    Lookout,
    /// Holds the counts of all tenants.
    Tally,
}

pub const DUTIES: [Duty; 2] = [Duty::Lookout, Duty::Tally];

/// A control gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Keeper {
    pub node: Node,
    pub zone: String,
    pub region: String,
    pub control: SocketAddrV4,
}

/// Tells one set of gateways from another; the nodes in their order.
pub fn nodes_stamp(nodes: impl ExactSizeIterator<Item = Node>) -> u64 {
    let count = nodes.len() as u64;
    nodes.fold(count, |sum, node| sum.wrapping_mul(0x0100_0000_01b3).wrapping_add(u64::from(node)))
}

/// A data gateway; `ready` to be sent clients.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pilot {
    pub node: Node,
    pub zone: String,
    pub region: String,
    pub front: SocketAddrV4,
    pub ready: bool,
}

/// One host, in one life of it. `cold_for`: seconds for which it stays slow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostLine {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub capacity: u32,
    pub draining: bool,
    pub cold_for: f32,
}

/// The list of hosts under the lookout's term and a number that grows with each change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Hosts {
    pub term: u64,
    pub version: u64,
    pub lines: Vec<HostLine>,
}

impl Hosts {
    /// The lookout's term, and the number of the list in it.
    pub fn stamp(&self) -> (u64, u64) {
        (self.term, self.version)
    }

    /// The same bytes for the same list: patches are made between them.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn from_bytes(bytes: &[u8]) -> io::Result<Hosts> {
        postcard::from_bytes(bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
    }
}

/// The data gateways in session with one control gateway, in one life of that.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sessions {
    pub source: Node,
    pub boot: u64,
    pub version: u64,
    pub pilots: Vec<Pilot>,
}

/// What a gateway holds, by source: the greatest stamp of each register, list and session table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vector {
    pub chart: u64,
    pub evacuations: u64,
    pub hosts: (u64, u64),
    pub keepers: u64,
    /// Of the data gateways that there may be, lately lost ones among them; 0 is not known yet.
    pub pilots: u64,
    pub sessions: Vec<(Node, u64, u64)>,
}

/// What one gateway lacked and another holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Piece {
    Chosen(Register, Held),
    /// The configuration of a stamp, packed against that of another, which the reader holds; 0 is against none.
    Chart {
        stamp: u64,
        base: u64,
        packed: Bytes,
    },
    Hosts(Hosts),
    /// The list of hosts of a stamp, as its bytes packed against those of another, which the reader holds.
    HostsPatch {
        stamp: (u64, u64),
        base: (u64, u64),
        packed: Bytes,
    },
    Keepers(Vec<Keeper>),
    /// Data gateways that there may be, lately lost ones among them, in the order of their numbers.
    Pilots(Vec<Node>),
    Sessions(Sessions),
}

/// Who holds a duty, in which term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Post {
    pub duty: Duty,
    pub holder: Node,
    pub term: u64,
}

/// A sign of life, and what there is to be pulled.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Beat {
    /// The hail that it answers; 0 where it comes unasked.
    pub serial: u64,
    /// The fleet's clock.
    pub clock: f64,
    /// Seconds since a question was asked to which a majority answered that the configuration held here is the newest.
    pub confirmed: Option<f64>,
    pub vector: Vector,
    pub posts: Vec<Post>,
    /// Who votes, as far as known here.
    pub muster: Muster,
    /// Does this gateway's disk hold all that it ever promised?
    pub whole: bool,
    /// Voters that this gateway, in touch with a majority all the while, has not heard of for very long.
    pub missing: Vec<Node>,
}

/// One add to a name of the counter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Add {
    pub name: u64,
    pub amount: f32,
    /// Seconds that the name lives from its first add on.
    pub keep: f32,
}

/// What is asked of voters, and their answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Poll {
    Prepare(Register, Ballot),
    Promise(Register, Ballot, Option<Held>),
    Refuse(Register, Ballot, Ballot),
    Accept(Register, Held),
    Accepted(Register, Ballot),
    /// Which ballots does a voter hold on its disk?
    Ask(u64),
    Answer(u64, Vec<(Register, Ballot)>),
    Fetch(Register),
    Fetched(Register, Held),
    /// A voter that lost its disk asks for what the others hold.
    Recall(u64),
    Recalled(u64, Vec<(Register, Slot)>, Vec<Post>),
    /// For a new term, with a number that tells one bid from the next.
    Bid(Post, u64),
    /// The same by who holds the term, in the life in which it won it.
    Renew(Post, u64),
    /// Of a voter to itself alone: its disk has what it granted.
    Kept(Post),
    Grant(Post, u64),
    Deny(Post),
    /// A holder names its successor.
    Yield(Post, Node),
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Word {
    /// First on each link between control gateways.
    Greet {
        keeper: Keeper,
        muster: Muster,
    },
    /// Said to voters and by them: counts in the epoch that it names alone.
    Poll(u64, Poll),
    /// Who votes by now: the answer to a poll of an earlier epoch.
    Muster(Muster),
    Beat(Beat),
    Pull(Vector),
    News(Vec<Piece>),
    /// A data gateway's sign of life: its session stands while these come.
    Hail {
        serial: u64,
        pilot: Pilot,
        clock: f64,
        terms: Vec<Post>,
    },
    /// `serial` tells one question of a connection from all others, and its answer names it.
    Adds {
        serial: u64,
        term: u64,
        clock: f64,
        adds: Vec<Add>,
    },
    /// In the order of the adds; none where this gateway does not hold the counts.
    Totals {
        serial: u64,
        clock: f64,
        totals: Option<Vec<f32>>,
    },
}

/// Frames of words; one that cannot be read ends its connection.
pub struct Wire(LengthDelimitedCodec);

impl Default for Wire {
    fn default() -> Wire {
        const MOST_FRAME: usize = 8 << 20;
        Wire(LengthDelimitedCodec::builder().max_frame_length(MOST_FRAME).new_codec())
    }
}

impl Decoder for Wire {
    type Item = Word;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<Word>> {
        let Some(frame) = self.0.decode(from)? else { return Ok(None) };
        let read = postcard::from_bytes(&frame);
        read.map(Some).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
    }
}

impl Encoder<&Word> for Wire {
    type Error = io::Error;

    fn encode(&mut self, word: &Word, to: &mut BytesMut) -> io::Result<()> {
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
            Wire::default().decode(&mut buffer).ok();
        });
    }

    #[test]
    fn a_word_survives_the_wire() {
        let held = Held {
            ballot: Ballot { round: 3, node: 7, nonce: 9 },
            stamp: 4,
            value: Bytes::from("text"),
            marks: vec![Mark { version: 3, digest: [5; 16] }],
        };
        let mut buffer = BytesMut::new();
        let word = Word::Poll(2, Poll::Accept(Register::Chart, held.clone()));
        Wire::default().encode(&word, &mut buffer).unwrap();
        let read = Wire::default().decode(&mut buffer).unwrap();
        assert!(matches!(read, Some(Word::Poll(2, Poll::Accept(Register::Chart, same))) if same == held));
    }
}
