//! The session with a control gateway, and the connection to the one that holds the counts. Owns which control gateway is
//! called next, and when one is left for another. Must never take an answer for a question that it does not belong to.

use crate::deck::Deck;
use futures_util::StreamExt;
use mooring::split;
use signal::{Node, Word};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

const HAIL_EVERY: Duration = Duration::from_millis(400);
/// Three hails without an answer: the control gateway is left.
const SILENT: f64 = 1.3;
/// A control gateway that no majority has answered for so long is cut off itself: another may not be.
const STALE: f64 = 2.0;
/// What was asked for and has not come is asked for again after this.
const PULL_AGAIN: f64 = 1.0;
/// A control gateway that failed is called after all others for so long.
const SHUN: f64 = 5.0;
/// How long a session in another zone stands before a nearer control gateway is tried again.
const NEARER: f64 = 10.0;
const AGAIN: Duration = Duration::from_millis(100);
const MOST_WORDS: usize = 256;

/// Control gateways, those to call first at the front.
fn order(deck: &Deck, failed: &HashMap<Node, f64>) -> Vec<(Node, u8)> {
    let now = deck.clock.now();
    let keepers = deck.keepers.borrow();
    let mut all: Vec<(Node, u8)> = keepers
        .iter()
        .map(|k| {
            (
                k.node,
                if k.zone == deck.settings.zone { 0 } else { 1 + u8::from(k.region != deck.settings.region) },
            )
        })
        .collect();
    for seed in &deck.settings.seeds {
        let node = mooring::node_of(*seed.ip());
        if !all.iter().any(|(known, _)| *known == node) {
            all.push((node, 3));
        }
    }
    let me = mooring::node_of(deck.settings.ip);
    let shunned = |node: &Node| failed.get(node).is_some_and(|at| now < *at + SHUN);
    // Among equals each data gateway has an order of its own, so that they don't all call the same one.
    all.sort_by_key(|(node, far)| (shunned(node), *far, (node ^ me).wrapping_mul(0x9e37_79b9)));
    all
}

pub async fn keep(deck: Rc<Deck>) {
    let mut failed: HashMap<Node, f64> = HashMap::new();
    loop {
        let Some(&(node, far)) = order(&deck, &failed).first() else {
            sleep(AGAIN).await;
            continue;
        };
        if let Some(why) = stand(&deck, node, far, &failed).await {
            log::warn!("session with {} ended: {why}", std::net::Ipv4Addr::from(node));
            failed.insert(node, deck.clock.now());
            sleep(AGAIN).await;
        }
    }
}

/// One session, until it ends; none where it is given up for a nearer one.
async fn stand(deck: &Deck, node: Node, far: u8, failed: &HashMap<Node, f64>) -> Option<String> {
    let framed = match mooring::call(mooring::address_of(node, deck.settings.port)).await {
        Ok(framed) => framed,
        Err(e) => return Some(e.to_string()),
    };
    let (out, mut words) = split(framed, MOST_WORDS);
    let began = deck.clock.now();
    let (mut serial, mut heard, mut fresh) = (0_u64, began, began);
    let mut pulled = f64::NEG_INFINITY;
    let mut sent: HashMap<u64, f64> = HashMap::new();
    let mut next = Instant::now();
    loop {
        tokio::select! {
            word = words.next() => match word {
                Some(Ok(Word::Beat(beat))) => {
                    let now = deck.clock.now();
                    let asked = sent.remove(&beat.serial);
                    if asked.is_some() {
                        heard = now;
                        sent.retain(|number, _| *number > beat.serial);
                    }
                    if beat.confirmed.is_some_and(|age| age < STALE) {
                        fresh = now;
                    }
                    let lacks = deck.beat(&beat, asked);
                    // What is on its way is not asked for twice: a narrow link would carry it twice.
                    if lacks && now > pulled + PULL_AGAIN {
                        pulled = now;
                        if out.try_send(Word::Pull(deck.vector())).is_err() {
                            return Some("it does not read".into());
                        }
                    }
                }
                Some(Ok(Word::News(pieces))) => {
                    pulled = f64::NEG_INFINITY;
                    deck.take(pieces);
                    // What it vouched for may be held only now.
                    next = Instant::now();
                }
                Some(Ok(_)) => {}
                Some(Err(e)) => return Some(e.to_string()),
                None => return Some("it closed the connection".into()),
            },
            _ = sleep_until(next) => {
                let now = deck.clock.now();
                if now > heard + SILENT {
                    return Some("it is silent".into());
                }
                if now > fresh + STALE {
                    return Some("no majority answers it".into());
                }
                let nearer = order(deck, failed).first().is_some_and(|(_, first)| *first < far);
                if nearer && (now > began + NEARER || far == 3) {
                    return None;
                }
                serial += 1;
                sent.insert(serial, now);
                let hail = Word::Hail { serial, pilot: deck.pilot(), clock: deck.fleet_clock(), terms: deck.posts() };
                if out.try_send(hail).is_err() {
                    return Some("it does not read".into());
                }
                next = Instant::now() + HAIL_EVERY;
            },
            _ = deck.turned.notified() => next = next.min(Instant::now() + Duration::from_millis(20)),
        }
    }
}

/// The connection to the holder of the counts, moved when that changes. Each frame of adds is answered by one of totals.
pub async fn count(deck: Rc<Deck>) {
    loop {
        deck.set_counted(false);
        let Some((node, term)) = deck.counter() else {
            fail_adds(&deck);
            pause(&deck).await;
            continue;
        };
        match mooring::call(mooring::address_of(node, deck.settings.port)).await {
            Ok(framed) => talk(&deck, framed, (node, term)).await,
            Err(_) => fail_adds(&deck),
        }
        pause(&deck).await;
    }
}

/// What can't be sent is not added.
fn fail_adds(deck: &Deck) {
    let adds = deck.adds();
    deck.uncounted(adds.len(), false);
}

async fn pause(deck: &Deck) {
    let until = Instant::now() + AGAIN;
    while timeout(until - Instant::now().min(until), deck.to_count.notified()).await.is_ok() {
        fail_adds(deck);
        if Instant::now() >= until {
            return;
        }
    }
}

async fn talk(
    deck: &Deck,
    framed: tokio_util::codec::Framed<tokio::net::TcpStream, signal::Wire>,
    holder: (Node, u64),
) {
    /// Without any totals for so long while some are due, the connection is given up.
    const SILENT: Duration = Duration::from_millis(400);
    /// Between two questions of nothing, while the holder does not count yet.
    const PROBE_EVERY: Duration = Duration::from_millis(60);
    let (out, mut words) = split(framed, MOST_WORDS);
    let mut frames: std::collections::VecDeque<usize> = std::collections::VecDeque::new();
    let mut due = Instant::now();
    let mut probe = Some(due);
    let lost = loop {
        if deck.counter() != Some(holder) && frames.is_empty() {
            break 0;
        }
        tokio::select! {
            word = words.next() => match word {
                Some(Ok(Word::Totals { clock, totals })) => {
                    deck.heard_clock(clock);
                    due = Instant::now();
                    let Some(count) = frames.pop_front() else { break 0 };
                    let counts = totals.is_some();
                    match totals {
                        Some(totals) if totals.len() == count => deck.totals(&totals),
                        _ => deck.uncounted(count, false),
                    }
                    deck.set_counted(counts);
                    probe = (!counts).then(|| Instant::now() + PROBE_EVERY);
                }
                _ => break frames.iter().sum(),
            },
            _ = deck.to_count.notified() => {
                let adds = deck.adds();
                if adds.is_empty() {
                    continue;
                }
                if frames.is_empty() {
                    due = Instant::now();
                }
                frames.push_back(adds.len());
                let word = Word::Adds { term: holder.1, clock: deck.fleet_clock(), adds };
                if out.try_send(word).is_err() {
                    break frames.iter().sum();
                }
            }
            _ = sleep_until(probe.unwrap_or(due)), if probe.is_some() => {
                probe = None;
                frames.push_back(0);
                due = Instant::now();
                let word = Word::Adds { term: holder.1, clock: deck.fleet_clock(), adds: Vec::new() };
                if out.try_send(word).is_err() {
                    break frames.iter().sum();
                }
            }
            _ = sleep_until(due + SILENT), if !frames.is_empty() => break frames.iter().sum(),
            _ = deck.turned.notified() => {}
        }
    };
    // Sent and not answered: they may have been added.
    deck.uncounted(lost, true);
}
