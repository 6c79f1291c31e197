//! One voter's side of the registers: what it has promised and accepted, always as it stands on its disk before anybody
//! hears of it. A voter whose disk is gone has forgotten its promises: it is silent until it has read what a majority of
//! the set holds beside itself; one that is to get a seat, until it has read what a majority of those before it hold. A gateway
//! without a seat whose disk was emptied reads as well, so that it can take a seat at once, after a kill of all too. Must never
//! answer from what is not on disk.

use crate::{Act, Record};
use archlink_messages::{Ballot, Held, Muster, Node, Poll, REGISTERS, Register, Slot};
use std::collections::{BTreeMap, BTreeSet};

/// Longer than any attempt to write lives (`helm::OWN_LIFE`), by clocks that run apart by a quarter, held-up answers of its first half included: a voter that
/// forgot a promise is back only when the attempt that it was made to is over, so that it can't be counted twice.
const FORGET: f64 = 2.5;
/// Who has not told by then is asked again, and then only after twice as long each time: two ways and two slow syncs fit in,
/// and a large configuration on a narrow link is not sent again while it is still coming.
const RECALL_AGAIN: f64 = 0.75;
/// The longest such wait: so much of a time without links is lost after it, where they don't come up anew.
const RECALL_MOST: f64 = 4.0;

/// What a voter without a memory has done to get it back. An answer counts whenever it comes: it was given after `FORGET`, when
/// all attempts that counted a word from before the loss were over, so that whoever told has since then only promised and
/// accepted more, in majorities without this voter. Such a majority and the next one with it meet elsewhere.
#[derive(Clone, Debug, Default)]
struct Recall {
    since: f64,
    /// When each was asked last, and how long to wait before it is asked again.
    asked: BTreeMap<Node, (f64, f64)>,
    told: BTreeMap<Node, Vec<(Register, Slot)>>,
}

#[derive(Clone, Debug)]
enum Memory {
    Whole,
    /// Of one that is to get a seat: all that it promised is there, but not what the seats before it hold.
    Joining(Recall),
    Forgotten(Recall),
}

impl Memory {
    fn recall(&mut self) -> Option<&mut Recall> {
        match self {
            Memory::Whole => None,
            Memory::Joining(recall) | Memory::Forgotten(recall) => Some(recall),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Voter {
    me: Node,
    muster: Muster,
    slots: BTreeMap<Register, Slot>,
    memory: Memory,
    serial: u64,
    /// Registers whose value this voter may only have read from others, after it had promised a later ballot: it hands on what it
    /// read, but does not count among those that accepted it.
    read: BTreeSet<Register>,
}

impl Voter {
    /// `slots` is what the disk gave back; none where there should have been something and is not.
    pub fn new(now: f64, me: Node, slots: Option<BTreeMap<Register, Slot>>) -> Voter {
        let forgotten = Memory::Forgotten(Recall { since: now, ..Recall::default() });
        let memory = if slots.is_some() { Memory::Whole } else { forgotten };
        let (muster, slots) = (Muster::default(), slots.unwrap_or_default());
        let mut voter = Voter { me, muster, slots, memory, serial: 0, read: BTreeSet::new() };
        voter.mark_read();
        voter
    }

    /// Another epoch: what was told in the one before counts for nothing, and is asked for anew at once.
    pub fn set_muster(&mut self, muster: &Muster) {
        self.muster = muster.clone();
        let comes = muster.coming.contains(&self.me) && !muster.seats.contains(&self.me);
        self.memory = match &self.memory {
            Memory::Forgotten(Recall { since, .. }) => {
                Memory::Forgotten(Recall { since: *since, ..Recall::default() })
            }
            // It promised nothing yet that counts in this epoch: no attempt has to be waited for.
            _ if comes => Memory::Joining(Recall { since: f64::NEG_INFINITY, ..Recall::default() }),
            _ => Memory::Whole,
        };
    }

    /// The number of this life's questions, by chance: answers to an earlier life's may come late, and tell of what was held
    /// before that life promised more.
    pub fn set_serial(&mut self, number: u64) {
        self.serial = number;
    }

    /// A link to that one came up anew: what was asked or told on the one before may be lost.
    pub fn greeted(&mut self, from: Node) {
        if let Some((at, _)) = self.memory.recall().and_then(|recall| recall.asked.get_mut(&from)) {
            *at = f64::NEG_INFINITY;
        }
    }

    /// A value below what is promised may have been read, or accepted before the promise: the disk doesn't tell, and the first is
    /// taken to be so. What stands under the very ballot that was promised may be counted either way.
    fn mark_read(&mut self) {
        let below = |slot: &Slot| slot.held.as_ref().is_some_and(|held| held.ballot < slot.promised);
        self.read =
            self.slots.iter().filter(|(_, slot)| below(slot)).map(|(register, _)| *register).collect();
    }

    /// Registers on which this voter does not count until it accepts again.
    pub fn read(&self) -> Vec<Register> {
        self.read.iter().copied().collect()
    }

    /// Whose slots it has to read: those of a majority of the seats. While the set changes also where it is one that comes:
    /// whatever is chosen then, a majority of the seats promised and accepted too.
    fn tellers(&self) -> Muster {
        Muster { coming: Vec::new(), ..self.muster.clone() }
    }

    /// May it be counted in a majority?
    pub fn whole(&self) -> bool {
        matches!(self.memory, Memory::Whole)
    }

    fn votes(&self) -> bool {
        self.whole() && self.muster.votes(self.me)
    }

    /// Asks those that have not told yet for what was forgotten; called now and then.
    pub fn tick(&mut self, now: f64) -> Vec<Act> {
        let (tellers, word) = (self.tellers(), self.muster.say(Poll::Recall(self.serial)));
        let Some(recall) = self.memory.recall().filter(|recall| now >= recall.since + FORGET) else {
            return Vec::new();
        };
        let mut acts = Vec::new();
        for node in tellers.voters() {
            let (at, wait) = recall.asked.get(&node).copied().unwrap_or((f64::NEG_INFINITY, RECALL_AGAIN));
            if node != self.me && !recall.told.contains_key(&node) && now >= at + wait {
                let next = if at.is_finite() { (2.0 * wait).min(RECALL_MOST) } else { wait };
                recall.asked.insert(node, (now, next));
                acts.push(Act::Send(node, word.clone()));
            }
        }
        acts
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
                if *ballot == slot.promised {
                    // Asked again: what it promised stands.
                    let promise = Poll::Promise(*register, *ballot, slot.held.clone());
                    return self.after_disk(from, promise);
                }
                if *ballot < slot.promised {
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
                if slot.held.as_ref() == Some(held) && !self.read.contains(register) {
                    // Asked again: it is on its disk, or on its way there before this word.
                    return self.after_disk(from, Poll::Accepted(*register, held.ballot));
                }
                slot.promised = held.ballot;
                slot.held = Some(held.clone());
                self.read.remove(register);
                self.store(*register, from, Poll::Accepted(*register, held.ballot))
            }
            Poll::Ask(serial) => {
                let ballot = |r: &Register| {
                    self.slots.get(r).and_then(|s| s.held.as_ref()).map_or(Ballot::default(), |h| h.ballot)
                };
                let accepted = REGISTERS.iter().filter(|r| !self.read.contains(r));
                let ballots = accepted.map(|r| (*r, ballot(r))).collect();
                self.after_disk(from, Poll::Answer(*serial, ballots))
            }
            Poll::Fetch(register) => match self.slots.get(register).and_then(|s| s.held.clone()) {
                Some(held) => self.after_disk(from, Poll::Fetched(*register, held)),
                None => Vec::new(),
            },
            _ => Vec::new(),
        }
    }

    /// A majority of the seats beside itself has told: whatever it had promised or accepted that counts, one of these has; and
    /// none of them votes in an earlier epoch any more.
    fn recalled(&mut self, from: Node, answer: u64, slots: &[(Register, Slot)]) -> Vec<Act> {
        let (tellers, serial) = (self.tellers(), self.serial);
        let Some(recall) = self.memory.recall() else { return Vec::new() };
        if answer != serial || from == self.me || !recall.asked.contains_key(&from) {
            return Vec::new();
        }
        recall.told.insert(from, slots.to_vec());
        if !tellers.enough(|node| recall.told.contains_key(&node)) {
            return Vec::new();
        }
        for (register, other) in std::mem::take(&mut recall.told).into_values().flatten() {
            let slot = self.slots.entry(register).or_default();
            slot.promised = slot.promised.max(other.promised);
            if other.held.as_ref().map(|h| h.ballot) > slot.held.as_ref().map(|h| h.ballot) {
                slot.held = other.held;
            }
        }
        self.memory = Memory::Whole;
        self.mark_read();
        vec![Act::Store(Record { slots: self.slots(), ..Record::default() }, Vec::new())]
    }

    /// Founds anew: who votes, as the value under the first ballot of the new founding, which outranks all of the old ones.
    /// What else is held stays as it is, to be settled under the new founding.
    pub fn found(&mut self, held: Held) {
        let slot = Slot { promised: held.ballot, held: Some(held) };
        self.slots.insert(Register::Muster, slot);
    }

    /// All that it has promised and accepted.
    pub fn slots(&self) -> Vec<(Register, Slot)> {
        self.slots.iter().map(|(register, slot)| (*register, slot.clone())).collect()
    }
}
