//! What must hold in every step, whatever happens: a register's chosen values form one line, by ballot and by stamp, with
//! one content a stamp; an epoch names one set; what was acknowledged is in the line; whoever has a register confirmed holds
//! nothing older than what anybody knew when that was asked. Must never look at what a gateway could not be seen to do.

use archlink_consensus::proposer::Proposer;
use archlink_consensus::{MembershipChange, Outcome};
use archlink_control_node::node::ControlNodeState;
use archlink_messages::{
    AcceptedValue, NodeId, ProposalNumber, REGISTERS, Register, VersionDigest, VoterSet,
    decode_evacuated_zones,
};
use bytes::Bytes;
use std::collections::BTreeMap;

/// Of a clock's reading, in seconds, turned back into made-up time.
const ROUNDING: f64 = 1e-6;

/// What operators order.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Chart { version: u64, digest: [u8; 16], text: Bytes },
    Zone { zone: String, on: bool },
    Reseat(MembershipChange),
}

impl Order {
    fn register(&self) -> Register {
        match self {
            Order::Chart { .. } => Register::Configuration,
            Order::Zone { .. } => Register::Evacuations,
            Order::Reseat(_) => Register::VoterSet,
        }
    }
}

/// An order's life.
#[derive(Clone, Debug)]
pub struct Given {
    pub node: NodeId,
    pub order: Order,
    pub at: f64,
    pub ended: Option<(f64, Outcome)>,
}

/// A chosen value, and when somebody first knew it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub stamp: u64,
    pub value: Bytes,
    pub at: f64,
}

/// All that was chosen of one register, as far as anybody learned it.
#[derive(Clone, Debug, Default)]
pub struct Line {
    pub values: BTreeMap<ProposalNumber, Seen>,
    /// The greatest ballot that anybody knew, from when on.
    newest: Vec<(f64, ProposalNumber)>,
}

impl Line {
    fn learned(&mut self, now: f64, held: &AcceptedValue) -> Result<(), String> {
        if let Some(seen) = self.values.get(&held.proposal) {
            let same = seen.stamp == held.revision && seen.value == held.value;
            return if same {
                Ok(())
            } else {
                Err(format!("two values under one ballot: {seen:?} {held:?}"))
            };
        }
        let fits = |(before, value): (u64, &Bytes), (after, then): (u64, &Bytes)| {
            before < after || (before == after && value == then)
        };
        let mine = (held.revision, &held.value);
        let before =
            self.values.range(..held.proposal).next_back().map(|(_, seen)| (seen.stamp, &seen.value));
        let after = self.values.range(held.proposal..).next().map(|(_, seen)| (seen.stamp, &seen.value));
        if before.is_some_and(|before| !fits(before, mine)) || after.is_some_and(|after| !fits(mine, after)) {
            return Err(format!("no line: {held:?} between {before:?} and {after:?}"));
        }
        self.values.insert(held.proposal, Seen { stamp: held.revision, value: held.value.clone(), at: now });
        if self.newest.last().is_none_or(|(_, newest)| *newest < held.proposal) {
            self.newest.push((now, held.proposal));
        }
        Ok(())
    }

    /// The greatest ballot that anybody knew before that moment.
    fn known_before(&self, at: f64) -> Option<ProposalNumber> {
        let before = self.newest.partition_point(|(known, _)| *known < at - ROUNDING);
        before.checked_sub(1).map(|n| self.newest[n].1)
    }

    /// The last value.
    pub fn last(&self) -> Option<&Seen> {
        self.values.values().next_back()
    }
}

/// What was last seen of one gateway, so that only what is new is looked at.
#[derive(Clone, Copy, Debug, Default)]
struct Last {
    life: u64,
    epoch: u64,
    proposals: [ProposalNumber; REGISTERS.len()],
    confirmed: [Option<f64>; REGISTERS.len()],
}

/// All that was seen, by register, epoch and token.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    pub lines: BTreeMap<Register, Line>,
    pub voter_sets: BTreeMap<u64, VoterSet>,
    pub orders: BTreeMap<u64, Given>,
    /// Of which text each number of a configuration was taken.
    pub marks: BTreeMap<u64, [u8; 16]>,
    last: BTreeMap<NodeId, Last>,
}

impl Checks {
    /// After a step of a gateway. `of_clock` turns its clock's readings into made-up time.
    pub fn looked(
        &mut self,
        now: f64,
        node: NodeId,
        life: u64,
        control: &ControlNodeState,
        of_clock: impl Fn(f64) -> f64,
    ) -> Result<(), String> {
        let last = self.last.entry(node).or_default();
        if last.life != life {
            *last = Last { life, ..Last::default() };
        }
        let voter_set = control.voter_set();
        if voter_set.epoch != last.epoch {
            if voter_set.epoch < last.epoch {
                return Err(format!("{node} went back to epoch {}", voter_set.epoch));
            }
            last.epoch = voter_set.epoch;
            let known = self.voter_sets.entry(voter_set.epoch).or_insert_with(|| voter_set.clone());
            if known != voter_set {
                return Err(format!("two sets of one epoch: {known:?} {voter_set:?}"));
            }
        }
        for (n, register) in REGISTERS.into_iter().enumerate() {
            let chosen = control.proposer.chosen(register);
            let proposal = chosen.map_or(ProposalNumber::default(), |held| held.proposal);
            if let Some(held) = chosen.filter(|_| proposal != last.proposals[n]) {
                if proposal < last.proposals[n] {
                    return Err(format!("{node} went back to {held:?}"));
                }
                last.proposals[n] = proposal;
                self.lines.entry(register).or_default().learned(now, held)?;
                for mark in &held.recent_versions {
                    if *self.marks.entry(mark.version).or_insert(mark.digest) != mark.digest {
                        return Err(format!("two texts under one number: {mark:?} in {held:?}"));
                    }
                }
            }
            let confirmed = control.proposer.confirmed(register);
            if let Some(asked) = confirmed.filter(|_| confirmed != last.confirmed[n]) {
                last.confirmed[n] = confirmed;
                let known = self.lines.get(&register).and_then(|line| line.known_before(of_clock(asked)));
                if known.is_some_and(|known| known > proposal) {
                    return Err(format!(
                        "{node} has {register:?} {proposal:?} confirmed, {known:?} was known before"
                    ));
                }
            }
        }
        Ok(())
    }

    pub fn given(&mut self, now: f64, node: NodeId, token: u64, order: Order) {
        self.orders.insert(token, Given { node, order, at: now, ended: None });
    }

    pub fn is_open(&self, token: u64) -> bool {
        self.orders.get(&token).is_some_and(|given| given.ended.is_none())
    }

    /// Orders under way at a gateway.
    pub fn open(&self, node: NodeId) -> Vec<u64> {
        let open =
            |(token, given): (&u64, &Given)| (given.node == node && given.ended.is_none()).then_some(*token);
        self.orders.iter().filter_map(open).collect()
    }

    /// An order's end; `helm` is that of the gateway that tells of it.
    pub fn ended(
        &mut self,
        now: f64,
        token: u64,
        outcome: Outcome,
        proposer: Option<&Proposer>,
    ) -> Result<(), String> {
        // Tokens that no order has are the test's own.
        let Some(given) = self.orders.get_mut(&token) else { return Ok(()) };
        given.ended.get_or_insert((now, outcome));
        let (Outcome::Chosen | Outcome::VersionConflict(_), Some(proposer)) = (outcome, proposer) else {
            return Ok(());
        };
        let given = given.clone();
        let line = self.lines.get(&given.order.register());
        let line: Vec<&Seen> = line.map(|line| line.values.values().collect()).unwrap_or_default();
        match &given.order {
            Order::Chart { version, digest, text } => {
                let stamp = proposer.chosen(Register::Configuration).map_or(0, |held| held.revision);
                let stands = line.iter().find(|seen| seen.stamp == version + 1);
                if stamp <= *version {
                    return Err(format!("{version} is acknowledged, {stamp} is the newest stamp"));
                }
                let own = stands.is_none_or(|seen| seen.value == *text);
                if !own && outcome == Outcome::Chosen {
                    return Err(format!("{text:?} is acknowledged, {stands:?} stands"));
                }
                // A number that was passed over before anybody took it alters nothing and is acknowledged.
                let taken =
                    self.marks.get(version).map(|&digest| VersionDigest { version: *version, digest });
                let told = match taken {
                    Some(mark) if mark.digest != *digest => Outcome::VersionConflict(mark),
                    _ => Outcome::Chosen,
                };
                if told != outcome {
                    return Err(format!("{text:?} is told {outcome:?}, {taken:?} is in the line"));
                }
            }
            Order::Zone { zone, on } => {
                // One of the values that stood while the order was under way has it.
                let mut found = line.is_empty();
                for seen in line.iter().rev() {
                    found |= decode_evacuated_zones(&seen.value).contains(zone) == *on;
                    if found || seen.at < given.at {
                        break;
                    }
                }
                if !found {
                    return Err(format!("{:?} is acknowledged and nowhere to be seen", given.order));
                }
            }
            Order::Reseat(_) => {}
        }
        Ok(())
    }

    /// The newest configuration's stamp that an acknowledgement vouches for.
    pub fn acknowledged(&self) -> u64 {
        let stamp = |given: &Given| match (&given.order, given.ended) {
            (Order::Chart { version, .. }, Some((_, Outcome::Chosen))) => version + 1,
            _ => 0,
        };
        self.orders.values().map(stamp).max().unwrap_or(0)
    }
}
