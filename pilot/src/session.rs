//! The sockets of a data gateway's session with a control gateway, and of its connection to the one that holds the counts.
//! Owns them; when to call, hail, pull and leave is `bridge::session`'s to say. Must never take an answer for a question
//! that it does not belong to.

use crate::deck::Deck;
use bridge::session::{Act, Place, Session};
use futures_util::{Stream, StreamExt};
use mooring::{Out, split};
use signal::{Add, Node, Word};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tally::frames::{Frames, Heard, Settled};
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

/// The connection to the holder of the counts, moved when that changes. Each question's answer names its number.
pub async fn count(deck: Rc<Deck>) {
    let mut frames = Frames::default();
    loop {
        deck.set_counted(false);
        let Some(holder) = deck.counter() else {
            fail_adds(&deck);
            pause(&deck).await;
            continue;
        };
        match mooring::call(mooring::address_of(holder.0, deck.settings.port)).await {
            Ok(framed) => {
                let (out, words) = split(framed, MOST_WORDS);
                talk(&deck, &mut frames, &out, Box::pin(words), holder).await;
                deck.settled(frames.hang_up());
            }
            Err(_) => fail_adds(&deck),
        }
        pause(&deck).await;
    }
}

/// What can't be sent is not added.
fn fail_adds(deck: &Deck) {
    deck.settled(vec![Settled::NotAdded(deck.adds())]);
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

/// Sends one question; false where the connection does not take it.
fn ask(deck: &Deck, frames: &mut Frames, out: &Out, term: u64, adds: Vec<Add>) -> bool {
    match frames.ask(deck.clock.now(), adds) {
        Ok((serial, adds)) => {
            let word = Word::Adds { serial, term, clock: deck.fleet_clock(), adds: adds.to_vec() };
            out.try_send(word).is_ok()
        }
        Err(unsent) => {
            deck.settled(vec![unsent]);
            true
        }
    }
}

/// Asks and hears until the connection ends, another holds the counts, or this one is silent. What is out then is not
/// settled.
async fn talk(deck: &Deck, frames: &mut Frames, out: &Out, mut words: Words, (node, term): (Node, u64)) {
    /// Between two questions of nothing, while the holder does not count yet.
    const PROBE_EVERY: Duration = Duration::from_millis(60);
    let mut probe = Some(Instant::now());
    while deck.counter() == Some((node, term)) || !frames.is_empty() {
        let due = frames.silent_at().map(|at| deck.clock.instant(at));
        tokio::select! {
            word = words.next() => {
                let Some(Ok(Word::Totals { serial, clock, totals })) = word else { return };
                deck.heard_clock(clock);
                let (heard, settled) = frames.hear(deck.clock.now(), serial, totals);
                deck.settled(settled);
                match heard {
                    Heard::Answer { counts } => {
                        deck.set_counted(counts);
                        probe = (!counts).then(|| Instant::now() + PROBE_EVERY);
                    }
                    Heard::Nobodys => log::warn!("totals to no question that is out: {serial}"),
                    Heard::Unfit => return log::warn!("totals that do not fit their question"),
                }
            }
            _ = deck.to_count.notified() => {
                let adds = deck.adds();
                if !adds.is_empty() && !ask(deck, frames, out, term, adds) {
                    return;
                }
            }
            _ = sleep_until(probe.unwrap_or_else(Instant::now)), if probe.is_some() => {
                probe = None;
                if !ask(deck, frames, out, term, Vec::new()) {
                    return;
                }
            }
            _ = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => return,
            _ = deck.turned.notified() => {}
        }
    }
}
