//! The host list, and the subset of the hosts that this gateway sends to.

use crate::admission::Admission;
use crate::counter_keys::mix64;
use crate::interface::{Driver, HostEntry, HostId, HostListUpdate, HostState};
use crate::state::{Host, HostClassState};

impl Admission {
    /// Handles a host list, or the failure of its subscription.
    pub fn host_list_updated(
        &mut self,
        now: f64,
        driver: &mut dyn Driver,
        update: HostListUpdate,
        entries: &[HostEntry],
    ) {
        self.now = now;
        if update == HostListUpdate::Failed {
            let delay =
                self.subscribe_backoff.failed(1.0, self.settings.max_subscribe_wait, self.rng.rand_float());
            self.schedule(delay, Box::new(|_, driver| driver.subscribe()));
            return self.arm_timer(driver);
        }
        self.subscribe_backoff.reset();
        if update != HostListUpdate::Delta {
            self.hosts.values_mut().for_each(|host| host.entry.state = HostState::Removed);
        }
        for entry in entries {
            // Credits start at random, or the round robins of all gateways would choose the same hosts at once.
            let (entry, credit) = (entry.clone(), self.rng.rand_float());
            let classes =
                vec![HostClassState { last_answered: now, ..HostClassState::default() }; self.classes.len()];
            let rank = mix64(entry.host ^ mix64(u64::from(self.settings.gateway_number) + 1));
            let new_host = Host { entry: entry.clone(), classes, credit, rank, ..Host::default() };
            match self.hosts.get_mut(&entry.host) {
                None => drop(self.hosts.insert(entry.host, new_host)),
                Some(host) if entry.started > host.entry.started => host.restarted(new_host),
                Some(host) => host.entry = entry,
            }
        }
        self.select_subset();
        self.arm_timer(driver);
    }

    /// Selects the subset of hosts that this gateway sends to: the first ready ones in an order of its own (deterministic
    /// subsetting). A few gateways send to all hosts. With many, sending to all would use most connections once and get
    /// answers from a host too rarely to know its state. The subset is small enough for frequent answers from each host, and
    /// each host has enough gateways to even out uneven traffic.
    pub(crate) fn select_subset(&mut self) {
        // Initial limit of attempts in flight at a host, over all gateways: enough to keep a few cores busy.
        const INITIAL_LIMIT: f64 = 5.0;
        // 30 and 12 spread the load more evenly and did worse: frequent answers from each host are worth more.
        const GATEWAYS_PER_HOST: f64 = 12.0;
        const MIN_SUBSET: f64 = 5.0;
        let gateways = f64::from(self.settings.gateways.max(1));
        let mut ready: Vec<_> =
            self.hosts.iter().filter(|(_, host)| host.entry.state == HostState::Ready).collect();
        ready.sort_by_key(|(id, host)| (host.is_ejected(self.now), host.rank, **id));
        let ready_count = ready.len() as f64;
        let subset_size =
            (GATEWAYS_PER_HOST * ready_count / gateways).ceil().max(MIN_SUBSET).min(ready_count.max(1.0));
        self.gateways_per_host = (gateways * subset_size / ready_count.max(1.0)).max(1.0);
        let subset: Vec<HostId> = ready.iter().take(subset_size as usize).map(|(id, _)| **id).collect();
        for (id, host) in &mut self.hosts {
            host.in_subset = subset.contains(id);
            host.limit = if host.limit == 0.0 { INITIAL_LIMIT / self.gateways_per_host } else { host.limit };
        }
    }
}

impl Host {
    /// Resets the state of a host that restarted; only this gateway's attempts in flight are kept.
    pub(crate) fn restarted(&mut self, new_host: Host) {
        let before = std::mem::replace(self, new_host);
        self.in_flight = before.in_flight;
        self.classes
            .iter_mut()
            .zip(&before.classes)
            .for_each(|(class, before)| class.in_flight = before.in_flight);
    }
}
