//! Who votes, decided once at the very first start. All processes are given the same three seeds then; where more disks may
//! be lost at once than three bear, the seeds take others in before anything else is stored. They decide as they decide on
//! any register, so that one set wins, and nothing is proposed before it is known: no register ever has two sets. Must
//! never decide anew, nor take part where the system has started before.

use crate::helm::{Change, Helm};
use crate::voter::Voter;
use crate::{Act, Record};
use signal::{Keeper, Node, Register, Word};
use std::collections::BTreeMap;

/// The seeds wait so long for others to take in: a process is up within a second, links within another.
const WAIT: f64 = 2.5;
/// Between two proposals of one seed.
const AGAIN: f64 = 1.0;

/// So many disks are needed to bear the loss of `losses` at once.
pub fn needed(losses: u32) -> usize {
    2 * losses as usize + 1
}

pub struct Founding {
    me: Node,
    seeds: Vec<Node>,
    needed: usize,
    began: f64,
    tried: f64,
    voter: Voter,
    helm: Helm,
}

impl Founding {
    pub fn new(now: f64, me: Node, seeds: &[Node], needed: usize, seed: u64) -> Founding {
        let (mut voter, mut helm) = (Voter::new(now, me, Some(BTreeMap::new())), Helm::new(me, seed));
        voter.set_voters(seeds);
        helm.set_voters(seeds);
        Founding { me, seeds: seeds.to_vec(), needed, began: now, tried: f64::NEG_INFINITY, voter, helm }
    }

    /// The set that is proposed: the seeds, and others from as many zones as there are.
    fn set(&self, keepers: &[Keeper]) -> Vec<Node> {
        let mut set = self.seeds.clone();
        let zone = |node: Node| keepers.iter().find(|k| k.node == node).map(|k| k.zone.as_str());
        while set.len() < self.needed {
            let crowd = |k: &Keeper| set.iter().filter(|&&node| zone(node) == Some(k.zone.as_str())).count();
            let free = keepers.iter().filter(|k| !set.contains(&k.node));
            let Some(next) = free.min_by_key(|k| (crowd(k), k.node)) else { break };
            set.push(next.node);
        }
        set.sort_unstable();
        set
    }

    pub fn tick(&mut self, now: f64, keepers: &[Keeper]) -> Vec<Act> {
        let mut acts = self.helm.tick_work(now);
        let set = self.set(keepers);
        let due = set.len() >= self.needed || now > self.began + WAIT;
        if due && now > self.tried + AGAIN && self.seeds.contains(&self.me) {
            self.tried = now;
            acts.extend(self.helm.propose(now, Change::Found(set), 0));
        }
        self.kept(acts)
    }

    /// A word about the founding; others are none of its business.
    pub fn hear(&mut self, now: f64, from: Node, word: &Word) -> Vec<Act> {
        let acts = match word {
            Word::Prepare(..) | Word::Accept(..) => self.voter.hear(from, word),
            _ => self.helm.hear(now, from, word),
        };
        self.kept(acts)
    }

    /// Its slots are not the voters' slots: a seed that dies before the set is known has forgotten all, and says so.
    fn kept(&self, acts: Vec<Act>) -> Vec<Act> {
        let own = |act: Act| match act {
            Act::Store(_, then) => Some(Act::Store(Record::default(), then)),
            Act::Send(..) => Some(act),
            Act::Learned(_) | Act::Done(..) => None,
        };
        acts.into_iter().filter_map(own).collect()
    }

    /// The set, once it is decided.
    pub fn decided(&self) -> Option<Vec<Node>> {
        self.helm.chosen(Register::Founders).map(|held| founders(&held.value))
    }
}

/// Is this word about the founding?
pub fn concerns(word: &Word) -> bool {
    match word {
        Word::Prepare(register, _)
        | Word::Promise(register, ..)
        | Word::Refuse(register, ..)
        | Word::Accepted(register, _)
        | Word::Accept(register, _) => *register == Register::Founders,
        _ => false,
    }
}

/// The nodes in a value of the founders' register.
fn founders(value: &[u8]) -> Vec<Node> {
    String::from_utf8_lossy(value).lines().filter_map(|line| line.parse().ok()).collect()
}
