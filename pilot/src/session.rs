//! The sockets of a data gateway's session with a control gateway, and of its connection to the one that holds the counts.
//! Owns them; when to call, hail, pull and leave is `bridge::session`'s to say. Must never take an answer for a question
//! that it does not belong to.

use crate::deck::Deck;
use bridge::session::{Act, Place, Session};
use futures_util::{Stream, StreamExt};
use mooring::{Out, split};
use signal::Word;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until, timeout};

/// Between two calls of a holder of the counts that isn't reached.
const AGAIN: Duration = Duration::from_millis(100);
const MOST_WORDS: usize = 256;

type Words = Pin<Box<dyn Stream<Item = io::Result<Word>>>>;

/// Keeps a session for as long as this process lives.
pub async fn keep(deck: Rc<Deck>) {
    let node_of = |seed: &std::net::SocketAddrV4| mooring::node_of(*seed.ip());
    let mut session = Session::new(Place {
        node: mooring::node_of(deck.settings.ip),
        zone: deck.settings.zone.clone(),
        region: deck.settings.region.clone(),
        seeds: deck.settings.seeds.iter().map(node_of).collect(),
    });
    let mut line: Option<(Out, Words)> = None;
    loop {
        let acts = session.tick(deck.clock.now(), &deck.views.borrow(), || deck.pilot());
        perform(&deck, &mut session, &mut line, acts).await;
        let until = deck.clock.instant(session.wake_at().min(1e6));
        let word = async {
            match &mut line {
                Some((_, words)) => words.next().await,
                None => std::future::pending().await,
            }
        };
        let acts = tokio::select! {
            word = word => {
                let now = deck.clock.now();
                match word {
                    Some(Ok(word)) => {
                        let (acts, turns) = session.hear(now, word, &mut deck.views.borrow_mut());
                        deck.turn(turns);
                        acts
                    }
                    Some(Err(e)) => session.lost(now, &e.to_string()),
                    None => session.lost(now, "it closed the connection"),
                }
            }
            _ = sleep_until(until) => continue,
            _ = deck.turned.notified() => {
                session.hurry(deck.clock.now());
                continue;
            }
        };
        perform(&deck, &mut session, &mut line, acts).await;
    }
}

async fn perform(deck: &Deck, session: &mut Session, line: &mut Option<(Out, Words)>, acts: Vec<Act>) {
    let mut acts = std::collections::VecDeque::from(acts);
    while let Some(act) = acts.pop_front() {
        match act {
            Act::Call(node) => {
                let called = mooring::call(mooring::address_of(node, deck.settings.port)).await;
                let called = called.map(|framed| {
                    let (out, words) = split(framed, MOST_WORDS);
                    *line = Some((out, Box::pin(words)));
                });
                acts.extend(session.called(deck.clock.now(), called.map_err(|e| e.to_string())));
            }
            Act::HangUp => *line = None,
            Act::Send(word) => {
                if line.as_ref().is_some_and(|(out, _)| out.try_send(word).is_err()) {
                    acts.extend(session.lost(deck.clock.now(), "it does not read"));
                }
            }
            Act::Warn(text) => log::warn!("{text}"),
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
    holder: (signal::Node, u64),
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
