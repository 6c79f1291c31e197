//! What a control gateway may say that a majority has not confirmed lately, and since when one has: reads at any rate,
//! slow disks, answers out of order, late and of earlier lives, gateways that are cut off.

mod simulated_network;

use archlink_consensus::Effect;
use archlink_consensus::proposer::Proposer;
use archlink_control_node::event_log::Event;
use archlink_messages::{
    AcceptedValue, ConsensusMessage, Heartbeat, HostList, Message, NodeId, ProposalNumber, Register,
    StateUpdate, VersionVector, VoterSet,
};
use simulated_network::Roads;

/// Longest search for a smaller case of a failure.
const SHRINK: std::time::Duration = std::time::Duration::from_secs(5);

/// Guards against reads that starve confirmation: each one began a new question and dropped the answers on their way, so
/// that with a read every few milliseconds none was ever answered, and every lease ended.
#[test]
fn a_thousand_reads_a_second_are_confirmed_at_one_question_a_round_trip() {
    const ROUND_TRIP: f64 = 0.024;
    let mut roads = Roads::new(1, 3, 3);
    roads.run(1.0);
    roads.replace(2, 1, 7, 1);
    roads.run(1.0);
    let quiet = (roads.asks, roads.bytes);
    roads.run(2.0);
    let quiet = (roads.asks - quiet.0, roads.bytes - quiet.1);
    let before = (roads.asks, roads.bytes);
    let (mut waiting, mut slowest): (Vec<f64>, f64) = (Vec::new(), 0.0);
    let until = roads.now + 2.0;
    while roads.now < until {
        for _ in 0..2 {
            roads.step(1, |control, now| control.proposer.request_confirmation(now));
            waiting.push(roads.now);
        }
        roads.turn();
        let confirmed = roads.now - roads.age(1, Register::Configuration);
        waiting.iter().filter(|at| **at <= confirmed).for_each(|at| slowest = slowest.max(roads.now - at));
        waiting.retain(|at| *at > confirmed);
        let age = roads.age(1, Register::Configuration);
        assert!(age < 3.0 * ROUND_TRIP || roads.now < until - 1.9, "{age}");
    }
    let (asks, bytes) = (roads.asks - before.0, roads.bytes - before.1);
    println!("quiet {quiet:?}, read {:?} asks and bytes in 2 s, slowest read {slowest:.3}", (asks, bytes));
    assert!(slowest < 2.5 * ROUND_TRIP, "{slowest}");
    // Each question goes to two others; the shortest way there and back is half of the longest.
    assert!(asks < quiet.0 + 2 * (2.0 / (0.5 * ROUND_TRIP)) as usize, "{asks} questions");
}

/// Guards against confirmation that starves where answers take longer than from one question to the next, as they do behind
/// disks that are always in a slow sync.
#[test]
fn slow_disks_delay_confirmation_and_do_not_end_it() {
    for sync in [0.5, 0.9, 1.5] {
        let mut roads = Roads::new(4, 3, 3);
        roads.run(1.0);
        (roads.sync, roads.grind) = (sync, true);
        roads.run(2.0 * sync);
        let mut oldest: f64 = 0.0;
        for turn in 0..4000 {
            // And whether somebody reads all the while makes no difference.
            if turn > 2000 {
                roads.step(1, |control, now| control.proposer.request_confirmation(now));
            }
            roads.turn();
            oldest = oldest.max(roads.age(1, Register::Configuration));
        }
        println!("a sync of {sync} s: confirmed at most {oldest:.2} s ago");
        assert!(oldest < 0.4 + 2.0 * 1.2 * sync + 0.1, "{oldest} with {sync}");
    }
}

fn proposal(round: u64) -> ProposalNumber {
    ProposalNumber { round, node: 9, nonce: 0 }
}

fn held(round: u64) -> AcceptedValue {
    AcceptedValue { proposal: proposal(round), revision: round, ..AcceptedValue::default() }
}

/// One that asks and three voters that are asked, of which any two make a value chosen by holding it.
struct Asked {
    now: f64,
    proposer: Proposer,
    voters: [u64; 3],
    newest: u64,
    /// Each value and since when it is chosen.
    chosen: Vec<(u64, f64)>,
    way: Vec<(f64, NodeId, ConsensusMessage)>,
}

impl Asked {
    fn proposer(seed: u64) -> Proposer {
        let mut proposer = Proposer::new(9, seed);
        proposer.set_voter_set(0.0, &VoterSet::initial(&[1, 2, 3]));
        proposer
    }

    fn hold(&mut self, voter: usize) {
        self.voters[voter] = self.newest;
        let many = self.voters.iter().filter(|held| **held == self.newest).count();
        if many == 2 && self.newest > 0 {
            self.chosen.push((self.newest, self.now));
        }
    }

    /// A voter answers with what it holds now; `late` is how long the answer takes, lost where none.
    fn effect(&mut self, effects: Vec<Effect>, mut late: impl FnMut() -> Option<f64>) {
        for effect in effects {
            let Effect::Send(to, Message::Consensus(_, poll)) = effect else { continue };
            let (holds, Some(late)) = (self.voters[to as usize - 1], late()) else { continue };
            let answer = match poll {
                ConsensusMessage::ReadRequest(serial) => {
                    let of = |register| {
                        if register == Register::Configuration { proposal(holds) } else { proposal(0) }
                    };
                    let of = |r| (r, if holds == 0 { ProposalNumber::default() } else { of(r) });
                    ConsensusMessage::ReadReply(serial, archlink_messages::REGISTERS.map(of).to_vec())
                }
                ConsensusMessage::FetchValue(Register::Configuration) if holds > 0 => {
                    ConsensusMessage::FetchedValue(Register::Configuration, held(holds))
                }
                _ => continue,
            };
            self.way.push((self.now + late, to, answer));
        }
    }

    fn run(&mut self, seconds: f64, mut late: impl FnMut() -> Option<f64>) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += 0.01;
            let now = self.now;
            let due: Vec<_> = self.way.extract_if(.., |word| word.0 <= now).collect();
            for (_, from, poll) in due {
                let effects = self.proposer.step(now, from, &poll);
                self.effect(effects, &mut late);
            }
            let effects = self.proposer.tick(now);
            self.effect(effects, &mut late);
            let mine = self.proposer.chosen(Register::Configuration).map_or(0, |held| held.revision);
            let confirmed = self.proposer.confirmed(Register::Configuration).unwrap_or(f64::NEG_INFINITY);
            let missed = self.chosen.iter().find(|(value, at)| *value > mine && *at < confirmed);
            assert!(missed.is_none(), "{mine} was confirmed as of {confirmed}, but {missed:?} stood by then");
        }
    }
}

/// Answers in any order, lost, late by seconds, of questions of an earlier life: what is confirmed as of a time was the
/// newest then; and once answers come again, confirmation is as fresh as they are.
#[test]
fn what_is_confirmed_was_the_newest_when_it_was_asked() {
    bolero::check!()
        .with_iterations(400)
        .with_shrink_time(SHRINK)
        .with_type::<(u64, Vec<(u8, u8)>)>()
        .for_each(|(seed, plan)| {
            let mut chance = oorandom::Rand64::new(u128::from(*seed));
            let proposer = Asked::proposer(*seed);
            let (chosen, way) = (Vec::new(), Vec::new());
            let mut asked = Asked { now: 1.0, proposer, voters: [0; 3], newest: 0, chosen, way };
            for &(what, length) in plan.iter().take(40) {
                match what % 8 {
                    0 => asked.newest += 1,
                    n @ 1..=3 => asked.hold(usize::from(n) - 1),
                    4 => asked.proposer = Asked::proposer(chance.rand_u64()),
                    _ => {
                        let effects = asked.proposer.request_confirmation(asked.now);
                        asked.effect(effects, || Some(0.3));
                    }
                }
                let lossy = chance.rand_float();
                let late = || (chance.rand_float() > lossy).then(|| 2.5 * chance.rand_float().powi(3));
                asked.run(f64::from(length) / 400.0, late);
            }
            (0..3).for_each(|voter| asked.hold(voter));
            const ANSWERED: f64 = 0.6;
            let mut late = || Some(ANSWERED * chance.rand_float());
            asked.run(4.0, &mut late);
            for _ in 0..100 {
                asked.run(0.02, &mut late);
                let age = asked.now - asked.proposer.confirmed(Register::Configuration).expect("confirmed");
                assert!(age < 0.4 + ANSWERED + 0.03, "{age}");
                assert_eq!(
                    asked.proposer.chosen(Register::Configuration).map_or(0, |held| held.revision),
                    asked.newest
                );
            }
        });
}

/// The number of the question that is asked at that time.
fn question(proposer: &mut Proposer, now: f64) -> u64 {
    let serial = |effect: Effect| match effect {
        Effect::Send(_, Message::Consensus(_, ConsensusMessage::ReadRequest(serial))) => Some(serial),
        _ => None,
    };
    proposer.tick(now).into_iter().find_map(serial).expect("a question")
}

fn answer(serial: u64, round: u64) -> ConsensusMessage {
    ConsensusMessage::ReadReply(serial, vec![(Register::Configuration, proposal(round))])
}

/// Guards against an answer that hung at a voter's disk through the asker's restart: questions were numbered from nought in
/// each life, so that it was taken for one to this life's question, and vouched for what had long been replaced. An earlier
/// epoch's counts as little.
#[test]
fn an_answer_to_a_question_of_an_earlier_life_or_epoch_counts_for_nothing() {
    let mut before = Asked::proposer(1);
    let old = question(&mut before, 1.0);
    // The asker starts anew; meanwhile 2 is chosen in the place of 1.
    let mut proposer = Asked::proposer(2);
    let first = question(&mut proposer, 9.0);
    proposer.set_voter_set(9.0, &VoterSet::initial(&[1, 2, 3]).enter_joint(vec![1, 2, 4]));
    let new = question(&mut proposer, 9.1);
    proposer.learn(Register::Configuration, &held(1));
    for voter in [1, 2, 4] {
        proposer.step(9.2, voter, &answer(old, 1));
        proposer.step(9.2, voter, &answer(first, 1));
    }
    assert_eq!(proposer.confirmed(Register::Configuration), None);
    for voter in [1, 2] {
        proposer.step(9.2, voter, &answer(new, 2));
    }
    assert_eq!(proposer.confirmed(Register::Configuration), None, "what is held was replaced");
    proposer.learn(Register::Configuration, &held(2));
    assert_eq!(
        proposer.confirmed(Register::Configuration),
        Some(9.1),
        "since the question, not since the answers"
    );
}

/// Guards against confirmation that starves under changes in quick succession, as the voters are apart at each question:
/// whoever holds the newest that a majority names may say so.
#[test]
fn voters_that_are_apart_confirm_what_none_of_a_majority_is_beyond() {
    for (named, confirmed) in [([1, 2, 2], true), ([1, 2, 3], true), ([3, 2, 3], false)] {
        let mut proposer = Asked::proposer(1);
        let serial = question(&mut proposer, 1.0);
        (1..=3).for_each(|voter| drop(proposer.step(1.1, voter, &answer(serial, named[voter as usize - 1]))));
        proposer.learn(Register::Configuration, &held(2));
        assert_eq!(proposer.confirmed(Register::Configuration), confirmed.then_some(1.0), "{named:?}");
    }
}

/// Guards against what two voters held, one before it lost its disk and the other long after, taken for chosen.
#[test]
fn answers_far_apart_are_no_majority() {
    for (later, together) in [(1.0, true), (2.6, false), (9.0, false)] {
        let mut proposer = Asked::proposer(1);
        let mut serial = question(&mut proposer, 1.0);
        proposer.step(1.1, 1, &answer(serial, 5));
        let mut now = 1.0;
        while now < 1.0 + later {
            now += 0.4;
            serial = question(&mut proposer, now);
        }
        let fetches = !proposer.step(now, 2, &answer(serial, 5)).is_empty();
        proposer.step(now, 2, &ConsensusMessage::FetchedValue(Register::Configuration, held(5)));
        assert_eq!(
            (fetches, proposer.chosen(Register::Configuration).is_some()),
            (together, together),
            "{later}"
        );
    }
}

/// Six control gateways, all in contact, with a configuration, evacuations, and two data gateways in session with each.
fn six(seed: u64) -> Roads {
    let mut roads = Roads::new(seed, 3, 6);
    roads.fine = 0.01;
    hailed(&mut roads, 1.0, 0, |_| {});
    roads.replace(2, 1, 7, 1);
    roads.evacuate(3, 2, true);
    hailed(&mut roads, 6.0, 0, |_| {});
    assert_eq!(roads.stamp(6, Register::Configuration), 8);
    roads
}

/// Time passes while data gateways hail their control gateways; `more` of them have come to the sixth one.
fn hailed(roads: &mut Roads, seconds: f64, more: NodeId, mut look: impl FnMut(&Roads)) {
    let until = roads.now + seconds;
    let mut at = roads.now;
    while roads.now < until {
        for node in 1..=6 {
            if roads.now < at || !roads.awake(node) {
                continue;
            }
            for n in 0..2 + if node == 6 { more } else { 0 } {
                let (data_node, front) =
                    (100 * node + n, std::net::SocketAddrV4::new((100 * node + n).into(), 80));
                let (zone, region) = (format!("z{node}"), "r".to_string());
                let data_node = archlink_messages::DataNode {
                    node: data_node,
                    zone,
                    region,
                    client_address: front,
                    ready: true,
                };
                roads.step(node, |control, now| control.record_event(now, Event::SessionRenewed(data_node)));
            }
        }
        at = if roads.now >= at { roads.now + 0.4 } else { at };
        roads.turn();
        look(roads);
    }
}

fn beat(roads: &Roads, node: NodeId) -> Heartbeat {
    match roads.live[&node].heartbeat(roads.now, 0) {
        Message::Heartbeat(beat) => beat,
        _ => panic!("no beat"),
    }
}

/// A gateway that is cut off, one way or both, for however long, on and off, claims no confirmation since then, and what it
/// names of registers, lists and duties is never beyond what stands.
#[test]
fn who_is_cut_off_claims_nothing_since() {
    for (seed, (out, into)) in [(true, true), (true, false), (false, true)].into_iter().enumerate() {
        for length in [1.0, 5.0, 60.0] {
            let (mut roads, mut term) = (six(seed as u64), 10);
            for _ in 0..3 {
                roads.cut_off(6, out, into);
                // What is on its way when it begins may still be answered.
                hailed(&mut roads, 0.1, 0, |_| {});
                let began = roads.now;
                roads.evacuate(1, 10 + (roads.now * 100.0) as u64, roads.now % 2.0 < 1.0);
                // Both take themselves for the lookout, each in its term.
                term += 1;
                let list = |term, version| HostList { term, version, instances: Vec::new() };
                roads.step(6, |control, now| control.set_host_list(now, list(term, 9)));
                roads.step(1, |control, now| control.set_host_list(now, list(term + 1, 1)));
                hailed(&mut roads, length, 0, |roads| {
                    let (theirs, other) = (beat(roads, 6), beat(roads, 1));
                    let age = theirs.confirmed_age.expect("confirmed before");
                    assert!(age >= roads.now - began, "confirmed {age} s ago");
                    assert!(theirs.versions.configuration <= other.versions.configuration);
                    assert!(theirs.versions.evacuations <= other.versions.evacuations);
                    for grant in &theirs.leases {
                        let known = (1..6).flat_map(|node| beat(roads, node).leases);
                        let newest = known.filter(|p| p.role == grant.role).map(|p| p.term).max();
                        assert!(newest.is_none_or(|term| term >= grant.term), "{grant:?}, not {newest:?}");
                    }
                });
                roads.cut.clear();
                hailed(&mut roads, 1.5, 0, |_| {});
                assert!(beat(&roads, 6).confirmed_age.is_some_and(|age| age < 1.0));
                let (theirs, other) = (beat(&roads, 6).versions, beat(&roads, 1).versions);
                assert_eq!((theirs.evacuations, theirs.hosts), (other.evacuations, (term + 1, 1)));
            }
        }
    }
}

/// What a gateway's own disk holds is one voter's word: after a start it gives nothing of it out, also where no majority
/// answers for long; what another one that is cut off tells is passed on, and not for confirmed.
#[test]
fn who_started_without_a_majority_gives_out_nothing_of_its_disk() {
    let mut roads = six(1);
    (1..=2).for_each(|node| roads.cut_off(node, true, true));
    // 1 and 2 hear each other, and no majority of 1, 2, 3.
    roads.kill(3);
    roads.kill(1);
    roads.cut.remove(&(2, 1));
    roads.cut.remove(&(1, 2));
    roads.cut.insert((2, 1));
    roads.start(1);
    hailed(&mut roads, 8.0, 0, |roads| {
        let control = &roads.live[&1];
        assert_eq!(beat(roads, 1).confirmed_age, None);
        let pieces = control.updates_for(roads.now, &VersionVector::default(), false);
        let given = pieces.iter().any(|p| matches!(p, StateUpdate::Chosen(..) | StateUpdate::DataNodes(_)));
        assert!(!given, "{pieces:?}");
    });
    // Now it hears of them from 2, which had learned them, and may be behind by now.
    let told = roads.live[&2].updates_for(roads.now, &VersionVector::default(), true);
    assert!(told.iter().any(|p| matches!(p, StateUpdate::Chosen(Register::Configuration, _))));
    roads.step(1, |control, now| control.apply_updates(now, told));
    assert_eq!((roads.stamp(1, Register::Configuration), beat(&roads, 1).confirmed_age), (8, None));
}

/// Guards against a gateway that vouches for the configuration before it knows which zones are evacuated.
#[test]
fn who_started_vouches_for_nothing_before_it_knows_all_registers() {
    for seed in 0..40 {
        let mut roads = six(seed);
        let stands = beat(&roads, 1).versions;
        roads.kill(6);
        roads.start(6);
        roads.lossy = 0.6;
        hailed(&mut roads, 2.0, 0, |roads| {
            let told = beat(roads, 6);
            let all = told.versions.configuration == stands.configuration
                && told.versions.evacuations == stands.evacuations;
            assert!(all || told.confirmed_age.is_none(), "seed {seed}: {:?}", told.versions);
        });
    }
}

/// Guards against shares that are too large after a cut: a gateway that was cut off, from all or from one other alone, for
/// longer than lost data gateways are counted, told of fewer than there are; so did one that started while it was cut off.
#[test]
fn whoever_tells_how_many_data_gateways_there_are_tells_of_all() {
    let all = |least: usize| {
        move |roads: &Roads| {
            for (node, control) in &roads.live {
                if control.versions(roads.now).data_nodes != 0 {
                    let count = control.event_log.registry.possibly_active().len();
                    assert!(
                        count >= least,
                        "{node} tells of {count} at {} {:?}",
                        roads.now,
                        control.event_log.registry.possibly_active()
                    );
                }
            }
        }
    };
    // From one other alone, both in contact with a majority.
    let mut roads = six(1);
    roads.cut.extend([(1, 6), (6, 1)]);
    hailed(&mut roads, 100.0, 0, all(12));
    // What comes to the other one meanwhile is heard of in a roundabout way.
    hailed(&mut roads, 1.5, 3, all(12));
    hailed(&mut roads, 5.0, 3, all(15));
    assert!(roads.live[&1].versions(roads.now).data_nodes != 0, "1 is in contact");
    // Where half of the control gateways are gone for good, those of the majority of voters still tell.
    (4..=6).for_each(|node| roads.kill(node));
    hailed(&mut roads, 5.0, 0, all(15));
    assert!(roads.live[&1].versions(roads.now).data_nodes != 0);
    // From all, through a start in the middle of it or not.
    for restarted in [false, true] {
        let mut roads = six(2);
        roads.cut_off(6, true, true);
        hailed(&mut roads, 20.0, 0, all(12));
        if restarted {
            roads.kill(6);
            roads.start(6);
        }
        hailed(&mut roads, 40.0, 0, all(12));
        assert_eq!(roads.live[&6].versions(roads.now).data_nodes, 0, "cut off it tells nobody");
        roads.cut.clear();
        // Their links come up anew.
        for node in 1..6 {
            let greeting = roads.live[&node].peer_hello();
            roads.step(6, |control, now| control.step(now, node, greeting));
            let greeting = roads.live[&6].peer_hello();
            roads.step(node, |control, now| control.step(now, 6, greeting));
        }
        hailed(&mut roads, 5.0, 0, all(12));
        let count = |node: NodeId| roads.live[&node].event_log.registry.possibly_active().len();
        assert!(
            (1..=6).all(|node| count(node) == 12 && roads.live[&node].versions(roads.now).data_nodes != 0)
        );
    }
}

/// Guards against a configuration that nobody takes after a person founded anew: its number may be lower than the one that
/// was lost, or the same with another text.
#[test]
fn what_is_founded_anew_comes_after_all_before() {
    let of = |founding: u64, round, stamp, text: &'static str| AcceptedValue {
        proposal: proposal(VoterSet { epoch: founding << 32, ..VoterSet::default() }.first_round() + round),
        revision: stamp,
        value: text.into(),
        ..AcceptedValue::default()
    };
    let mut roads = Roads::new(1, 3, 3);
    roads.run(0.5);
    let hear = |roads: &mut Roads, held: AcceptedValue| {
        let mut learned = false;
        roads.step(1, |control, now| {
            let effects =
                control.apply_updates(now, vec![StateUpdate::Chosen(Register::Configuration, held)]);
            learned = !effects.is_empty();
            effects
        });
        learned
    };
    assert!(hear(&mut roads, of(0, 900, 9, "lost")));
    let before = roads.live[&1].versions(roads.now);
    for (round, stamp, text, news) in
        [(1, 8, "older", true), (2, 9, "another", true), (3, 9, "another", false)]
    {
        assert_eq!(hear(&mut roads, of(1, round, stamp, text)), news, "{text}");
        let held = roads.live[&1].proposer.chosen(Register::Configuration).expect("held");
        assert_eq!((held.revision, held.value.as_ref()), (stamp, text.as_bytes()));
        assert!(roads.live[&1].versions(roads.now).configuration > before.configuration);
    }
    let lacking = roads.live[&1].updates_for(roads.now, &before, false);
    assert!(lacking.iter().any(|piece| matches!(piece, StateUpdate::Chosen(Register::Configuration, _))));
    let mine = roads.live[&1].versions(roads.now);
    let lacking = roads.live[&1].updates_for(roads.now, &mine, false);
    assert!(!lacking.iter().any(|piece| matches!(piece, StateUpdate::Chosen(..))), "once is enough");
}
