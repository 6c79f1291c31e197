//! The runtime of one control node: passes time, messages and requests to the core (`archlink_control_node`) and performs the
//! effects that the core returns.
//!
//! The submodules are `effects` (I/O), `operator_requests` (proposals of operators), `quorum_contact` (waiting for a quorum),
//! `counter` (quota counter) and `sessions` (data nodes). Invariant: no protocol decision is made here, and no message that
//! depends on a write is sent before that write is durable.

mod counter;
mod effects;
mod operator_requests;
mod quorum_contact;
mod sessions;

pub use operator_requests::{NotStarted, OperatorRequest};
pub use quorum_contact::CLIENT_TIMEOUT;

use super::seeds::seed_nodes;
use super::transition_log::{Observation, TransitionLog};
use super::write_queue::{BlockedMessages, StateWriter, WriteQueue};
use archlink_config::{Configuration, Settings};
use archlink_consensus::Effect;
use archlink_control_node::node::ControlNodeState;
use archlink_control_node::update_delivery::UpdateDelivery;
use archlink_messages::{Message, NodeId, SINGLETON_ROLES, StateUpdate, VersionVector};
use archlink_quota::counter::Counter;
use archlink_runtime::{Clock, MessageSender};
use operator_requests::PendingProposals;
use sessions::Sessions;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::{Notify, mpsc};
use tokio::task::yield_now;

/// Seconds without a tick after which this process counts as stalled. Several ticks are due in that time.
const STALL_THRESHOLD: f64 = 0.25;

/// A control node: its core, connections, write queue and pending operator requests.
pub struct Node {
    /// The settings file as read at the start.
    pub settings: Settings,
    /// The monotonic clock of this process.
    pub clock: Clock,
    /// The ID of this node.
    pub id: NodeId,
    state: RefCell<ControlNodeState>,
    counter: RefCell<Counter>,
    write_queue: RefCell<WriteQueue>,
    /// The seed nodes of the settings file, reloaded while there is no quorum contact.
    pub seeds: RefCell<Vec<NodeId>>,
    /// Send queues of the outgoing links, one for each peer.
    pub links: RefCell<HashMap<NodeId, MessageSender>>,
    /// Connections of data nodes in session.
    pub sessions: Sessions,
    pending: PendingProposals,
    /// The parsed configuration in force.
    configuration: RefCell<Option<Rc<Configuration>>>,
    update_delivery: RefCell<UpdateDelivery>,
    transition_log: RefCell<TransitionLog>,
    /// Time on `clock` at which this process started, in seconds.
    started_at: f64,
    /// Time on `clock` of the last tick, in seconds.
    ticked_at: Cell<f64>,
    /// Set once the node shuts down; every response then closes its connection.
    pub draining: Cell<bool>,
    /// Notified after each step of the core, which may have learned or confirmed a value.
    pub progress: Notify,
}

impl Node {
    /// Creates a node with this core. Messages that wait for a write are sent on `durable` once it is durable, and have to be
    /// passed to [`Node::on_durable`]. Without `storage` every write counts as durable at once.
    pub fn new(
        settings: Settings,
        clock: Clock,
        state: ControlNodeState,
        storage: Option<Box<dyn StateWriter>>,
        durable: mpsc::UnboundedSender<BlockedMessages>,
    ) -> Rc<Node> {
        Rc::new(Node {
            id: archlink_runtime::node_id(settings.ip),
            seeds: RefCell::new(seed_nodes(&settings)),
            settings,
            clock,
            state: RefCell::new(state),
            counter: RefCell::default(),
            write_queue: RefCell::new(WriteQueue::new(storage, durable)),
            links: RefCell::default(),
            sessions: Sessions::default(),
            pending: PendingProposals::default(),
            configuration: RefCell::default(),
            update_delivery: RefCell::default(),
            transition_log: RefCell::default(),
            started_at: clock.now(),
            ticked_at: Cell::new(clock.now()),
            draining: Cell::new(false),
            progress: Notify::new(),
        })
    }

    /// Reads the core's state at the current time.
    pub fn with_state<R>(&self, read: impl FnOnce(&ControlNodeState, f64) -> R) -> R {
        read(&self.state.borrow(), self.clock.now())
    }

    /// Runs one step of the core and performs the effects that it returns.
    pub fn step(&self, step: impl FnOnce(&mut ControlNodeState, f64) -> Vec<Effect>) {
        let now = self.clock.now();
        let effects = step(&mut self.state.borrow_mut(), now);
        self.perform(now, effects);
    }

    /// Passes a peer's message to the core.
    pub fn receive(&self, from: NodeId, message: Message) {
        self.step(|state, now| state.step(now, from, message));
    }

    /// Advances the core's time, so that leases and timers expire; retries queued writes and logs transitions.
    pub fn tick(&self) {
        self.ticked_at.set(self.clock.now());
        self.step(|state, now| state.tick(now));
        self.write_queue.borrow_mut().retry();
        self.log_transitions();
    }

    fn log_transitions(&self) {
        let contact_age = self.contact_age();
        let events = self.with_state(|state, now| {
            let held_term = |role| state.leases.held_lease(now, role).map(|lease| lease.term);
            let observation = Observation {
                contact_age,
                voter_set: state.voter_set(),
                held_terms: SINGLETON_ROLES.map(|role| (role, held_term(role))),
            };
            self.transition_log.borrow_mut().observe(now, &observation)
        });
        events.iter().for_each(super::transition_log::TransitionEvent::log);
    }

    /// Brings the state up to date after a stall of this process: advances time, and then yields so that whatever arrived
    /// meanwhile, closed connections included, is processed before a request is answered or started.
    pub async fn catch_up_after_stall(&self) {
        let since_tick = self.clock.now() - self.ticked_at.get();
        if self.clock.now() > self.ticked_at.get() + STALL_THRESHOLD {
            log::warn!(stalled_s:% = format_args!("{since_tick:.1}"); "process stalled");
            self.tick();
        }
        yield_now().await;
    }

    /// The parsed configuration in force, as far as this node has learned it.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// The state updates that a data node with these versions is missing.
    pub fn missing_updates(&self, versions: &VersionVector) -> Vec<StateUpdate> {
        self.with_state(|state, now| self.update_delivery.borrow_mut().updates_for(now, state, versions))
    }

    /// Sends the current versions to all data nodes in session, so that they request the updates that they are missing.
    pub fn notify_sessions(&self) {
        let heartbeat = self.with_state(|state, now| state.heartbeat(now, 0));
        self.sessions.broadcast(&heartbeat);
    }
}
