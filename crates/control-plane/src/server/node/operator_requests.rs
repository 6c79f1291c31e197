//! Operators' proposals. Each waits for its outcome, and is withdrawn when the client disconnects.

use super::{CLIENT_TIMEOUT, Node};
use archlink_consensus::proposer::Change;
use archlink_consensus::{MembershipChange, Outcome};
use archlink_control_node::node::ControlNodeState;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Maximum number of requests that wait for an outcome, below the core's limit of proposals for each register.
const MAX_PENDING_REQUESTS: usize = 48;
/// Wait for the outcome of a change. The core gives up after 0.9 s.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(950);
/// Wait for the outcome of a membership change, for which an operator accepts a longer wait. The core gives up after 2.5 s.
const MEMBERSHIP_CHANGE_TIMEOUT: Duration = Duration::from_millis(2700);

/// An operator's request to the core.
pub enum OperatorRequest {
    /// Change the value of a register.
    Change(Change),
    /// Change the voter set.
    Membership(MembershipChange),
}

/// Why a request was not started. It never will be, so the same request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotStarted {
    /// This node has no quorum contact.
    NoQuorum,
    /// Too many requests are pending.
    TooManyPending,
    /// The first start of the cluster has not found the required number of voters yet.
    NotBootstrapped,
}

/// Pending proposals by token.
#[derive(Default)]
pub(super) struct PendingProposals {
    outcomes: RefCell<HashMap<u64, oneshot::Sender<Outcome>>>,
    next_token: Cell<u64>,
}

impl PendingProposals {
    fn is_full(&self) -> bool {
        self.outcomes.borrow().len() >= MAX_PENDING_REQUESTS
    }

    fn register(&self) -> (u64, oneshot::Receiver<Outcome>) {
        let token = self.next_token.get();
        self.next_token.set(token + 1);
        let (sender, outcome) = oneshot::channel();
        self.outcomes.borrow_mut().insert(token, sender);
        (token, outcome)
    }

    /// Passes the outcome to the waiting request.
    pub(super) fn resolve(&self, token: u64, outcome: Outcome) {
        if let Some(waiter) = self.outcomes.borrow_mut().remove(&token) {
            waiter.send(outcome).ok();
        }
    }
}

/// Withdraws a proposal that has no outcome yet when the request that waits for it is dropped.
struct WithdrawOnDrop<'a> {
    node: &'a Node,
    token: u64,
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        if self.node.pending.outcomes.borrow_mut().remove(&self.token).is_some() {
            self.node.state.borrow_mut().proposer.withdraw(self.token);
        }
    }
}

impl Node {
    /// Submits a proposal and waits for the outcome, which is `Unknown` if there is none in time.
    pub async fn submit(&self, request: OperatorRequest) -> Result<Outcome, NotStarted> {
        if self.pending.is_full() {
            return Err(NotStarted::TooManyPending);
        }
        // During the first start a request waits for the voters, as it waits for a quorum later.
        let bootstrapped =
            |state: &ControlNodeState, now| state.voter_set_status(now).established.then_some(());
        if self.wait_for(CLIENT_TIMEOUT, bootstrapped).await.is_none() {
            return Err(NotStarted::NotBootstrapped);
        }
        let (token, outcome) = self.pending.register();
        let guard = WithdrawOnDrop { node: self, token };
        let limit = match request {
            OperatorRequest::Change(change) => {
                self.step(|state, now| state.propose(now, change, token));
                CHANGE_TIMEOUT
            }
            OperatorRequest::Membership(change) => {
                self.step(|state, now| state.change_membership(now, change, token));
                MEMBERSHIP_CHANGE_TIMEOUT
            }
        };
        let outcome = timeout(limit, outcome).await;
        drop(guard);
        Ok(outcome.ok().and_then(Result::ok).unwrap_or(Outcome::Unknown))
    }
}
