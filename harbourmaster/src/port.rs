//! The one place where the core of this control gateway meets the world: acts become words on links, entries on disk and
//! answers to callers. Owns the core, the counter's book and the sessions' connections. Must never decide what the core
//! decides, nor let a word out that waits for the disk.

use bytes::Bytes;
use chart::{Chart, Settings};
use harbour::control::Control;
use harbour::helm::Change;
use harbour::news::News;
use harbour::{Act, Outcome, Record};
use logbook::{Entered, Logbook};
use mooring::{Clock, Out};
use signal::{Add, Node, Piece, Register, Vector, Word, pack};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use tally::book::{Book, SILENCE};
use tokio::sync::{Notify, mpsc, oneshot};

/// Words for this gateway itself or for others once the disk has what they stand for.
pub type Kept = Vec<(Node, Word)>;

pub struct Port {
    pub settings: Settings,
    pub clock: Clock,
    pub me: Node,
    control: RefCell<Control>,
    book: RefCell<Book>,
    logbook: Option<Logbook>,
    kept: mpsc::UnboundedSender<Kept>,
    pub links: RefCell<HashMap<Node, Out>>,
    pub sessions: RefCell<HashMap<Node, Out>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Outcome>>>,
    tokens: Cell<u64>,
    /// The configuration in force, read.
    chart: RefCell<Option<Rc<Chart>>>,
    texts: RefCell<News>,
    pub leaving: Cell<bool>,
    /// Rung when something is learned or confirmed.
    pub news: Notify,
}

impl Port {
    pub fn new(
        settings: Settings,
        clock: Clock,
        control: Control,
        logbook: Option<Logbook>,
        kept: mpsc::UnboundedSender<Kept>,
    ) -> Rc<Port> {
        Rc::new(Port {
            me: mooring::node_of(settings.ip),
            settings,
            clock,
            control: RefCell::new(control),
            book: RefCell::default(),
            logbook,
            kept,
            links: RefCell::default(),
            sessions: RefCell::default(),
            waiting: RefCell::default(),
            tokens: Cell::new(0),
            chart: RefCell::default(),
            texts: RefCell::default(),
            leaving: Cell::new(false),
            news: Notify::new(),
        })
    }

    /// Looks at the core without acting.
    pub fn look<R>(&self, at: impl FnOnce(&Control, f64) -> R) -> R {
        at(&self.control.borrow(), self.clock.now())
    }

    /// One step of the core, and all that follows from it.
    pub fn step(&self, step: impl FnOnce(&mut Control, f64) -> Vec<Act>) {
        let now = self.clock.now();
        let acts = step(&mut self.control.borrow_mut(), now);
        self.perform(now, acts);
    }

    pub fn hear(&self, from: Node, word: Word) {
        self.step(|control, now| control.hear(now, from, word));
    }

    fn perform(&self, now: f64, acts: Vec<Act>) {
        let mut acts = VecDeque::from(acts);
        while let Some(act) = acts.pop_front() {
            match act {
                Act::Send(to, word) if to == self.me => {
                    acts.extend(self.control.borrow_mut().hear(now, self.me, word));
                }
                Act::Send(to, word) => self.send(to, word),
                Act::Store(Record { slots, posts, muster }, then) => {
                    self.store(Entered { muster, slots, posts }, then);
                }
                Act::Learned(register) => {
                    self.learned(register);
                    acts.extend(self.control.borrow_mut().beat_all(now));
                }
                Act::Done(token, outcome) => {
                    if let Some(waiting) = self.waiting.borrow_mut().remove(&token) {
                        waiting.send(outcome).ok();
                    }
                }
            }
        }
        self.news.notify_waiters();
    }

    fn store(&self, entered: Entered, then: Kept) {
        let Some(logbook) = &self.logbook else {
            self.kept.send(then).ok();
            return;
        };
        let kept = self.kept.clone();
        if !logbook.enter(entered, move || kept.send(then).unwrap_or_default()) {
            log::warn!("the disk is behind: a word is not said");
        }
    }

    /// What the disk has taken: the words that waited for it may go.
    pub fn kept(&self, words: Kept) {
        for (to, word) in words {
            if to == self.me { self.hear(to, word) } else { self.send(to, word) }
        }
    }

    /// A link that is full or down loses the word: all parts ask again.
    pub fn send(&self, to: Node, word: Word) {
        if let Some(link) = self.links.borrow().get(&to) {
            link.try_send(word).ok();
        }
    }

    fn learned(&self, register: Register) {
        let control = self.control.borrow();
        let Some(held) = control.helm.chosen(register) else { return };
        log::info!("{register:?} {} is chosen", held.stamp);
        if register == Register::Chart {
            let text = match pack::unpack(&held.value, b"") {
                Ok(text) => text,
                Err(e) => return log::error!("the chosen configuration can't be unpacked: {e}"),
            };
            match Chart::read(&text) {
                Ok(chart) => *self.chart.borrow_mut() = Some(Rc::new(chart)),
                Err(e) => log::error!("the chosen configuration can't be read: {e}"),
            }
            self.texts.borrow_mut().learned_chart(held.order(), text);
        }
        drop(control);
        self.tell_sessions();
    }

    /// What a data gateway lacks.
    pub fn lacking(&self, theirs: &Vector) -> Vec<Piece> {
        self.look(|control, now| self.texts.borrow_mut().lacking(now, control, theirs))
    }

    /// Lets all data gateways in session know that there is something to pull.
    pub fn tell_sessions(&self) {
        let beat = self.look(|control, now| control.beat(now, 0));
        self.sessions.borrow().values().for_each(|session| drop(session.try_send(beat.clone())));
    }

    /// Carries a change to its end.
    pub async fn change(&self, change: Change) -> Outcome {
        let token = self.tokens.get();
        self.tokens.set(token + 1);
        let (sender, done) = oneshot::channel();
        self.waiting.borrow_mut().insert(token, sender);
        let withdraw = Withdraw { port: self, token };
        self.step(|control, now| control.propose(now, change, token));
        let outcome = done.await.unwrap_or(Outcome::Unclear);
        drop(withdraw);
        outcome
    }

    /// The chosen value of a register, confirmed by a majority after this call began; none where none confirms in time.
    pub async fn read(&self, register: Register, within: f64) -> Option<Option<Bytes>> {
        let began = self.clock.now();
        self.step(|control, now| control.helm.ask_now(now));
        loop {
            let rung = self.news.notified();
            let found = self.look(|control, _| {
                let confirmed = control.helm.confirmed(register).is_some_and(|at| at >= began);
                confirmed.then(|| control.helm.chosen(register).map(|held| held.value.clone()))
            });
            let left = within - (self.clock.now() - began);
            if found.is_some() || left <= 0.0 {
                return found;
            }
            tokio::time::timeout(std::time::Duration::from_secs_f64(left), rung).await.ok();
        }
    }

    pub fn chart(&self) -> Option<Rc<Chart>> {
        self.chart.borrow().clone()
    }

    /// Totals of a data gateway's adds; none where this gateway does not hold the counts, or not long enough.
    pub fn count(&self, term: u64, adds: &[Add]) -> Option<Vec<f32>> {
        let now = self.clock.now();
        let held = self.control.borrow().tally(now).filter(|held| held.term == term)?;
        if now < held.since + SILENCE {
            return None;
        }
        self.book.borrow_mut().add(now, term, adds)
    }

    pub fn names(&self) -> usize {
        self.book.borrow().names()
    }
}

/// A caller that is gone takes back what is not under way yet.
struct Withdraw<'a> {
    port: &'a Port,
    token: u64,
}

impl Drop for Withdraw<'_> {
    fn drop(&mut self) {
        if self.port.waiting.borrow_mut().remove(&self.token).is_some() {
            self.port.control.borrow_mut().helm.withdraw(self.token);
        }
    }
}
