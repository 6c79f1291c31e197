//! Attempts: when one is overdue or retried, and how a request ends.

use crate::admission::Admission;
use crate::interface::*;
use crate::state::*;
use crate::windows::SPREAD_OUT_FROM;

impl Admission {
    /// The quota is granted: starts the first attempt, or refunds the units where no host has capacity.
    pub(crate) fn dispatch(&mut self, driver: &mut dyn Driver, id: u32) {
        // A client that is about to leave is answered at once: nothing may be sent after its deadline.
        let in_time = self.requests[&id].deadline > self.now + 0.01;
        let Some(host) = self.select_host(id).filter(|_| in_time) else {
            self.refund(driver, id);
            return self.reject_overloaded(driver, id);
        };
        self.begin_attempt(driver, id, host);
    }

    pub(crate) fn begin_attempt(&mut self, driver: &mut dyn Driver, id: u32, host: HostId) {
        // Multiple of the latency target after which an attempt is overdue; a smaller one mostly meets long requests.
        const OVERDUE_AFTER: f64 = 2.0;
        let now = self.now;
        let (Some(request), Some(to)) = (self.requests.get_mut(&id), self.hosts.get_mut(&host)) else {
            return;
        };
        let attempt = request.attempts.len() as u16;
        let HostEntry { zone, cell, .. } = to.entry;
        request.attempts.push(Attempt { host, zone, cell, at: now, live: true, may_have_run: true });
        let class = request.class;
        to.in_flight += 1.0;
        to.classes[class].in_flight += 1.0;
        self.fleet.in_flight += 1.0;
        let patience = self.classes[class].latency_target * OVERDUE_AFTER;
        let due = self.schedule(
            patience,
            Box::new(move |gateway, driver| gateway.attempt_overdue(driver, id, attempt)),
        );
        let next: AttemptContinuation =
            Box::new(move |gateway, driver, result| gateway.after_attempt(driver, id, result));
        self.attempts.insert((id, attempt), (due, class, next));
        driver.start_attempt(id, host, 0.0);
    }

    pub(crate) fn attempt_overdue(&mut self, driver: &mut dyn Driver, id: u32, attempt: u16) {
        if !self.attempts.contains_key(&(id, attempt)) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let Some(sent) = request.attempts.get(usize::from(attempt)) else { return };
        let (host, class, at, last) =
            (sent.host, request.class, sent.at, request.attempts.len() == usize::from(attempt) + 1);
        // A host that has answered others of this class since is only busy, or the request is long: a copy would harm both.
        let heard = |h: &Host| h.classes[class].last_answered > at;
        let spared = !last || request.deadline - self.now < 0.1 || self.hosts.get(&host).is_some_and(heard);
        if spared || !self.may_retry(id) {
            return;
        }
        // With many gateways it is ejected at once: what it still holds would count against the capacity of all others.
        if self.gateways_per_host > f64::from(SPREAD_OUT_FROM) {
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

    pub(crate) fn may_retry(&self, id: u32) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let class = &self.classes[request.class];
        let ran = request.attempts.iter().filter(|s| s.live || s.may_have_run).map(|s| s.at).reduce(f64::min);
        let safe = ran.is_none_or(|at| class.repeatable && self.now < at + class.dedup_window);
        safe && request.attempts.len() < self.settings.max_attempts as usize
            && request.useful_until > self.now + 1e-3
    }

    /// An attempt ended; leads to a retry or to the client's answer, unless it was the final one.
    pub fn attempt_ended(&mut self, now: f64, driver: &mut dyn Driver, ended: AttemptResult) {
        self.now = now;
        let Some((due, class, next)) = self.attempts.remove(&(ended.request, ended.attempt)) else { return };
        self.timers.remove(&due);
        self.record_outcome(driver, &ended, class);
        if let Some(request) = self.requests.get_mut(&ended.request) {
            if let Some(sent) = request.attempts.get_mut(usize::from(ended.attempt)) {
                sent.live = false;
                let proven = [Outcome::Full, Outcome::ConnectFailed, Outcome::NeverSent];
                sent.may_have_run = !proven.contains(&ended.outcome);
            }
            // The difference to the true units goes to the window that was charged, with the next add to it.
            let settled = self.settings.settles && ended.true_units > 0.0;
            if let Some((name, lifetime, _)) = request.charged.filter(|_| settled) {
                let more = ended.true_units - request.units;
                self.customers.entry(request.customer).and_modify(|c| c.windows[0].room -= more);
                self.counter_entry(name, lifetime).wanted += more;
            }
            if ended.final_attempt {
                self.finish(driver, ended.request);
            } else {
                next(self, driver, &ended);
            }
        }
        self.arm_timer(driver);
    }

    pub(crate) fn after_attempt(&mut self, driver: &mut dyn Driver, id: u32, ended: &AttemptResult) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.deadline > self.now + 1e-3 && request.attempts.iter().any(|s| s.live) {
            return;
        }
        let again = ended.outcome != Outcome::NeverSent && self.may_retry(id);
        match again.then(|| self.select_host(id)).flatten() {
            Some(host) => self.begin_attempt(driver, id, host),
            None => self.give_up(driver, id),
        }
    }

    /// A response has started and is not complete. Cancels the attempt soon if the rest does not come, rather than waiting
    /// for a broken response as long as the client does. Harms a host that sends slower: the rest takes far less from a
    /// healthy one.
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

    /// A streamed response has started: the request has no deadline any more, and its host has answered.
    pub fn attempt_started(&mut self, now: f64, id: u32, host: HostId) {
        self.now = now;
        self.requests.entry(id).and_modify(|o| o.deadline = f64::INFINITY);
        let class = self.requests.get(&id).map_or(0, |o| o.class);
        self.hosts.entry(host).and_modify(|h| h.classes[class].last_answered = now);
    }

    /// The client disconnected. What never ran costs its customer nothing.
    pub fn client_disconnected(&mut self, now: f64, driver: &mut dyn Driver, id: u32) {
        self.now = now;
        if self.requests.get(&id).is_some_and(|request| !request.may_have_run()) {
            self.refund(driver, id);
        }
        self.finish(driver, id);
        self.arm_timer(driver);
    }

    pub(crate) fn reject_overloaded(&mut self, driver: &mut dyn Driver, id: u32) {
        // Retry-After under overload, as a part of the latency target: the next try should be in time. Jitter spreads it.
        const RETRY_AFTER_SHARE: f64 = 0.12;
        let wait = self.classes[self.requests[&id].class].latency_target
            * RETRY_AFTER_SHARE
            * (0.5 + self.rng.rand_float());
        self.reject(driver, id, wait);
    }

    pub(crate) fn reject(&mut self, driver: &mut dyn Driver, id: u32, wait: f64) {
        let advice =
            if self.settings.may_advise { wait.clamp(0.0, self.settings.max_retry_after) } else { 0.0 };
        driver.reject(id, advice);
        self.finish(driver, id);
    }

    /// No further attempt: rejected where the class lets the client retry, aborted elsewhere.
    pub(crate) fn give_up(&mut self, driver: &mut dyn Driver, id: u32) {
        let Some(request) = self.requests.get(&id) else { return };
        let ran = request.may_have_run();
        if request.deadline > self.now + 1e-3 && (!ran || self.classes[request.class].rejectable) {
            self.reject_overloaded(driver, id);
        } else {
            driver.abort(id);
            self.finish(driver, id);
        }
    }

    /// Ends the request: frees its slot and cancels attempts still in flight.
    pub(crate) fn finish(&mut self, driver: &mut dyn Driver, id: u32) {
        let Some(request) = self.requests.remove(&id) else { return };
        for (attempt, _) in request.attempts.iter().enumerate().filter(|(_, s)| s.live) {
            if self.settings.may_cancel && self.attempts.contains_key(&(id, attempt as u16)) {
                driver.cancel_attempt(id, attempt as u16);
            }
        }
    }
}
