//! One voter's side of the registers: what it has promised and accepted, always as it stands on its disk before anybody
//! hears of it. A voter whose disk is gone has forgotten its promises: it is silent until it has read what a majority of
//! the set holds beside itself. Must never answer from what is not on disk.

use crate::{Act, Record};
use signal::{Ballot, Muster, Node, Poll, REGISTERS, Register, Slot};
use std::collections::BTreeMap;

/// Longer than any attempt to write lives (`helm::LIFE`), held-up answers of its first half included: a voter that
/// forgot a promise is back only when the attempt that it was made to is over, so that it can't be counted twice.
const FORGET: f64 = 2.5;
const RECALL_EVERY: f64 = 0.25;

#[derive(Clone, Debug)]
enum Memory {
    Whole,
    Forgotten { since: f64, asked: f64, serial: u64, told: BTreeMap<Node, Vec<(Register, Slot)>> },
}

#[derive(Clone, Debug)]
pub struct Voter {
    me: Node,
    muster: Muster,
    slots: BTreeMap<Register, Slot>,
    memory: Memory,
}

impl Voter {
    /// `slots` is what the disk gave back; none where there should have been something and is not.
    pub fn new(now: f64, me: Node, slots: Option<BTreeMap<Register, Slot>>) -> Voter {
        let forgotten =
            Memory::Forgotten { since: now, asked: f64::NEG_INFINITY, serial: 0, told: BTreeMap::new() };
        let memory = if slots.is_some() { Memory::Whole } else { forgotten };
        Voter { me, muster: Muster::default(), slots: slots.unwrap_or_default(), memory }
    }

    pub fn set_muster(&mut self, muster: &Muster) {
        self.muster = muster.clone();
    }

    /// May it be counted in a majority?
    pub fn whole(&self) -> bool {
        matches!(self.memory, Memory::Whole)
    }

    fn votes(&self) -> bool {
        self.whole() && self.muster.votes(self.me)
    }

    /// Asks the others for what was forgotten; called now and then.
    pub fn tick(&mut self, now: f64) -> Vec<Act> {
        let Memory::Forgotten { since, asked, serial, told } = &mut self.memory else { return Vec::new() };
        if now < *since + FORGET || now < *asked + RECALL_EVERY || !self.muster.votes(self.me) {
            return Vec::new();
        }
        *asked = now;
        *serial += 1;
        told.clear();
        let word = self.muster.say(Poll::Recall(*serial));
        let others = self.muster.voters().into_iter().filter(|&node| node != self.me);
        others.map(|node| Act::Send(node, word.clone())).collect()
    }

    fn store(&self, register: Register, to: Node, poll: Poll) -> Vec<Act> {
        let slots = vec![(register, self.slots[&register].clone())];
        vec![Act::Store(Record { slots, ..Record::default() }, vec![(to, self.muster.say(poll))])]
    }

    /// What it holds, said only after all that was written before is on disk.
    fn after_disk(&self, to: Node, poll: Poll) -> Vec<Act> {
        vec![Act::Store(Record::default(), vec![(to, self.muster.say(poll))])]
    }

    pub fn hear(&mut self, from: Node, poll: &Poll) -> Vec<Act> {
        match poll {
            Poll::Recalled(serial, slots, _) => self.recalled(from, *serial, slots),
            _ if !self.votes() => Vec::new(),
            Poll::Prepare(register, ballot) => {
                let slot = self.slots.entry(*register).or_default();
                if *ballot <= slot.promised {
                    let refusal = Poll::Refuse(*register, *ballot, slot.promised);
                    return self.after_disk(from, refusal);
                }
                slot.promised = *ballot;
                let promise = Poll::Promise(*register, *ballot, slot.held.clone());
                self.store(*register, from, promise)
            }
            Poll::Accept(register, held) => {
                let slot = self.slots.entry(*register).or_default();
                if held.ballot < slot.promised {
                    let refusal = Poll::Refuse(*register, held.ballot, slot.promised);
                    return self.after_disk(from, refusal);
                }
                slot.promised = held.ballot;
                slot.held = Some(held.clone());
                self.store(*register, from, Poll::Accepted(*register, held.ballot))
            }
            Poll::Ask(serial) => {
                let ballot = |r: &Register| {
                    self.slots.get(r).and_then(|s| s.held.as_ref()).map_or(Ballot::default(), |h| h.ballot)
                };
                let ballots = REGISTERS.iter().map(|r| (*r, ballot(r))).collect();
                self.after_disk(from, Poll::Answer(*serial, ballots))
            }
            Poll::Fetch(register) => match self.slots.get(register).and_then(|s| s.held.clone()) {
                Some(held) => self.after_disk(from, Poll::Fetched(*register, held)),
                None => Vec::new(),
            },
            _ => Vec::new(),
        }
    }

    /// A majority of the set beside itself has told: whatever it had promised or accepted that counts, one of these has.
    fn recalled(&mut self, from: Node, answer: u64, slots: &[(Register, Slot)]) -> Vec<Act> {
        let Memory::Forgotten { serial, told, .. } = &mut self.memory else { return Vec::new() };
        if answer != *serial || from == self.me || !self.muster.votes(from) {
            return Vec::new();
        }
        told.insert(from, slots.to_vec());
        if !self.muster.enough(|node| told.contains_key(&node)) {
            return Vec::new();
        }
        for (register, other) in std::mem::take(told).into_values().flatten() {
            let slot = self.slots.entry(register).or_default();
            slot.promised = slot.promised.max(other.promised);
            if other.held.as_ref().map(|h| h.ballot) > slot.held.as_ref().map(|h| h.ballot) {
                slot.held = other.held;
            }
        }
        self.memory = Memory::Whole;
        vec![Act::Store(Record { slots: self.slots(), ..Record::default() }, Vec::new())]
    }

    /// All that it has promised and accepted.
    pub fn slots(&self) -> Vec<(Register, Slot)> {
        self.slots.iter().map(|(register, slot)| (*register, slot.clone())).collect()
    }
}
