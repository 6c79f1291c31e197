//! Host selection: concurrency limits, slow start, and weighted round robin among the hosts with capacity.

use crate::admission::Admission;
use crate::interface::{DedupScope, HostEntry, HostId, HostState};
use crate::state::{Host, HostClassState};

/// A host that a request may be sent to.
struct Candidate {
    id: HostId,
    weight: f64,
    /// Whether an attempt of the request was sent to it before.
    tried: bool,
}

impl Admission {
    /// Share of its full capacity that a host has at least, given its age (slow start).
    pub(crate) fn slow_start_factor(&self, entry: &HostEntry) -> f64 {
        let (age, from) = (self.now - entry.started, self.settings.cold_capacity_share.clamp(0.01, 1.0));
        let cold = entry.started > 0.0 && age < self.settings.warm_up;
        if cold { from + (1.0 - from) * (age / self.settings.warm_up).max(0.0) } else { 1.0 }
    }

    /// The number of attempts of a class that this gateway may have in flight at a host now.
    pub(crate) fn concurrency_limit(&self, host: &Host, class: usize) -> f64 {
        let HostClassState { in_flight, ejections, ejected_until, .. } = host.classes[class];
        // A class that returns from an ejection gets one attempt at a time, whatever the other classes have in flight.
        let on_probation = ejections > 0 && in_flight > 0.0;
        if host.entry.state != HostState::Ready || ejected_until > self.now || on_probation {
            return 0.0;
        }
        (host.limit * self.slow_start_factor(&host.entry)).ceil()
    }

    /// Whether a host that serves the class has room for one more attempt, and the attempts in flight stay within the sum of
    /// such hosts' limits (each may be below one) or within their part of the fleet's lower bound.
    pub(crate) fn has_capacity(&self, class: usize) -> bool {
        // Attempts always allowed in flight at a warm host, over all gateways: enough to keep its cores busy without a queue.
        const MIN_FLEET_IN_FLIGHT: f64 = 2.0;
        let min_limit = MIN_FLEET_IN_FLIGHT / self.gateways_per_host;
        let (mut in_flight, mut sum, mut min_sum, mut any_has_room) = (0.0, 0.0, 0.0, false);
        let (mut subset_size, mut candidates) = (0.0_f64, 0.0);
        for host in self.hosts.values().filter(|host| host.in_subset) {
            subset_size += 1.0;
            let limit = self.concurrency_limit(host, class);
            if limit > 0.0 {
                let slow_start = self.slow_start_factor(&host.entry);
                (in_flight, sum, min_sum) = (
                    in_flight + host.in_flight,
                    sum + host.limit * slow_start,
                    min_sum + min_limit * slow_start,
                );
                (candidates, any_has_room) =
                    (candidates + 1.0, any_has_room || host.in_flight + 1.0 <= limit);
            }
        }
        any_has_room
            && in_flight + 1.0 <= sum.max(min_sum).max(self.fleet.limit * candidates / subset_size).max(1.0)
    }

    /// Weighted round robin among the hosts with capacity that the request's class allows.
    pub(crate) fn select_host(&mut self, id: u32) -> Option<HostId> {
        // How strongly a class prefers hosts where other classes are ejected, which leaves fully healthy hosts to those classes.
        const EJECTED_ELSEWHERE_WEIGHT: f64 = 3.0;
        let request = self.requests.get(&id)?;
        let class = &self.classes[request.class];
        let bound = request.attempts.iter().find(|sent| sent.live || sent.may_have_run);
        let in_scope = |entry: &HostEntry| match (bound, class.dedup_scope) {
            (None, _) | (_, DedupScope::All) => true,
            (Some(sent), DedupScope::Zone) => sent.zone == entry.zone,
            (Some(sent), DedupScope::Cell) => sent.cell == entry.cell,
        };
        let mut candidates: Vec<Candidate> = Vec::new();
        // A retry that is bound to a zone or cell may leave the subset: any host of that scope will do.
        let eligible =
            |host: &Host| host.in_subset || bound.is_some() && class.dedup_scope != DedupScope::All;
        let has_room = |host: &Host| {
            eligible(host) && host.in_flight + 1.0 <= self.concurrency_limit(host, request.class)
        };
        for (&id, host) in self.hosts.iter().filter(|(_, host)| has_room(host)) {
            let tried = request.attempts.iter().any(|sent| sent.host == id);
            if in_scope(&host.entry) && !request.attempts.iter().any(|sent| sent.host == id && sent.live) {
                let preference = 1.0
                    + EJECTED_ELSEWHERE_WEIGHT
                        * host.classes.iter().filter(|class| class.ejections > 0).count() as f64;
                let weight = host.limit * self.slow_start_factor(&host.entry) * preference;
                candidates.push(Candidate { id, weight, tried });
            }
        }
        let untried = candidates.iter().any(|candidate| !candidate.tried);
        candidates.retain(|candidate| !(untried && candidate.tried));
        let sum: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let mut best: Option<(HostId, f64)> = None;
        for Candidate { id, weight, .. } in candidates {
            let host = self.hosts.get_mut(&id)?;
            host.credit = (host.credit + weight / sum).min(2.0);
            if best.is_none_or(|(_, credit)| host.credit > credit) {
                best = Some((id, host.credit));
            }
        }
        let (chosen, _) = best?;
        self.hosts.get_mut(&chosen)?.credit -= 1.0;
        Some(chosen)
    }
}
