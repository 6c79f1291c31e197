//! Runs the attempts of one admitted request until a host's response can be relayed, the request fails or its client
//! disconnects.

use crate::attempt_task::{Attempt, AttemptResult, run_attempt};
use crate::attempts::{Attempts, NextStep};
use crate::data_plane::DataPlane;
use crate::host_selection::HostSelection;
use crate::local_reply::LocalReply;
use crate::upstream::UpstreamRequest;
use archlink_http::codec::HostResponse;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// Capacity of the channel for results: more than there are ever attempts in flight.
const MAX_PENDING_RESULTS: usize = 8;
/// Delay of the hedge timer while it is disabled; it is never awaited.
const UNUSED_TIMER_DELAY: Duration = Duration::from_secs(3600);

/// How an attempt counts in the retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BudgetUse {
    /// Deposits: the first attempt, or one that replaces an attempt that sent nothing.
    Deposit,
    /// Withdraws: a retry or a hedged request.
    Withdraw,
}

/// The response to relay, or the reason for a local reply.
type Outcome = Result<HostResponse, LocalReply>;

struct Dispatch<'a, 'b> {
    data_plane: &'a Rc<DataPlane>,
    selection: &'a mut HostSelection<'b>,
    attempts: Attempts,
    outgoing: &'a Rc<UpstreamRequest>,
    /// Whether the request has a key, so that it may be served only while the configuration is confirmed.
    keyed: bool,
    deadline: Instant,
    results: mpsc::Sender<AttemptResult>,
    /// The attempt to start next, if any.
    due_attempt: Option<BudgetUse>,
    hedge_at: Option<Instant>,
    disconnect_handled: bool,
}

/// Runs the attempts of an admitted request.
///
/// If the client disconnects, an idempotent request ends at once. A request that is not idempotent and has an attempt in
/// flight continues, and its response is still read.
///
/// # Errors
///
/// Returns the local reply if there is no host's response to relay.
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
        due_attempt: Some(BudgetUse::Deposit),
        hedge_at: None,
        disconnect_handled: false,
    };
    loop {
        dispatch.start_due_attempt().await?;
        let hedge_at = dispatch.hedge_at.unwrap_or_else(|| Instant::now() + UNUSED_TIMER_DELAY);
        let ended = tokio::select! {
            biased;
            _ = client.disconnected(), if !dispatch.disconnect_handled => dispatch.client_disconnected(),
            result = results.recv() => dispatch.attempt_ended(result),
            _ = sleep_until(hedge_at), if dispatch.hedge_at.is_some() => dispatch.hedge(),
        };
        if let Some(outcome) = ended {
            return outcome;
        }
    }
}

impl Dispatch<'_, '_> {
    /// Starts the due attempt, if any, unless the client has disconnected.
    async fn start_due_attempt(&mut self) -> Result<(), LocalReply> {
        let Some(budget_use) = self.due_attempt else { return Ok(()) };
        if self.attempts.any_started() {
            self.outgoing.client.refresh().await;
        }
        self.due_attempt = None;
        if self.outgoing.client.is_disconnected() || self.start_attempt(budget_use) {
            return Ok(());
        }
        self.hedge_at = None;
        if self.attempts.any_in_flight() { Ok(()) } else { Err(self.no_host_response()) }
    }

    /// Starts an attempt. Returns false if no host is available, the retry budget is used up, or the key can't be served
    /// because the configuration is not confirmed.
    fn start_attempt(&mut self, budget_use: BudgetUse) -> bool {
        let data_plane = self.data_plane;
        // Checked for each attempt: the machine may have been suspended during the wait before it.
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

    /// Handles the client's disconnect: from now on the request is neither hedged nor retried.
    fn client_disconnected(&mut self) -> Option<Outcome> {
        self.disconnect_handled = true;
        self.hedge_at = None;
        let local_reply = self.selection.client_disconnected(self.attempts.local_outcome());
        // An attempt that is not idempotent continues: a client that closed only its sending side still reads the response.
        let ends = self.outgoing.idempotent || !self.attempts.any_in_flight();
        ends.then_some(Err(local_reply))
    }

    fn attempt_ended(&mut self, result: Option<AttemptResult>) -> Option<Outcome> {
        let Some(AttemptResult { progress, response }) = result else {
            return Some(Err(self.no_host_response()));
        };
        let class = progress.classify(self.outgoing.idempotent);
        let remaining = match self.outgoing.client.is_disconnected() {
            true => 0.0,
            false => self.selection.deadline().remaining(self.data_plane.clock.now()),
        };
        match self.attempts.attempt_ended(class, remaining) {
            NextStep::Relay => return Some(response.ok_or_else(|| self.no_host_response())),
            NextStep::Retry { budgeted } => {
                self.due_attempt = Some(if budgeted { BudgetUse::Withdraw } else { BudgetUse::Deposit });
            }
            NextStep::Wait => {}
            NextStep::GiveUp(outcome) => return Some(Err(LocalReply::NoHostResponse(outcome))),
        }
        None
    }

    /// Hedges the request because the attempt in flight is slow.
    fn hedge(&mut self) -> Option<Outcome> {
        self.due_attempt = Some(BudgetUse::Withdraw);
        self.hedge_at = None;
        None
    }

    fn no_host_response(&self) -> LocalReply {
        LocalReply::NoHostResponse(self.attempts.local_outcome())
    }
}
