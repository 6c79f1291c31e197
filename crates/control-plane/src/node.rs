//! The one place where the core of this control gateway meets the world: acts become words on links, entries on disk and
//! answers to callers. Owns the core, the counter's book and the sessions' connections. Must never decide what the core
//! decides, nor let a word out that waits for the disk.

use crate::answer_names;
use crate::calls::{Call, Rests};
use crate::state_change_log::{Notices, Seen};
use crate::write_queue::{Backlog, Disk};
use archlink_config::{Configuration, Settings};
use archlink_consensus::proposer::Change;
use archlink_consensus::{DurableRecord, Effect, MembershipChange, Outcome};
use archlink_control_node::node::ControlNodeState;
use archlink_control_node::update_delivery::UpdateDelivery;
use archlink_messages::{
    AcceptedValue, CounterAdd, Message, NodeId, REGISTERS, Register, SINGLETON_ROLES, StateUpdate,
    VersionVector, patch,
};
use archlink_quota::counter::{Counter, NEW_HOLDER_SILENCE};
use archlink_runtime::{Clock, MessageSender};
use archlink_storage::StateChange;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::timeout;

/// Words for this gateway itself or for others once the disk has what they stand for.
pub type Kept = Vec<(NodeId, Message)>;

/// Orders that wait for their end at once; fewer than the core has room for on each register.
const MOST_ORDERS: usize = 48;
/// A caller moves on after a second of silence.
pub const WITHIN: f64 = 0.9;
/// The core ends an order after 0.9 s.
const MOVES_ON: Duration = Duration::from_millis(950);
/// The same for a change of the voters, which a person waits for; the core ends it after 2.5 s.
const RESEATS: Duration = Duration::from_millis(2700);
/// Word of a majority counts for so long as contact: as long as a data gateway stays with a control gateway that no majority
/// answers (`archlink_control_client::session`). An order that is begun later in a cut than that would only wait to end unclear.
pub const FRESH: f64 = 2.0;
/// The links of a process that has only started come up one by one, a voter with an emptied disk is whole after 2.5 s, and
/// after a loss of power of all nobody has an answer yet: an order that waits then is taken the moment that a majority is
/// there, while one that is sent away comes back after a pause that grows.
pub const YOUNG: f64 = 5.0;
/// For so long an order waits for word of a majority where the last is old: what was asked in vain is asked again after 0.1 s
/// and a tick; two ways between the widest pair of regions and a slow sync fit in besides.
const PROBE: f64 = 0.25;
/// Several ticks are due in that time: without one this process stood still.
const STOOD_STILL: f64 = 0.25;

/// What an operator may order of the core.
pub enum Order {
    Change(Change),
    Reseat(MembershipChange),
}

/// Why an order was not begun: it never will be, and the same one may come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unbegun {
    /// No majority answers this gateway.
    Contact,
    /// Too many orders wait.
    Many,
    /// The first start has not taken in as many voters as are needed.
    Founding,
}

pub struct Node {
    pub settings: Settings,
    pub clock: Clock,
    pub me: NodeId,
    control: RefCell<ControlNodeState>,
    book: RefCell<Counter>,
    disk: Option<Box<dyn Disk>>,
    backlog: RefCell<Backlog>,
    kept: mpsc::UnboundedSender<Kept>,
    /// Control gateways that the settings file names.
    pub seeds: RefCell<Vec<NodeId>>,
    pub links: RefCell<HashMap<NodeId, MessageSender>>,
    pub sessions: RefCell<HashMap<NodeId, MessageSender>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Outcome>>>,
    tokens: Cell<u64>,
    /// The configuration in force, read.
    configuration: RefCell<Option<Rc<Configuration>>>,
    texts: RefCell<UpdateDelivery>,
    notices: RefCell<Notices>,
    /// When this process began, and its last tick.
    began: f64,
    ticked: Cell<f64>,
    pub leaving: Cell<bool>,
    /// Rung when something is learned or confirmed.
    pub news: Notify,
}

impl Node {
    pub fn new(
        settings: Settings,
        clock: Clock,
        control: ControlNodeState,
        disk: Option<Box<dyn Disk>>,
        kept: mpsc::UnboundedSender<Kept>,
    ) -> Rc<Node> {
        Rc::new(Node {
            me: archlink_runtime::node_id(settings.ip),
            seeds: RefCell::new(crate::peer_links::seeds(&settings)),
            settings,
            clock,
            control: RefCell::new(control),
            book: RefCell::default(),
            disk,
            backlog: RefCell::default(),
            kept,
            links: RefCell::default(),
            sessions: RefCell::default(),
            waiting: RefCell::default(),
            tokens: Cell::new(0),
            configuration: RefCell::default(),
            texts: RefCell::default(),
            notices: RefCell::default(),
            began: clock.now(),
            ticked: Cell::new(clock.now()),
            leaving: Cell::new(false),
            news: Notify::new(),
        })
    }

    /// Looks at the core without acting.
    pub fn look<R>(&self, at: impl FnOnce(&ControlNodeState, f64) -> R) -> R {
        at(&self.control.borrow(), self.clock.now())
    }

    /// One step of the core, and all that follows from it.
    pub fn step(&self, step: impl FnOnce(&mut ControlNodeState, f64) -> Vec<Effect>) {
        let now = self.clock.now();
        let effects = step(&mut self.control.borrow_mut(), now);
        self.perform(now, effects);
    }

    pub fn hear(&self, from: NodeId, word: Message) {
        self.step(|control, now| control.step(now, from, word));
    }

    fn perform(&self, now: f64, effects: Vec<Effect>) {
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Send(to, word) if to == self.me => {
                    effects.extend(self.control.borrow_mut().step(now, self.me, word));
                }
                Effect::Send(to, word) => self.send(to, word),
                Effect::Store(DurableRecord { acceptors: slots, grants, voter_set }, then) => {
                    self.store(StateChange { voter_set, acceptors: slots, grants }, then);
                }
                Effect::Learned(register) => {
                    self.learned(register);
                    effects.extend(self.control.borrow_mut().broadcast_heartbeat(now));
                }
                Effect::ProposalResolved(token, outcome) => {
                    if let Some(waiting) = self.waiting.borrow_mut().remove(&token) {
                        waiting.send(outcome).ok();
                    }
                }
            }
        }
        self.news.notify_waiters();
    }

    fn store(&self, entered: StateChange, then: Kept) {
        let Some(disk) = &self.disk else {
            self.kept.send(then).ok();
            return;
        };
        let kept = self.kept.clone();
        let mut backlog = self.backlog.borrow_mut();
        let before = backlog.behind();
        if !backlog.enter(disk.as_ref(), entered, move || kept.send(then).unwrap_or_default()) && !before {
            log::warn!("the disk is behind: nothing is said until it has taken what waits");
        }
    }

    /// What the disk had no room for is given to it again, also where nothing new is to be kept.
    fn catch_up(&self) {
        if self.backlog.borrow().behind() {
            self.store(StateChange::default(), Kept::new());
        }
    }

    /// What the disk has taken: the words that waited for it may go.
    pub fn kept(&self, words: Kept) {
        self.backlog.borrow_mut().told();
        for (to, word) in words {
            if to == self.me { self.hear(to, word) } else { self.send(to, word) }
        }
    }

    /// A link that is full or down loses the word: all parts ask again.
    pub fn send(&self, to: NodeId, word: Message) {
        if let Some(link) = self.links.borrow().get(&to) {
            link.try_send(word).ok();
        }
    }

    fn learned(&self, register: Register) {
        let control = self.control.borrow();
        let Some(held) = control.proposer.chosen(register) else { return };
        log::info!("{} {} is chosen", answer_names::register(register), held.revision);
        if register == Register::Configuration {
            let text = match patch::decompress(&held.value, b"") {
                Ok(text) => text,
                Err(e) => return log::error!("the chosen configuration can't be unpacked: {e}"),
            };
            match Configuration::read(&text) {
                Ok(configuration) => *self.configuration.borrow_mut() = Some(Rc::new(configuration)),
                Err(e) => log::error!("the chosen configuration can't be read: {e}"),
            }
            self.texts.borrow_mut().configuration_learned(held.ordering_key(), text);
        }
        drop(control);
        self.tell_sessions();
    }

    /// What a data gateway lacks.
    pub fn lacking(&self, theirs: &VersionVector) -> Vec<StateUpdate> {
        self.look(|control, now| self.texts.borrow_mut().updates_for(now, control, theirs))
    }

    /// Lets all data gateways in session know that there is something to pull.
    pub fn tell_sessions(&self) {
        let beat = self.look(|control, now| control.heartbeat(now, 0));
        self.sessions.borrow().values().for_each(|session| drop(session.try_send(beat.clone())));
    }

    /// Carries an order to its end, where the call's rule of contact lets it begin.
    pub async fn order(&self, call: Call, order: Order) -> Result<Outcome, Unbegun> {
        if call.rests() == Rests::Contact && !self.young() && !self.asked().await {
            log::warn!("{call:?} is not begun: no majority answers");
            return Err(Unbegun::Contact);
        }
        if self.waiting.borrow().len() >= MOST_ORDERS {
            return Err(Unbegun::Many);
        }
        // While a first start takes its voters in, an order waits for that as it does for a majority.
        let founded =
            |control: &ControlNodeState, now| control.voter_set_status(now).established.then_some(());
        if self.rung(WITHIN, founded).await.is_none() {
            return Err(Unbegun::Founding);
        }
        let token = self.tokens.get();
        self.tokens.set(token + 1);
        let (sender, done) = oneshot::channel();
        self.waiting.borrow_mut().insert(token, sender);
        let withdraw = Withdraw { port: self, token };
        let within = match order {
            Order::Change(change) => {
                self.step(|control, now| control.propose(now, change, token));
                MOVES_ON
            }
            Order::Reseat(reseat) => {
                self.step(|control, now| control.change_membership(now, reseat, token));
                RESEATS
            }
        };
        let outcome = timeout(within, done).await;
        drop(withdraw);
        Ok(outcome.ok().and_then(Result::ok).unwrap_or(Outcome::Unknown))
    }

    /// Seconds since a question was asked to which a majority answered.
    pub fn contact(&self) -> Option<f64> {
        self.look(|control, now| {
            // Any register tells: one at which orders are at work has no settled ballot meanwhile.
            let at = REGISTERS.iter().filter_map(|&register| control.proposer.confirmed(register));
            at.max_by(f64::total_cmp).map(|at| now - at)
        })
    }

    /// Does a majority answer, as far as is known?
    pub fn fresh(&self) -> bool {
        self.contact().is_some_and(|ago| ago <= FRESH)
    }

    /// Has this process only started?
    pub fn young(&self) -> bool {
        self.clock.now() < self.began + YOUNG
    }

    /// Does a majority answer? Where its last word is old it is asked at once, so that the first order after a cut is taken.
    pub async fn asked(&self) -> bool {
        if self.fresh() {
            return true;
        }
        self.step(|control, now| control.proposer.request_confirmation(now));
        self.rung(PROBE, |_, _| self.fresh().then_some(())).await.is_some()
    }

    /// What `found` finds once it does, looked for each time that something is learned or confirmed.
    async fn rung<T>(&self, within: f64, found: impl Fn(&ControlNodeState, f64) -> Option<T>) -> Option<T> {
        let until = self.clock.now() + within;
        loop {
            let rung = self.news.notified();
            let found = self.look(&found);
            let left = until - self.clock.now();
            if found.is_some() || left <= 0.0 {
                return found;
            }
            timeout(Duration::from_secs_f64(left), rung).await.ok();
        }
    }

    /// The chosen value of a register, confirmed by a majority after this call began; none where none confirms in time.
    pub async fn read(&self, register: Register, within: f64) -> Option<Option<AcceptedValue>> {
        let began = self.clock.now();
        self.step(|control, now| control.proposer.request_confirmation(now));
        let confirmed =
            |control: &ControlNodeState| control.proposer.confirmed(register).is_some_and(|at| at >= began);
        self.rung(within, |control, _| confirmed(control).then(|| control.proposer.chosen(register).cloned()))
            .await
    }

    /// Time passes: what ends by itself ends.
    pub fn tick(&self) {
        self.ticked.set(self.clock.now());
        self.step(|control, now| control.tick(now));
        self.catch_up();
        let contact = self.contact();
        self.look(|control, now| {
            let holds = |role| control.leases.held_lease(now, role).map(|term| term.term);
            let seen = Seen {
                contact,
                voter_set: control.voter_set(),
                held: SINGLETON_ROLES.map(|role| (role, holds(role))),
            };
            self.notices.borrow_mut().look(now, &seen)
        })
        .into_iter()
        .for_each(|line| log::info!("{line}"));
    }

    /// A process that stood still knows only what was so before: time passes first, and what has come in meanwhile, ends of
    /// connections among it, is taken in.
    pub async fn awake(&self) {
        if self.clock.now() > self.ticked.get() + STOOD_STILL {
            log::warn!("stood still for {:.1} s", self.clock.now() - self.ticked.get());
            self.tick();
        }
        yield_now().await;
    }

    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Totals of a data gateway's adds; none where this gateway does not hold the counts, or not long enough.
    pub fn count(&self, term: u64, adds: &[CounterAdd]) -> Option<Vec<f32>> {
        let now = self.clock.now();
        let held = self.control.borrow().counter_lease(now).filter(|held| held.term == term)?;
        if now < held.since + NEW_HOLDER_SILENCE {
            return None;
        }
        self.book.borrow_mut().add(now, term, adds)
    }

    pub fn names(&self) -> usize {
        self.book.borrow().key_count()
    }
}

/// A caller that is gone takes back what is not under way yet.
struct Withdraw<'a> {
    port: &'a Node,
    token: u64,
}

impl Drop for Withdraw<'_> {
    fn drop(&mut self) {
        if self.port.waiting.borrow_mut().remove(&self.token).is_some() {
            self.port.control.borrow_mut().proposer.withdraw(self.token);
        }
    }
}
