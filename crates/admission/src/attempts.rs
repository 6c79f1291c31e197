//! Attempts: when one is overdue, when it is retried, and how a request ends.

use crate::admission::Admission;
use crate::interface::*;
use crate::state::*;
use crate::windows::SPREAD_OUT_ABOVE;

impl Admission {
    /// Handles a request whose quota is granted: starts the first attempt, or refunds the units if no host has capacity.
    pub(crate) fn dispatch(&mut self, driver: &mut dyn Driver, id: u32) {
        // A request close to its deadline is rejected at once, since nothing may be sent after the deadline.
        let in_time = self.requests[&id].deadline > self.now + 0.01;
        let Some(host) = self.select_host(id).filter(|_| in_time) else {
            self.refund(driver, id);
            return self.reject_overloaded(driver, id);
        };
        self.begin_attempt(driver, id, host);
    }

    /// Starts an attempt at a host, and the timer after which it is overdue.
    pub(crate) fn begin_attempt(&mut self, driver: &mut dyn Driver, id: u32, host: HostId) {
        // Multiple of the latency target after which an attempt is overdue; a smaller one mostly catches long requests.
        const OVERDUE_AFTER: f64 = 2.0;
        let now = self.now;
        let (Some(request), Some(target)) = (self.requests.get_mut(&id), self.hosts.get_mut(&host)) else {
            return;
        };
        let attempt = request.attempts.len() as u16;
        let HostEntry { zone, cell, .. } = target.entry;
        request.attempts.push(Attempt { host, zone, cell, started_at: now, live: true, may_have_run: true });
        let class = request.class;
        target.in_flight += 1.0;
        target.classes[class].in_flight += 1.0;
        self.fleet.in_flight += 1.0;
        let overdue_after = self.classes[class].latency_target * OVERDUE_AFTER;
        let overdue_timer = self.schedule(
            overdue_after,
            Box::new(move |gateway, driver| gateway.attempt_overdue(driver, id, attempt)),
        );
        let continuation: AttemptContinuation =
            Box::new(move |gateway, driver, result| gateway.after_attempt(driver, id, result));
        self.attempts.insert((id, attempt), InFlightAttempt { overdue_timer, class, continuation });
        driver.start_attempt(id, host, 0.0);
    }

    /// Handles an attempt that is overdue: hedges or cancels it, unless its host is only busy or the request may not be
    /// retried.
    pub(crate) fn attempt_overdue(&mut self, driver: &mut dyn Driver, id: u32, attempt: u16) {
        if !self.attempts.contains_key(&(id, attempt)) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let Some(sent) = request.attempts.get(usize::from(attempt)) else { return };
        let (host, class, started_at, last) =
            (sent.host, request.class, sent.started_at, request.attempts.len() == usize::from(attempt) + 1);
        // A host that has answered other requests of this class since is only busy, or the request is long: a second attempt
        // would harm both.
        let answered_since = |host: &Host| host.classes[class].last_answered > started_at;
        let leave_alone =
            !last || request.deadline - self.now < 0.1 || self.hosts.get(&host).is_some_and(answered_since);
        if leave_alone || !self.may_retry(id) {
            return;
        }
        // With many gateways the host is ejected at once, even if no other host may run the request: attempts that it holds
        // would otherwise count against the capacity of all other hosts.
        if self.gateways_per_host > f64::from(SPREAD_OUT_ABOVE) {
            self.eject(driver, host, Some(class));
        }
        match (self.settings.may_hedge, self.settings.may_cancel && self.has_capacity(class)) {
            (true, _) => {
                self.select_host(id).into_iter().for_each(|host| self.begin_attempt(driver, id, host))
            }
            (_, true) => driver.cancel_attempt(id, attempt),
            _ => {}
        }
    }

    /// Whether another attempt is safe, within the limit of attempts, and still of use to the client.
    pub(crate) fn may_retry(&self, id: u32) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let class = &self.classes[request.class];
        let first_run = request
            .attempts
            .iter()
            .filter(|sent| sent.live || sent.may_have_run)
            .map(|sent| sent.started_at)
            .reduce(f64::min);
        let safe =
            first_run.is_none_or(|started_at| class.retryable && self.now < started_at + class.dedup_window);
        safe && request.attempts.len() < self.settings.max_attempts as usize
            && request.useful_until > self.now + 1e-3
    }

    /// Handles the end of an attempt: it leads to a retry or to the client's answer, unless it was the final one.
    pub fn attempt_ended(&mut self, now: f64, driver: &mut dyn Driver, ended: AttemptResult) {
        self.now = now;
        let Some(InFlightAttempt { overdue_timer, class, continuation }) =
            self.attempts.remove(&(ended.request, ended.attempt))
        else {
            return;
        };
        self.timers.remove(&overdue_timer);
        self.record_outcome(driver, &ended, class);
        if let Some(request) = self.requests.get_mut(&ended.request) {
            if let Some(sent) = request.attempts.get_mut(usize::from(ended.attempt)) {
                sent.live = false;
                let never_ran = [Outcome::Full, Outcome::ConnectFailed, Outcome::NeverSent];
                sent.may_have_run = !never_ran.contains(&ended.outcome);
            }
            // The difference to the true units is charged to the same window, with the next add to its key.
            let settle = self.settings.settles && ended.true_units > 0.0;
            if let Some(Charge { key, lifetime, .. }) = request.charged.filter(|_| settle) {
                let difference = ended.true_units - request.units;
                self.customers
                    .entry(request.customer)
                    .and_modify(|customer| customer.windows[0].remaining_units -= difference);
                self.counter_entry(key, lifetime).wanted += difference;
            }
            if ended.final_attempt {
                self.finish(driver, ended.request);
            } else {
                continuation(self, driver, &ended);
            }
        }
        self.arm_timer(driver);
    }

    /// Retries a request after an attempt, or gives up if it may not be retried; does nothing while another attempt is in
    /// flight.
    pub(crate) fn after_attempt(&mut self, driver: &mut dyn Driver, id: u32, ended: &AttemptResult) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.deadline > self.now + 1e-3 && request.attempts.iter().any(|sent| sent.live) {
            return;
        }
        let retry = ended.outcome != Outcome::NeverSent && self.may_retry(id);
        match retry.then(|| self.select_host(id)).flatten() {
            Some(host) => self.begin_attempt(driver, id, host),
            None => self.give_up(driver, id),
        }
    }

    /// Handles a response that has started and is not complete. The attempt is cancelled soon if the rest does not arrive,
    /// rather than waiting for a broken response as long as the client does. A healthy host sends the rest in far less time;
    /// one that sends more slowly than the timeout is cut off wrongly.
    pub fn response_started(&mut self, now: f64, driver: &mut dyn Driver, id: u32, attempt: u16) {
        const RESPONSE_REST_TIMEOUT: f64 = 0.1;
        self.now = now;
        if self.settings.may_cancel {
            self.schedule(
                RESPONSE_REST_TIMEOUT,
                Box::new(move |_, driver| driver.cancel_attempt(id, attempt)),
            );
        }
        self.arm_timer(driver);
    }

    /// Handles the start of a streamed response: the request no longer has a deadline, and its host counts as having answered.
    pub fn attempt_started(&mut self, now: f64, id: u32, host: HostId) {
        self.now = now;
        self.requests.entry(id).and_modify(|open| open.deadline = f64::INFINITY);
        let class = self.requests.get(&id).map_or(0, |open| open.class);
        self.hosts.entry(host).and_modify(|state| state.classes[class].last_answered = now);
    }

    /// Handles the disconnect of a client. A request that never ran costs its customer nothing.
    pub fn client_disconnected(&mut self, now: f64, driver: &mut dyn Driver, id: u32) {
        self.now = now;
        if self.requests.get(&id).is_some_and(|request| !request.may_have_run()) {
            self.refund(driver, id);
        }
        self.finish(driver, id);
        self.arm_timer(driver);
    }

    /// Rejects a request for lack of capacity, with a short `Retry-After`.
    pub(crate) fn reject_overloaded(&mut self, driver: &mut dyn Driver, id: u32) {
        // `Retry-After` under overload, as a part of the latency target, so that the next try can be in time. It has jitter.
        const RETRY_AFTER_SHARE: f64 = 0.12;
        let wait = self.classes[self.requests[&id].class].latency_target
            * RETRY_AFTER_SHARE
            * (0.5 + self.rng.rand_float());
        self.reject(driver, id, wait);
    }

    pub(crate) fn reject(&mut self, driver: &mut dyn Driver, id: u32, wait: f64) {
        let retry_after = if self.settings.may_send_retry_after {
            wait.clamp(0.0, self.settings.max_retry_after)
        } else {
            0.0
        };
        driver.reject(id, retry_after);
        self.finish(driver, id);
    }

    /// Ends a request without a further attempt: rejects it if the client may retry, aborts it otherwise.
    pub(crate) fn give_up(&mut self, driver: &mut dyn Driver, id: u32) {
        let Some(request) = self.requests.get(&id) else { return };
        let may_have_run = request.may_have_run();
        if request.deadline > self.now + 1e-3
            && (!may_have_run || self.classes[request.class].client_may_retry)
        {
            self.reject_overloaded(driver, id);
        } else {
            driver.abort(id);
            self.finish(driver, id);
        }
    }

    /// Removes the request and cancels its attempts that are still in flight.
    pub(crate) fn finish(&mut self, driver: &mut dyn Driver, id: u32) {
        let Some(request) = self.requests.remove(&id) else { return };
        for (attempt, _) in request.attempts.iter().enumerate().filter(|(_, sent)| sent.live) {
            if self.settings.may_cancel && self.attempts.contains_key(&(id, attempt as u16)) {
                driver.cancel_attempt(id, attempt as u16);
            }
        }
    }
}
