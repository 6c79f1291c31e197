//! The host list, and the subset of it that this gateway sends to.

use crate::admission::Admission;
use crate::counter_keys::mix64;
use crate::interface::{Driver, HostEntry, HostId, HostListUpdate, HostState};
use crate::state::{Host, HostClassState};

impl Admission {
    /// A host list, or the failure of its subscription.
    pub fn host_list_updated(
        &mut self,
        now: f64,
        driver: &mut dyn Driver,
        update: HostListUpdate,
        entries: &[HostEntry],
    ) {
        self.now = now;
        if update == HostListUpdate::Failed {
            let wait = self.subscribe_backoff.failed(1.0, self.settings.ask_within, self.rng.rand_float());
            self.schedule(wait, Box::new(|_, driver| driver.subscribe()));
            return self.arm_timer(driver);
        }
        self.subscribe_backoff.reset();
        if update != HostListUpdate::Delta {
            self.hosts.values_mut().for_each(|h| h.entry.state = HostState::Removed);
        }
        for entry in entries {
            // Rotations start at random, or those of all gateways would choose the same hosts at once.
            let (entry, credit) = (entry.clone(), self.rng.rand_float());
            let classes =
                vec![HostClassState { last_answered: now, ..HostClassState::default() }; self.classes.len()];
            let place = mix64(entry.host ^ mix64(u64::from(self.settings.gateway_number) + 1));
            let fresh = Host { entry: entry.clone(), classes, credit, rank: place, ..Host::default() };
            match self.hosts.get_mut(&entry.host) {
                None => drop(self.hosts.insert(entry.host, fresh)),
                Some(host) if entry.started > host.entry.started => host.restarted(fresh),
                Some(host) => host.entry = entry,
            }
        }
        self.select_subset();
        self.arm_timer(driver);
    }

    /// With many gateways each sends to a subset of the hosts, the first ready ones in an order of its own (deterministic
    /// subsetting). Avoids connections that are used once, and hosts of which nobody hears twice before they change: the
    /// subset is small enough to hear of each, and each host has enough gateways to even out uneven traffic. A few gateways
    /// send to all hosts.
    pub(crate) fn select_subset(&mut self) {
        // Attempts in flight at a host at first, over all gateways: keeps a few cores busy.
        const FIRST_LIMIT: f64 = 5.0;
        // Thirty and twelve spread work more evenly and did worse: hearing of a host often is worth more.
        const GATEWAYS_PER_HOST: f64 = 12.0;
        const MIN_SUBSET: f64 = 5.0;
        let gateways = f64::from(self.settings.gateways.max(1));
        let mut ready: Vec<_> =
            self.hosts.iter().filter(|(_, h)| h.entry.state == HostState::Ready).collect();
        ready.sort_by_key(|(id, h)| (h.is_ejected(self.now), h.rank, **id));
        let all = ready.len() as f64;
        let most = (GATEWAYS_PER_HOST * all / gateways).ceil().max(MIN_SUBSET).min(all.max(1.0));
        self.gateways_per_host = (gateways * most / all.max(1.0)).max(1.0);
        let subset_size: Vec<HostId> = ready.iter().take(most as usize).map(|(id, _)| **id).collect();
        for (id, host) in &mut self.hosts {
            host.in_subset = subset_size.contains(id);
            host.limit = if host.limit == 0.0 { FIRST_LIMIT / self.gateways_per_host } else { host.limit };
        }
    }
}

impl Host {
    /// The host restarted: what it holds of this gateway's is still counted, the rest is forgotten.
    pub(crate) fn restarted(&mut self, fresh: Host) {
        let before = std::mem::replace(self, fresh);
        self.in_flight = before.in_flight;
        self.classes
            .iter_mut()
            .zip(&before.classes)
            .for_each(|(class, before)| class.in_flight = before.in_flight);
    }
}
