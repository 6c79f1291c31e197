//! Health of hosts: concurrency limits adjusted by latency, ejection of failing hosts, and probes before they return.

use crate::admission::Admission;
use crate::interface::{AttemptResult, Driver, HostId, HostState, Load, Outcome};
use crate::state::{Host, TimerAction};

/// Largest concurrency limit of a host.
const MAX_LIMIT: f64 = 64.0;

impl Admission {
    /// Updates the concurrency limit and the ejections of the attempt's host.
    pub(crate) fn record_outcome(&mut self, driver: &mut dyn Driver, ended: &AttemptResult, class: usize) {
        // The limit is steered so that answers take this share of the latency target, well within it. 0.09 sheds load when
        // requests are long.
        const LATENCY_SHARE: f64 = 0.13;
        // Larger for the fleet, or a few slow hosts make hundreds of gateways shed load: 0.13 lost a tenth in that case.
        const FLEET_LATENCY_SHARE: f64 = 0.3;
        // Smallest limit of a host, summed over all gateways: 0.3 keeps one attempt in flight at every tenth host, enough to
        // see it recover.
        const MIN_LIMIT: f64 = 0.3;
        let (now, part) = (self.now, (ended.elapsed / self.classes[class].latency_target).min(1.0));
        let min_limit = MIN_LIMIT / self.gateways_per_host;
        let Some(host) = self.hosts.get_mut(&ended.host) else { return };
        let silent_for = now - host.classes.iter().map(|class| class.last_answered).fold(0.0, f64::max);
        host.in_flight = (host.in_flight - 1.0).max(0.0);
        self.fleet.in_flight = (self.fleet.in_flight - 1.0).max(0.0);
        let answered = [Outcome::Answered, Outcome::Error, Outcome::Full].contains(&ended.outcome);
        let class_state = &mut host.classes[class];
        class_state.in_flight = (class_state.in_flight - 1.0).max(0.0);
        class_state.last_answered = if answered { now } else { class_state.last_answered };
        // An attempt cancelled before its latency target says nothing about the host: the client gave up. A timeout while
        // others were answered counts as a late answer; so does a reset, since answers get lost.
        let unanswered = match ended.outcome {
            Outcome::Cancelled => part >= 1.0,
            outcome => outcome == Outcome::TimedOut,
        };
        let timed_out = unanswered && class_state.last_answered <= now - ended.elapsed;
        if unanswered && !timed_out || [Outcome::Answered, Outcome::Reset].contains(&ended.outcome) {
            let part = if ended.outcome == Outcome::Answered { part } else { 1.0 };
            host.adjust_limit(min_limit, part, LATENCY_SHARE, silent_for);
            self.fleet.adjust_limit(1.0, part, FLEET_LATENCY_SHARE, 0.0);
        }
        let class_state = &mut host.classes[class];
        match ended.outcome {
            Outcome::Answered => class_state.ejections /= 2,
            Outcome::Full => {
                host.limit = (host.limit * 0.8).max(min_limit);
                host.classes
                    .iter_mut()
                    .for_each(|class| class.ejected_until = class.ejected_until.max(now + 0.05));
            }
            Outcome::ConnectFailed => self.eject(driver, ended.host, None),
            outcome if timed_out || outcome == Outcome::Error => self.eject(driver, ended.host, Some(class)),
            _ => {}
        }
    }

    /// Ejects a host for one class, or for all classes if it could not be reached. After an ejection for all classes a probe,
    /// where allowed, checks that the process runs before a request is risked. Ejection avoids spending requests on hosts that
    /// stay dead or partitioned, and on a class that a host fails while it serves the others as usual.
    pub(crate) fn eject(&mut self, driver: &mut dyn Driver, id: HostId, class: Option<usize>) {
        // First ejection of a whole host, in seconds; short compared with a restart.
        const FIRST_EJECTION: f64 = 1.0;
        // First ejection of one class, in seconds. A class fails for tens of seconds: 1 s spent twice as many requests on
        // finding that out, 3 s and 10 s a few more.
        const CLASS_EJECTION: f64 = 6.0;
        // Shortest interval between log lines about ejections, in seconds.
        const LOG_INTERVAL: f64 = 5.0;
        let (now, probes) = (self.now, self.settings.may_probe && class.is_none());
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let first = if class.is_some() { CLASS_EJECTION } else { FIRST_EJECTION };
        let mut longest = 0.0_f64;
        for (n, class_state) in host.classes.iter_mut().enumerate() {
            if class_state.ejected_until <= now && class.is_none_or(|class| class == n) {
                class_state.ejections += 1;
                let ejected_for = first * f64::from(1 << (class_state.ejections - 1).min(3));
                class_state.ejected_until = if probes { f64::INFINITY } else { now + ejected_for };
                longest = longest.max(ejected_for);
            }
        }
        if longest == 0.0 {
            return;
        }
        if probes {
            let timer_action: TimerAction =
                Box::new(move |gateway, driver| match gateway.hosts.get_mut(&id) {
                    Some(host) if host.entry.state == HostState::Ready => driver.probe(id),
                    Some(host) => {
                        host.classes.iter_mut().for_each(|class| class.ejected_until = gateway.now);
                    }
                    None => {}
                });
            self.schedule(longest, timer_action);
        }
        self.select_subset();
        if now > self.ejections_logged_at + LOG_INTERVAL {
            self.ejections_logged_at = now;
            let ejected = self
                .hosts
                .values()
                .filter(|host| host.classes.iter().any(|class| class.ejections > 0))
                .count();
            driver.log(&format!(
                "{ejected} of {} hosts ejected or on probation for at least one request class",
                self.hosts.len()
            ));
        }
    }

    /// Handles the end of a probe. `healthy`: the host's process runs.
    pub fn probe_finished(
        &mut self,
        now: f64,
        driver: &mut dyn Driver,
        id: HostId,
        healthy: bool,
        _load: Load,
    ) {
        self.now = now;
        if let Some(host) = self.hosts.get_mut(&id).filter(|host| host.is_ejected(now)) {
            host.classes.iter_mut().for_each(|class| class.ejected_until = now);
            if !healthy {
                self.eject(driver, id, None);
            }
        }
        self.arm_timer(driver);
    }
}

impl Host {
    /// Whether the host is ejected for every class: it cannot be reached, or does not answer at all.
    pub(crate) fn is_ejected(&self, now: f64) -> bool {
        self.classes.iter().all(|class| class.ejected_until > now)
    }

    /// Moves the concurrency limit so that answers take `target_part` of the latency target on average. This protects hosts
    /// from overload, and covers slow and failing hosts, congestion and restarts. It does harm where all requests suddenly
    /// become long. `silent_for` is the time in seconds since the host's last answer: a host that answers rarely moves
    /// further at a time.
    pub(crate) fn adjust_limit(&mut self, min_limit: f64, part: f64, target_part: f64, silent_for: f64) {
        // Large steps, or congestion outlives its cause; but bounded ones, or a few very long requests starve a host.
        const STEP: f64 = 0.15;
        const MAX_STEP: f64 = 0.6;
        const OUTLIER: f64 = 1.5;
        let step = (STEP * (1.0 + silent_for)).min(MAX_STEP);
        let deviation = 1.0 - (part / target_part).min(OUTLIER);
        if deviation < 0.0 || self.in_flight + 2.0 > self.limit {
            self.limit = (self.limit * (1.0 + step * deviation)).clamp(min_limit, MAX_LIMIT);
        }
    }
}
