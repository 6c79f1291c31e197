//! Health of hosts: concurrency limits adjusted by latency, ejection of hosts that fail, and probes before their return.

use crate::admission::Admission;
use crate::interface::{AttemptResult, Driver, HostId, HostState, Load, Outcome};
use crate::state::{Host, TimerAction};

const MAX_LIMIT: f64 = 64.0;

impl Admission {
    pub(crate) fn record_outcome(&mut self, driver: &mut dyn Driver, ended: &AttemptResult, class: usize) {
        // Answers are steered to this share of the latency target, well within it: 0.09 sheds load on days of long work.
        const LATENCY_SHARE: f64 = 0.13;
        // Larger for the fleet, or a few slow hosts make hundreds of gateways shed load: 0.13 lost a tenth there.
        const FLEET_LATENCY_SHARE: f64 = 0.3;
        // Smallest limit of a host, over all gateways: 0.3 keeps one attempt in flight at every tenth host, to see it recover.
        const MIN_LIMIT: f64 = 0.3;
        let (now, part) = (self.now, (ended.elapsed / self.classes[class].latency_target).min(1.0));
        let min_limit = MIN_LIMIT / self.gateways_per_host;
        let Some(host) = self.hosts.get_mut(&ended.host) else { return };
        let since = now - host.classes.iter().map(|l| l.last_answered).fold(0.0, f64::max);
        host.in_flight = (host.in_flight - 1.0).max(0.0);
        self.fleet.in_flight = (self.fleet.in_flight - 1.0).max(0.0);
        let answered = [Outcome::Answered, Outcome::Error, Outcome::Full].contains(&ended.outcome);
        let class_state = &mut host.classes[class];
        class_state.in_flight = (class_state.in_flight - 1.0).max(0.0);
        class_state.last_answered = if answered { now } else { class_state.last_answered };
        // Cancelled before its latency target: the client gave up, which says nothing of the host. A time-out while others were
        // answered is a late answer; so is a reset: answers get lost.
        let unanswered = match ended.outcome {
            Outcome::Cancelled => part >= 1.0,
            outcome => outcome == Outcome::TimedOut,
        };
        let timed_out = unanswered && class_state.last_answered <= now - ended.elapsed;
        if unanswered && !timed_out || [Outcome::Answered, Outcome::Reset].contains(&ended.outcome) {
            let part = if ended.outcome == Outcome::Answered { part } else { 1.0 };
            host.adjust_limit(min_limit, part, LATENCY_SHARE, since);
            self.fleet.adjust_limit(1.0, part, FLEET_LATENCY_SHARE, 0.0);
        }
        let class_state = &mut host.classes[class];
        match ended.outcome {
            Outcome::Answered => class_state.ejections /= 2,
            Outcome::Full => {
                host.limit = (host.limit * 0.8).max(min_limit);
                host.classes.iter_mut().for_each(|l| l.ejected_until = l.ejected_until.max(now + 0.05));
            }
            Outcome::ConnectFailed => self.eject(driver, ended.host, None),
            outcome if timed_out || outcome == Outcome::Error => self.eject(driver, ended.host, Some(class)),
            _ => {}
        }
    }

    /// Ejects a host for one class, or for all where it is not reached. After an ejection for all classes a probe, where
    /// allowed, checks that the process runs before a request is risked. Avoids spending requests on hosts that stay dead or
    /// partitioned, and on a class that a host fails while it serves the others as usual.
    pub(crate) fn eject(&mut self, driver: &mut dyn Driver, id: HostId, class: Option<usize>) {
        // First ejection of a host, in seconds, short beside a restart; of one class, which fails for tens of seconds (1 s spent
        // twice the requests on finding that out, 3 and 10 s a few more); and the interval of log lines.
        const FIRST_EJECTION: f64 = 1.0;
        const CLASS_EJECTION: f64 = 6.0;
        const LOG_INTERVAL: f64 = 5.0;
        let (now, probes) = (self.now, self.settings.may_probe && class.is_none());
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let first = if class.is_some() { CLASS_EJECTION } else { FIRST_EJECTION };
        let mut length = 0.0_f64;
        for (n, class_state) in host.classes.iter_mut().enumerate() {
            if class_state.ejected_until <= now && class.is_none_or(|class| class == n) {
                class_state.ejections += 1;
                let rest = first * f64::from(1 << (class_state.ejections - 1).min(3));
                class_state.ejected_until = if probes { f64::INFINITY } else { now + rest };
                length = length.max(rest);
            }
        }
        if length == 0.0 {
            return;
        }
        if probes {
            let timer_action: TimerAction =
                Box::new(move |gateway, driver| match gateway.hosts.get_mut(&id) {
                    Some(host) if host.entry.state == HostState::Ready => driver.probe(id),
                    Some(host) => host.classes.iter_mut().for_each(|l| l.ejected_until = gateway.now),
                    None => {}
                });
            self.schedule(length, timer_action);
        }
        self.select_subset();
        if now > self.ejections_logged_at + LOG_INTERVAL {
            self.ejections_logged_at = now;
            let ejected = self.hosts.values().filter(|h| h.classes.iter().any(|l| l.ejections > 0)).count();
            driver
                .log(&format!("{ejected} of {} hosts ejected, for all classes or for one", self.hosts.len()));
        }
    }

    /// A probe ended; `well`: the host's process runs.
    pub fn probe_finished(&mut self, now: f64, driver: &mut dyn Driver, id: HostId, well: bool, _load: Load) {
        self.now = now;
        if let Some(host) = self.hosts.get_mut(&id).filter(|h| h.is_ejected(now)) {
            host.classes.iter_mut().for_each(|l| l.ejected_until = now);
            if !well {
                self.eject(driver, id, None);
            }
        }
        self.arm_timer(driver);
    }
}

impl Host {
    /// Ejected for every class: it is not reached, or does not answer at all.
    pub(crate) fn is_ejected(&self, now: f64) -> bool {
        self.classes.iter().all(|l| l.ejected_until > now)
    }

    /// Moves the concurrency limit so that answers take `aim` of the latency target on average. Keeps hosts from being
    /// overdriven; covers slow and failing ones, congestion, restarts. Could harm where all work suddenly becomes long.
    /// `since`: seconds since the host's last answer; one that is rarely heard of moves further at a time.
    pub(crate) fn adjust_limit(&mut self, min_limit: f64, part: f64, aim: f64, since: f64) {
        // Quick steps, or congestion outlives its cause; bounded ones, or a few very long requests starve a host.
        const STEP: f64 = 0.15;
        const MAX_STEP: f64 = 0.6;
        const OUTLIER: f64 = 1.5;
        let timer_action = (STEP * (1.0 + since)).min(MAX_STEP);
        let off = 1.0 - (part / aim).min(OUTLIER);
        if off < 0.0 || self.in_flight + 2.0 > self.limit {
            self.limit = (self.limit * (1.0 + timer_action * off)).clamp(min_limit, MAX_LIMIT);
        }
    }
}
