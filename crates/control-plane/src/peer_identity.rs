//! Who is at the other end of a connection that came in. Owns the rule that the first word that tells it binds the connection
//! for life, and that of several connections in one name only the one that came in last is heard. Must never take a word in
//! a name that its connection was not bound to.
//!
//! A name is what the caller says of itself: its source address is the machine's choice by its routes and no proof. That the
//! ports between own processes are reached by own processes alone is the operators' to see to; here it is seen to that
//! words of one life, or of one connection, are not taken for another's.

use archlink_messages::{Message, NodeId};
use std::collections::HashMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Who {
    Keeper(NodeId),
    /// A data gateway's session.
    Pilot(NodeId),
    /// Asks for counts, which needs no name: totals go back on the connection that asked.
    Counts,
}

/// The connection that speaks in each name, by number: no more names than connections, each leaves with its own.
#[derive(Default)]
pub struct Speakers {
    last: u64,
    by: HashMap<Who, u64>,
}

/// One connection that came in.
pub struct Caller {
    /// Grows with each that comes in: of two in one name, the earlier one's words are old.
    number: u64,
    pub who: Option<Who>,
    /// Of the last hail or question on it.
    serial: u64,
}

impl Caller {
    pub fn new(speakers: &mut Speakers) -> Caller {
        speakers.last += 1;
        Caller { number: speakers.last, who: None, serial: 0 }
    }

    /// Is that its word to say? An error is why the connection ends.
    pub fn says(&mut self, speakers: &mut Speakers, word: &Message) -> Result<(), &'static str> {
        let (told, serial) = match word {
            Message::PeerHello { control_node, .. } => (Some(Who::Keeper(control_node.node)), None),
            Message::SessionHeartbeat { serial, data_node, .. } => {
                (Some(Who::Pilot(data_node.node)), Some(*serial))
            }
            Message::CounterAdds { serial, .. } => (Some(Who::Counts), Some(*serial)),
            _ => (None, None),
        };
        if let Some(serial) = serial {
            if serial <= self.serial {
                return Err("a number that it has used already");
            }
            self.serial = serial;
        }
        match (self.who, told) {
            (None, None) => return Err("it has not said who it is"),
            (None, Some(who)) => self.who = Some(who),
            (Some(who), Some(other)) if who != other => return Err("it gives itself another name"),
            (Some(_), _) => {}
        }
        match self.who {
            None | Some(Who::Counts) => Ok(()),
            Some(who) => {
                let newest = speakers.by.entry(who).or_insert(self.number);
                *newest = self.number.max(*newest);
                if *newest == self.number { Ok(()) } else { Err("a later connection speaks for it") }
            }
        }
    }

    /// The connection ended; was it the one that spoke in its name?
    pub fn ends(&self, speakers: &mut Speakers) -> bool {
        let spoke = self.who.is_some_and(|who| speakers.by.get(&who) == Some(&self.number));
        if let Some(who) = self.who.filter(|_| spoke) {
            speakers.by.remove(&who);
        }
        spoke
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use archlink_messages::{ConsensusMessage, ControlNode, DataNode, VersionVector, VoterSet};
    use std::net::{Ipv4Addr, SocketAddrV4};

    const AT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);

    fn hail(node: NodeId, serial: u64) -> Message {
        let (zone, region) = (String::new(), String::new());
        Message::SessionHeartbeat {
            serial,
            data_node: DataNode { node, zone, region, client_address: AT, ready: true },
            clock: 0.0,
            leases: vec![],
        }
    }

    fn greet(node: NodeId) -> Message {
        let (zone, region) = (String::new(), String::new());
        Message::PeerHello {
            control_node: ControlNode { node, zone, region, operator_address: AT },
            voter_set: VoterSet::default(),
        }
    }

    fn adds(serial: u64) -> Message {
        Message::CounterAdds { serial, term: 1, clock: 0.0, adds: vec![] }
    }

    /// A connection is bound by its first word: what comes in another name, or in none, ends it.
    #[test]
    fn a_connection_has_one_name_for_life() {
        let pull = || Message::UpdateRequest(VersionVector::default());
        for (words, well) in [
            (vec![greet(1), Message::Consensus(1, ConsensusMessage::ReadRequest(1)), greet(1)], true),
            (vec![greet(1), greet(2)], false),
            (vec![greet(1), hail(1, 1)], false),
            (vec![greet(1), adds(1)], false),
            (vec![hail(1, 1), pull(), hail(1, 2)], true),
            (vec![hail(1, 1), hail(2, 2)], false),
            (vec![hail(1, 2), hail(1, 2)], false),
            (vec![hail(1, 2), hail(1, 1)], false),
            (vec![adds(1), adds(2)], true),
            (vec![adds(1), adds(1)], false),
            (vec![adds(1), greet(1)], false),
            (vec![pull()], false),
            (vec![Message::Consensus(1, ConsensusMessage::ReadRequest(1))], false),
        ] {
            let mut speakers = Speakers::default();
            let mut caller = Caller::new(&mut speakers);
            let said = words.iter().all(|word| caller.says(&mut speakers, word).is_ok());
            assert_eq!(said, well, "{words:?}");
        }
    }

    /// A data gateway's later connection takes its session over: what still arrives on the earlier one, its end included,
    /// changes nothing.
    #[test]
    fn an_earlier_connections_words_and_end_are_old() {
        let mut speakers = Speakers::default();
        let (mut first, mut second) = (Caller::new(&mut speakers), Caller::new(&mut speakers));
        assert!(first.says(&mut speakers, &hail(7, 1)).is_ok());
        assert!(second.says(&mut speakers, &hail(7, 1)).is_ok());
        assert!(first.says(&mut speakers, &hail(7, 2)).is_err());
        assert!(!first.ends(&mut speakers));
        assert!(second.says(&mut speakers, &hail(7, 2)).is_ok());
        assert!(second.ends(&mut speakers) && speakers.by.is_empty());
    }
}
