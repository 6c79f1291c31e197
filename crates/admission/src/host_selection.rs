//! Host selection: concurrency limits, slow start, and weighted round robin among hosts with capacity.

use crate::admission::Admission;
use crate::interface::{DedupScope, HostEntry, HostId, HostState};
use crate::state::{Host, HostClassState};

impl Admission {
    /// Share of its full capacity that a host has at least, by its age (slow start).
    pub(crate) fn slow_start_factor(&self, entry: &HostEntry) -> f64 {
        let (age, from) = (self.now - entry.started, self.settings.cold_from.clamp(0.01, 1.0));
        let cold = entry.started > 0.0 && age < self.settings.warm_up;
        if cold { from + (1.0 - from) * (age / self.settings.warm_up).max(0.0) } else { 1.0 }
    }

    /// Most attempts that this gateway keeps in flight at a host now.
    pub(crate) fn concurrency_limit(&self, host: &Host, class: usize) -> f64 {
        let HostClassState { in_flight, ejections, ejected_until, .. } = host.classes[class];
        // One at a time in a class that was ejected, whatever the other classes have in flight.
        let on_probation = ejections > 0 && in_flight > 0.0;
        if host.entry.state != HostState::Ready || ejected_until > self.now || on_probation {
            return 0.0;
        }
        (host.limit * self.slow_start_factor(&host.entry)).ceil()
    }

    /// Whether a host that serves the class has room, within the sum of such hosts' limits (each perhaps below one), or
    /// within the subset's part of the fleet's lower bound.
    pub(crate) fn has_capacity(&self, class: usize) -> bool {
        // In flight at a warm host at least, over all gateways: keeps cores busy and builds no queue.
        const MIN_FLEET_IN_FLIGHT: f64 = 2.0;
        let min_limit = MIN_FLEET_IN_FLIGHT / self.gateways_per_host;
        let (mut in_flight, mut sum, mut floor, mut any) = (0.0, 0.0, 0.0, false);
        let (mut subset_size, mut candidates) = (0.0_f64, 0.0);
        for host in self.hosts.values().filter(|h| h.in_subset) {
            subset_size += 1.0;
            let limit = self.concurrency_limit(host, class);
            if limit > 0.0 {
                let slow_start = self.slow_start_factor(&host.entry);
                (in_flight, sum, floor) = (
                    in_flight + host.in_flight,
                    sum + host.limit * slow_start,
                    floor + min_limit * slow_start,
                );
                (candidates, any) = (candidates + 1.0, any || host.in_flight + 1.0 <= limit);
            }
        }
        any && in_flight + 1.0 <= sum.max(floor).max(self.fleet.limit * candidates / subset_size).max(1.0)
    }

    /// Weighted round robin among the hosts with capacity that the request's class allows.
    pub(crate) fn select_host(&mut self, id: u32) -> Option<HostId> {
        // How much a class prefers hosts where other classes are ejected: hosts that serve all are left to those.
        const EJECTED_ELSEWHERE_WEIGHT: f64 = 3.0;
        let request = self.requests.get(&id)?;
        let class = &self.classes[request.class];
        let bound = request.attempts.iter().find(|s| s.live || s.may_have_run);
        let in_scope = |entry: &HostEntry| match (bound, class.dedup_scope) {
            (None, _) | (_, DedupScope::All) => true,
            (Some(sent), DedupScope::Zone) => sent.zone == entry.zone,
            (Some(sent), DedupScope::Cell) => sent.cell == entry.cell,
        };
        let mut candidates: Vec<(HostId, f64, bool)> = Vec::new();
        // A retry that is bound to a group may go to any host of it.
        let subset_size = |h: &Host| h.in_subset || bound.is_some() && class.dedup_scope != DedupScope::All;
        let room = |h: &Host| subset_size(h) && h.in_flight + 1.0 <= self.concurrency_limit(h, request.class);
        for (&id, host) in self.hosts.iter().filter(|(_, h)| room(h)) {
            let tried = request.attempts.iter().any(|s| s.host == id);
            if in_scope(&host.entry) && !request.attempts.iter().any(|s| s.host == id && s.live) {
                let preference = 1.0
                    + EJECTED_ELSEWHERE_WEIGHT
                        * host.classes.iter().filter(|l| l.ejections > 0).count() as f64;
                candidates.push((id, host.limit * self.slow_start_factor(&host.entry) * preference, tried));
            }
        }
        let untried = candidates.iter().any(|f| !f.2);
        candidates.retain(|f| !(untried && f.2));
        let sum: f64 = candidates.iter().map(|f| f.1).sum();
        let mut best: Option<(HostId, f64)> = None;
        for (id, weight, _) in candidates {
            let host = self.hosts.get_mut(&id)?;
            host.credit = (host.credit + weight / sum).min(2.0);
            if best.is_none_or(|b| host.credit > b.1) {
                best = Some((id, host.credit));
            }
        }
        let (chosen, _) = best?;
        self.hosts.get_mut(&chosen)?.credit -= 1.0;
        Some(chosen)
    }
}
