//! One number, one text, ever; and an order's order: races of many operators at many gateways, with words lost, late and
//! twice, cuts, frozen and killed gateways, callers that move on and send again.

mod simulated_network;

use archlink_consensus::proposer::{Change, MAX_RECENT_VERSIONS, PROPOSAL_TIMEOUT, Proposer};
use archlink_consensus::{Effect, Outcome};
use archlink_messages::{
    ConsensusMessage, Message, NodeId, Register, VersionDigest, VoterSet, decode_evacuated_zones,
};
use simulated_network::Roads;
use std::collections::BTreeMap;

/// Longest search for a smaller case of a failure.
const SHRINK: std::time::Duration = std::time::Duration::from_secs(5);

const GATEWAYS: NodeId = 8;
const NUMBER: u64 = 5;
/// A caller that is not answered moves on after this, which is longer than any order lives.
const SILENCE: f64 = 1.0;

struct Caller {
    text: u8,
    at: NodeId,
    token: u64,
    since: f64,
    /// What it was told in the end.
    told: Option<Outcome>,
}

/// Callers with a text each under one number, all sent again until they are answered.
struct Race {
    roads: Roads,
    callers: Vec<Caller>,
    tokens: u64,
    /// Of which order each token was.
    texts: BTreeMap<u64, u8>,
    seen: usize,
    winner: Option<u8>,
}

impl Race {
    fn new(seed: u64, texts: u8) -> Race {
        let mut roads = Roads::new(seed, 3 + 2 * (seed % 2) as NodeId, GATEWAYS);
        roads.run(0.5);
        (roads.lossy, roads.twice, roads.sync, roads.fine) = (0.1, 0.2, 0.02, 0.005);
        let mut race =
            Race { roads, callers: Vec::new(), tokens: 0, texts: BTreeMap::new(), seen: 0, winner: None };
        for text in 0..texts {
            let (at, token, since, told) = (0, 0, 0.0, None);
            race.callers.push(Caller { text, at, token, since, told });
            race.send(usize::from(text));
        }
        race
    }

    fn send(&mut self, n: usize) {
        self.tokens += 1;
        let at = 1 + self.roads.chance.rand_range(0..u64::from(GATEWAYS)) as NodeId;
        let caller = &mut self.callers[n];
        (caller.at, caller.token, caller.since) = (at, self.tokens, self.roads.now);
        self.texts.insert(self.tokens, caller.text);
        if self.roads.awake(at) {
            self.roads.replace(at, self.tokens, NUMBER, self.callers[n].text);
        }
    }

    /// Every answer, also one that nobody waits for any more, is of one text.
    fn look(&mut self) {
        for &(_, token, outcome) in &self.roads.done[self.seen..] {
            let text = self.texts[&token];
            let stands = match outcome {
                Outcome::Chosen => text,
                Outcome::VersionConflict(mark) => {
                    assert_eq!(mark, VersionDigest { version: NUMBER, digest: [mark.digest[0]; 16] });
                    assert_ne!(mark.digest[0], text, "its own text stands");
                    mark.digest[0]
                }
                Outcome::Unknown => continue,
                Outcome::Rejected(_) => panic!("refused"),
            };
            assert_eq!(*self.winner.get_or_insert(stands), stands, "two texts under one number");
            let mine = self.callers.iter_mut().filter(|caller| caller.token == token);
            mine.for_each(|caller| caller.told = Some(outcome));
        }
        self.seen = self.roads.done.len();
    }

    fn run(&mut self, seconds: f64) {
        let until = self.roads.now + seconds;
        while self.roads.now < until {
            self.roads.turn();
            self.look();
            for n in 0..self.callers.len() {
                let Caller { at, token, since, told, .. } = self.callers[n];
                // A killed gateway's callers know at once.
                let gone = !self.roads.live.contains_key(&at) || self.roads.now > since + SILENCE;
                let ended = self.roads.outcome(token).is_some();
                if told.is_none() && (gone || ended) {
                    if let Some(control) = self.roads.live.get_mut(&at) {
                        control.proposer.withdraw(token);
                    }
                    self.send(n);
                }
            }
        }
    }
}

/// Guards against two texts acknowledged under one number, as the one that was not taken was told what the other was; and
/// against a resent one refused. Whoever asks later, wherever, and after however many higher numbers, is told the same.
#[test]
fn one_number_names_one_text_whatever_happens() {
    bolero::check!()
        .with_iterations(40)
        .with_shrink_time(SHRINK)
        .with_type::<(u64, u8, Vec<(u8, u8, u8)>)>()
        .for_each(|(seed, texts, plan)| {
            let mut race = Race::new(*seed, 2 + texts % 7);
            for &(what, who, length) in plan.iter().take(12) {
                let (node, other) = (NodeId::from(who % 8) + 1, NodeId::from(who / 8 % 8) + 1);
                let roads = &mut race.roads;
                match what % 6 {
                    0 => drop(roads.cut.insert((node, other))),
                    1 => roads.cut_off(node, what & 8 == 0, what & 16 == 0),
                    2 => drop(roads.frozen.insert(node, roads.now + f64::from(length) / 64.0)),
                    3 => roads.kill(node),
                    4 => roads.sync = f64::from(length) / 512.0,
                    _ => roads.cut.clear(),
                }
                race.run(f64::from(length) / 256.0);
                let dead: Vec<NodeId> =
                    (1..=GATEWAYS).filter(|node| !race.roads.live.contains_key(node)).collect();
                dead.into_iter().for_each(|node| race.roads.start(node));
            }
            race.roads.cut.clear();
            race.roads.frozen.clear();
            (race.roads.lossy, race.roads.sync) = (0.0, 0.02);
            race.run(8.0);
            let winner = race.winner.expect("one was taken");
            let mark = VersionDigest { version: NUMBER, digest: [winner; 16] };
            let told = |text| if text == winner { Outcome::Chosen } else { Outcome::VersionConflict(mark) };
            for caller in &race.callers {
                assert_eq!(caller.told, Some(told(caller.text)), "text {}", caller.text);
            }
            // Higher numbers later the same is said.
            race.texts.insert(1001, winner);
            let roads = &mut race.roads;
            roads.replace(2, 1000, NUMBER + 3, 99);
            assert_eq!(roads.until(1000), Outcome::Chosen);
            for text in 0..race.callers.len() as u8 {
                let token = 2000 + u64::from(text);
                roads.replace(1 + NodeId::from(text) % GATEWAYS, token, NUMBER, text);
                assert_eq!(roads.until(token), told(text), "text {text} after a higher number");
            }
            roads.run(0.5);
            assert!((1..=GATEWAYS).all(|node| roads.stamp(node, Register::Configuration) == NUMBER + 4));
        });
}

/// What holds at the ends of the line of numbers: its last ones are known, whatever was never taken is acknowledged and
/// alters nothing, and is not entered, also where another text comes under that number later.
#[test]
fn the_line_of_numbers_is_bounded_and_holds_what_was_taken_alone() {
    let mut roads = Roads::new(3, 3, 3);
    roads.run(0.5);
    let mut token = 0;
    let mut order = |roads: &mut Roads, version, text| {
        token += 1;
        roads.replace(1 + (token % 3) as NodeId, token, version, text);
        roads.until(token)
    };
    for n in 0..MAX_RECENT_VERSIONS as u64 + 1 {
        assert_eq!(order(&mut roads, 10 * (n + 1), n as u8), Outcome::Chosen);
    }
    let (oldest, newest) = (20, 10 * (MAX_RECENT_VERSIONS as u64 + 1));
    let mark = |version, text| Outcome::VersionConflict(VersionDigest { version, digest: [text; 16] });
    assert_eq!(order(&mut roads, oldest, 200), mark(oldest, 1), "the oldest in the line");
    assert_eq!(
        order(&mut roads, newest, 200),
        mark(newest, MAX_RECENT_VERSIONS as u8),
        "the one that stands"
    );
    assert_eq!(order(&mut roads, oldest, 1), Outcome::Chosen);
    for (version, text) in [(15, 200), (15, 201), (10, 200)] {
        assert_eq!(
            order(&mut roads, version, text),
            Outcome::Chosen,
            "{version} was never seen, or long ago"
        );
    }
    let held = roads.live[&1].proposer.chosen(Register::Configuration).expect("a configuration").clone();
    assert_eq!((held.revision, held.recent_versions.len()), (newest + 1, MAX_RECENT_VERSIONS));
    assert_eq!(held.value, format!("text {MAX_RECENT_VERSIONS}"));
}

/// An operator alone: `Begin`, again at other gateways until it is acknowledged, then `Finish` likewise. Nothing that is
/// left of any of them brings the evacuation back.
#[test]
fn what_is_left_of_a_begin_never_undoes_a_finish() {
    bolero::check!()
        .with_iterations(120)
        .with_shrink_time(SHRINK)
        .with_type::<(u64, Vec<(u8, u8, u8)>)>()
        .for_each(|(seed, plan)| {
            let mut roads = Roads::new(*seed, 3, 5);
            roads.run(0.5);
            (roads.lossy, roads.twice, roads.sync, roads.fine) = (0.15, 0.2, 0.01, 0.005);
            let mut plan = plan.iter().take(12);
            let mut token = 0;
            let mut calls = 0;
            for on in [true, false] {
                loop {
                    (token, calls) = (token + 1, calls + 1);
                    if let Some(&(what, who, length)) = plan.next() {
                        let node = NodeId::from(who % 5) + 1;
                        match what % 5 {
                            0 => roads.cut_off(node, what & 8 == 0, what & 16 == 0),
                            1 => drop(roads.frozen.insert(node, roads.now + f64::from(length) / 100.0)),
                            2 => roads.sync = f64::from(length) / 512.0,
                            3 => roads.lossy = f64::from(length) / 600.0,
                            _ => roads.cut.clear(),
                        }
                    } else {
                        roads.cut.clear();
                        (roads.lossy, roads.sync) = (0.0, 0.01);
                    }
                    let at = 1 + roads.chance.rand_range(0..5) as NodeId;
                    let (since, frozen) = (roads.now, !roads.awake(at));
                    // Its connection may break off at any time, which an order is told of unless its gateway stands still.
                    let breaks = since + 1.2 * roads.chance.rand_float();
                    if !frozen {
                        roads.evacuate(at, token, on);
                    }
                    while roads.outcome(token).is_none()
                        && roads.now < since + SILENCE
                        && (roads.now < breaks || !roads.awake(at))
                    {
                        roads.turn();
                    }
                    if let Some(control) = roads.live.get_mut(&at) {
                        control.proposer.withdraw(token);
                    }
                    assert!(calls < 60, "never acknowledged");
                    if roads.outcome(token) == Some(Outcome::Chosen) {
                        break;
                    }
                }
            }
            roads.cut.clear();
            roads.frozen.clear();
            roads.run(4.0);
            for control in roads.live.values() {
                let held = control.proposer.chosen(Register::Evacuations).expect("a set of zones");
                assert!(decode_evacuated_zones(&held.value).is_empty(), "the evacuation is back");
            }
        });
}

/// Guards against an order whose caller was gone and which was tried anew, as it had come to its last step once.
#[test]
fn an_order_whose_caller_is_gone_is_not_tried_anew() {
    let mut roads = Roads::new(6, 3, 4);
    roads.run(0.5);
    roads.evacuate(4, 1, true);
    // It is promised, and what it asks to be accepted is lost.
    roads.unheard.extend([(4, 1), (4, 2), (4, 3)]);
    while !roads.accepts.contains_key(&4) {
        roads.turn();
    }
    roads.live.get_mut(&4).expect("a gateway").proposer.withdraw(1);
    for (token, on) in [(2, true), (3, false)] {
        roads.evacuate(1, token, on);
        assert_eq!(roads.until(token), Outcome::Chosen);
    }
    roads.unheard.clear();
    roads.run(2.0);
    let held = roads.live[&1].proposer.chosen(Register::Evacuations).expect("a set of zones");
    assert!(decode_evacuated_zones(&held.value).is_empty(), "undone by what was left of an order");
}

/// After its time nothing is asked to be accepted, however long the gateway stood still between two steps; and each order
/// ends.
#[test]
fn no_order_outlives_its_time() {
    for seed in 0..60 {
        let mut roads = Roads::new(seed, 3, 4);
        roads.run(0.5);
        roads.sync = 0.04;
        let began = roads.now;
        roads.evacuate(4, 1, true);
        roads.evacuate(4, 2, false);
        roads.run(0.004 * (seed % 20) as f64);
        roads.frozen.insert(4, roads.now + 0.05 * (seed % 30) as f64);
        roads.run(3.0);
        let last = roads.accepts.get(&4).copied().unwrap_or(0.0);
        assert!(last <= began + PROPOSAL_TIMEOUT, "seed {seed}: {} after it came", last - began);
        assert!(roads.outcome(1).is_some() && roads.outcome(2).is_some(), "seed {seed}");
    }
}

/// Guards against a refusal by what a minority holds: it may never stand.
#[test]
fn nobody_is_told_of_a_text_that_is_not_chosen() {
    let mut roads = Roads::new(7, 3, 5);
    roads.run(0.5);
    // Sends an order that voters beyond `reached` are never asked to accept.
    let half = |roads: &mut Roads, node: NodeId, token: u64, text: u8, reached: NodeId| {
        roads.unheard.extend((reached + 1..=3).map(|voter| (node, voter)));
        roads.replace(node, token, NUMBER, text);
        assert_eq!(roads.until(token), Outcome::Unknown);
    };
    half(&mut roads, 4, 1, 1, 1);
    roads.kill(4);
    // The other one hears of the first text by a voter's promise, and can't get it accepted.
    roads.cut.insert((3, 5));
    half(&mut roads, 5, 2, 2, 0);
    roads.cut.clear();
    roads.unheard.clear();
    roads.cut_off(1, true, true);
    roads.replace(5, 3, NUMBER, 2);
    assert_eq!(roads.until(3), Outcome::Chosen, "nothing stands in its way");
    roads.cut.clear();
    roads.replace(3, 4, NUMBER, 1);
    assert_eq!(roads.until(4), Outcome::VersionConflict(VersionDigest { version: NUMBER, digest: [2; 16] }));
}

/// Guards against an order acknowledged by voters of which one had lost its disk, and was back, before the other heard of it:
/// its gateway stood still meanwhile, and took both answers when it woke.
#[test]
fn what_is_accepted_after_its_time_is_not_acknowledged() {
    for (woke, acknowledged) in [(0.5, true), (3.0, false)] {
        let mut proposer = Proposer::new(9, 1);
        proposer.set_voter_set(0.0, &VoterSet::initial(&[1, 2, 3]));
        let (version, digest, text) = (NUMBER, [1; 16], "text".into());
        proposer.propose(1.0, Change::Configuration { version, digest, text }, 1);
        let sent = |effects: Vec<Effect>| {
            let poll = |effect| {
                if let Effect::Send(_, Message::Consensus(_, poll)) = effect { Some(poll) } else { None }
            };
            effects.into_iter().find_map(poll)
        };
        let Some(ConsensusMessage::Prepare(register, proposal)) = sent(proposer.tick(1.36)) else {
            panic!("no second attempt")
        };
        proposer.step(1.4, 1, &ConsensusMessage::Promise(register, proposal, None));
        let asked = sent(proposer.step(1.4, 2, &ConsensusMessage::Promise(register, proposal, None)));
        assert!(matches!(asked, Some(ConsensusMessage::Accept(..))));
        proposer.step(1.4, 1, &ConsensusMessage::Accepted(register, proposal));
        let effects = proposer.step(1.0 + woke, 2, &ConsensusMessage::Accepted(register, proposal));
        let done =
            effects.iter().any(|effect| matches!(effect, Effect::ProposalResolved(1, Outcome::Chosen)));
        assert_eq!((done, proposer.chosen(register).is_some()), (acknowledged, acknowledged));
    }
}
