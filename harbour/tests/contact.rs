//! What a control gateway may say that a majority has not confirmed lately, and since when one has: reads at any rate,
//! slow disks, answers out of order, late and of earlier lives, gateways that are cut off.

mod roads;

use harbour::Act;
use harbour::helm::Helm;
use roads::Roads;
use signal::{Ballot, Held, Muster, Node, Poll, Register, Word};

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
            roads.step(1, |control, now| control.helm.ask_now(now));
            waiting.push(roads.now);
        }
        roads.turn();
        let confirmed = roads.now - roads.age(1, Register::Chart);
        waiting.iter().filter(|at| **at <= confirmed).for_each(|at| slowest = slowest.max(roads.now - at));
        waiting.retain(|at| *at > confirmed);
        let age = roads.age(1, Register::Chart);
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
                roads.step(1, |control, now| control.helm.ask_now(now));
            }
            roads.turn();
            oldest = oldest.max(roads.age(1, Register::Chart));
        }
        println!("a sync of {sync} s: confirmed at most {oldest:.2} s ago");
        assert!(oldest < 0.4 + 2.0 * 1.2 * sync + 0.1, "{oldest} with {sync}");
    }
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, node: 9, nonce: 0 }
}

fn held(round: u64) -> Held {
    Held { ballot: ballot(round), stamp: round, ..Held::default() }
}

/// One that asks and three voters that are asked, of which any two make a value chosen by holding it.
struct Asked {
    now: f64,
    helm: Helm,
    voters: [u64; 3],
    newest: u64,
    /// Each value and since when it is chosen.
    chosen: Vec<(u64, f64)>,
    way: Vec<(f64, Node, Poll)>,
}

impl Asked {
    fn helm(seed: u64) -> Helm {
        let mut helm = Helm::new(9, seed);
        helm.set_muster(0.0, &Muster::first(&[1, 2, 3]));
        helm
    }

    fn hold(&mut self, voter: usize) {
        self.voters[voter] = self.newest;
        let many = self.voters.iter().filter(|held| **held == self.newest).count();
        if many == 2 && self.newest > 0 {
            self.chosen.push((self.newest, self.now));
        }
    }

    /// A voter answers with what it holds now; `late` is how long the answer takes, lost where none.
    fn act(&mut self, acts: Vec<Act>, mut late: impl FnMut() -> Option<f64>) {
        for act in acts {
            let Act::Send(to, Word::Poll(_, poll)) = act else { continue };
            let (holds, Some(late)) = (self.voters[to as usize - 1], late()) else { continue };
            let answer = match poll {
                Poll::Ask(serial) => {
                    let of = |register| if register == Register::Chart { ballot(holds) } else { ballot(0) };
                    let of = |r| (r, if holds == 0 { Ballot::default() } else { of(r) });
                    Poll::Answer(serial, signal::REGISTERS.map(of).to_vec())
                }
                Poll::Fetch(Register::Chart) if holds > 0 => Poll::Fetched(Register::Chart, held(holds)),
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
                let acts = self.helm.hear(now, from, &poll);
                self.act(acts, &mut late);
            }
            let acts = self.helm.tick(now);
            self.act(acts, &mut late);
            let mine = self.helm.chosen(Register::Chart).map_or(0, |held| held.stamp);
            let confirmed = self.helm.confirmed(Register::Chart).unwrap_or(f64::NEG_INFINITY);
            let missed = self.chosen.iter().find(|(value, at)| *value > mine && *at < confirmed);
            assert!(missed.is_none(), "{mine} was confirmed as of {confirmed}, but {missed:?} stood by then");
        }
    }
}

/// Answers in any order, lost, late by seconds, of questions of an earlier life: what is confirmed as of a time was the
/// newest then; and once answers come again, confirmation is as fresh as they are.
#[test]
fn what_is_confirmed_was_the_newest_when_it_was_asked() {
    bolero::check!().with_iterations(400).with_type::<(u64, Vec<(u8, u8)>)>().for_each(|(seed, plan)| {
        let mut chance = oorandom::Rand64::new(u128::from(*seed));
        let helm = Asked::helm(*seed);
        let (chosen, way) = (Vec::new(), Vec::new());
        let mut asked = Asked { now: 1.0, helm, voters: [0; 3], newest: 0, chosen, way };
        for &(what, length) in plan.iter().take(40) {
            match what % 8 {
                0 => asked.newest += 1,
                n @ 1..=3 => asked.hold(usize::from(n) - 1),
                4 => asked.helm = Asked::helm(chance.rand_u64()),
                _ => {
                    let acts = asked.helm.ask_now(asked.now);
                    asked.act(acts, || Some(0.3));
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
            let age = asked.now - asked.helm.confirmed(Register::Chart).expect("confirmed");
            assert!(age < 0.4 + ANSWERED + 0.03, "{age}");
            assert_eq!(asked.helm.chosen(Register::Chart).map_or(0, |held| held.stamp), asked.newest);
        }
    });
}

/// Guards against an answer that hung at a voter's disk through the asker's restart: questions were numbered from nought in
/// each life, so that it was taken for one to this life's question, and vouched for what had long been replaced.
#[test]
fn an_answer_to_an_earlier_lifes_question_counts_for_nothing() {
    let ask = |helm: &mut Helm, now| {
        let serial = |act: Act| match act {
            Act::Send(_, Word::Poll(_, Poll::Ask(serial))) => Some(serial),
            _ => None,
        };
        helm.tick(now).into_iter().find_map(serial).expect("a question")
    };
    let answer = |serial, round| Poll::Answer(serial, vec![(Register::Chart, ballot(round))]);
    let mut before = Asked::helm(1);
    let old = ask(&mut before, 1.0);
    // The asker starts anew; meanwhile 2 is chosen in the place of 1.
    let mut helm = Asked::helm(2);
    let new = ask(&mut helm, 9.0);
    helm.learn(Register::Chart, &held(1));
    for voter in [1, 2] {
        helm.hear(9.1, voter, &answer(old, 1));
    }
    assert_eq!(helm.confirmed(Register::Chart), None);
    for voter in [1, 2] {
        helm.hear(9.2, voter, &answer(new, 2));
    }
    assert_eq!(helm.confirmed(Register::Chart), None, "what is held was replaced");
    helm.learn(Register::Chart, &held(2));
    assert_eq!(helm.confirmed(Register::Chart), Some(9.0), "since the question, not since the answers");
}
