//! The attempts of one admitted request: starts them, and ends with a host's response, the deadline, or the client's
//! disconnect.

use crate::attempt_task::{Attempt, AttemptResult, run_attempt};
use crate::attempts::{Attempts, NextStep};
use crate::data_plane::DataPlane;
use crate::host_selection::HostSelection;
use crate::rejection::Rejection;
use crate::upstream::UpstreamRequest;
use archlink_http::codec::HostResponse;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// Results of attempts that may wait to be read: more than are ever in flight.
const MAX_PENDING_RESULTS: usize = 8;
/// Where no hedge is due, the timer's place is taken by an instant that is not awaited.
const NO_HEDGE: Duration = Duration::from_secs(3600);

/// How an attempt counts in the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BudgetUse {
    /// A first attempt, or one in place of an attempt that sent nothing.
    Deposit,
    /// A retry or a hedged request.
    Withdraw,
}

/// How a request ends.
type Outcome = Result<HostResponse, Rejection>;

struct Dispatch<'a, 'b> {
    data_plane: &'a Rc<DataPlane>,
    selection: &'a mut HostSelection<'b>,
    attempts: Attempts,
    outgoing: &'a Rc<UpstreamRequest>,
    /// The request has a key, which may be served only while the configuration is confirmed.
    keyed: bool,
    deadline: Instant,
    results: mpsc::Sender<AttemptResult>,
    /// An attempt that is due now.
    due: Option<BudgetUse>,
    hedge_at: Option<Instant>,
    disconnect_seen: bool,
}

/// Carries an admitted request through its attempts.
///
/// # Errors
/// How it ends without a host's response. A client that disconnects ends an idempotent request at once; one that is not
/// idempotent and in flight goes on, and its response is still read.
pub async fn dispatch(
    selection: &mut HostSelection<'_>,
    attempts: Attempts,
    outgoing: &Rc<UpstreamRequest>,
    keyed: bool,
) -> Outcome {
    let data_plane = selection.data_plane();
    let client = &outgoing.client;
    let (sender, mut results) = mpsc::channel(MAX_PENDING_RESULTS);
    let mut dispatch = Dispatch {
        deadline: selection.deadline().instant(&data_plane.clock),
        data_plane,
        selection,
        attempts,
        outgoing,
        keyed,
        results: sender,
        due: Some(BudgetUse::Deposit),
        hedge_at: None,
        disconnect_seen: false,
    };
    loop {
        dispatch.start_due_attempt().await?;
        let hedge_at = dispatch.hedge_at.unwrap_or_else(|| Instant::now() + NO_HEDGE);
        let ended = tokio::select! {
            biased;
            _ = client.disconnected(), if !dispatch.disconnect_seen => dispatch.client_disconnected(),
            result = results.recv() => dispatch.attempt_ended(result),
            _ = sleep_until(hedge_at), if dispatch.hedge_at.is_some() => dispatch.hedge(),
        };
        if let Some(outcome) = ended {
            return outcome;
        }
    }
}

impl Dispatch<'_, '_> {
    /// Starts the attempt that is due, unless the client has disconnected.
    async fn start_due_attempt(&mut self) -> Result<(), Rejection> {
        let Some(budget_use) = self.due else { return Ok(()) };
        if self.attempts.any_started() {
            self.outgoing.client.recheck().await;
        }
        self.due = None;
        if self.outgoing.client.is_disconnected() || self.start_attempt(budget_use) {
            return Ok(());
        }
        self.hedge_at = None;
        if self.attempts.any_in_flight() { Ok(()) } else { Err(self.no_response()) }
    }

    /// Starts an attempt; false where no host has room, the retry budget has no retry, or the key is not confirmed.
    fn start_attempt(&mut self, budget_use: BudgetUse) -> bool {
        let data_plane = self.data_plane;
        // Asked anew after each wait: a freeze of the machine may be among them.
        let confirmed = !self.keyed || data_plane.is_confirmed();
        let selected = self.selection.select().filter(|_| confirmed);
        let Some((host, service)) = selected.map(|(host, service)| (host, service.to_string())) else {
            return false;
        };
        if budget_use == BudgetUse::Withdraw && !data_plane.retry_budget.borrow_mut().try_withdraw(&service) {
            return false;
        }
        let now = data_plane.clock.now();
        if budget_use == BudgetUse::Deposit {
            let (bound, data_nodes) = (data_plane.retry_bound(), data_plane.data_node_count());
            data_plane.retry_budget.borrow_mut().deposit(&bound, &service, data_nodes);
        }
        self.attempts.attempt_started();
        let hedge_delay = self.attempts.hedge_delay(host.expected_time);
        self.hedge_at = hedge_delay.map(|delay| data_plane.clock.instant_at(now + delay));
        self.selection.attempt_started(now, host.key);
        let attempt = Attempt { host, service, deadline: self.deadline, outgoing: self.outgoing.clone() };
        spawn_local(run_attempt(data_plane.clone(), attempt, self.results.clone()));
        true
    }

    /// The client has disconnected: no hedge any more, and no retry.
    fn client_disconnected(&mut self) -> Option<Outcome> {
        self.disconnect_seen = true;
        self.hedge_at = None;
        let rejection = self.selection.client_disconnected(self.attempts.local_outcome());
        // An attempt that is not idempotent goes on, and its response may still be read.
        let ends = self.outgoing.idempotent || !self.attempts.any_in_flight();
        ends.then_some(Err(rejection))
    }

    fn attempt_ended(&mut self, result: Option<AttemptResult>) -> Option<Outcome> {
        let Some(AttemptResult { progress, response }) = result else { return Some(Err(self.no_response())) };
        let class = progress.classify(self.outgoing.idempotent);
        let remaining = match self.outgoing.client.is_disconnected() {
            true => 0.0,
            false => self.selection.deadline().remaining(self.data_plane.clock.now()),
        };
        match self.attempts.attempt_ended(class, remaining) {
            NextStep::Relay => return Some(response.ok_or_else(|| self.no_response())),
            NextStep::Retry { budgeted } => {
                self.due = Some(if budgeted { BudgetUse::Withdraw } else { BudgetUse::Deposit });
            }
            NextStep::Wait => {}
            NextStep::GiveUp(outcome) => return Some(Err(Rejection::NoResponse(outcome))),
        }
        None
    }

    /// The attempt in flight is slow: another one is due beside it.
    fn hedge(&mut self) -> Option<Outcome> {
        self.due = Some(BudgetUse::Withdraw);
        self.hedge_at = None;
        None
    }

    fn no_response(&self) -> Rejection {
        Rejection::NoResponse(self.attempts.local_outcome())
    }
}
