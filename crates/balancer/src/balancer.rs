//! Which host gets the next request. Each host has what this gateway has out there, what others have as far as its own
//! figures tell, and how long its work takes; the request goes where it is expected to be done first, the own zone before
//! the region and the region before the rest by what the way costs. Must never choose a host that leaves, whose zone is
//! evacuated or that lies outside a request's homes, nor give a cold one more than this gateway's part.

use crate::pool_stats::PoolStats;
use archlink_messages::{HostInstance, NodeId, NodeRank};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddrV4;

/// How far one answer moves what is known of a host's work and of the others' requests there: a few tens of answers show
/// a host's speed beside work that varies by itself, a few show who else is there.
const WORK_STEP: f64 = 0.06;
const OTHERS_STEP: f64 = 0.5;
/// What others have out at a host is believed for about this long without news of it; then it is taken for a usual one.
const OTHERS_LAST: f64 = 2.0;
/// Ways in parts of the goal time: bytes between zones are dear, and between regions far dearer.
const TO_ZONE: f64 = 0.04;
const TO_REGION: f64 = 0.3;
/// To a host that is none of this gateway's own few: less than a request's wait behind another one, so that room elsewhere
/// is used as soon as the own ones are busy.
const TO_STRANGER: f64 = 0.1;
/// Own hosts of a service in each zone: so many times the even part, and no fewer than these, or their gateways' differences
/// would not even out.
const OWN_PARTS: f64 = 2.0;
const LEAST_OWN: usize = 3;
/// Where a route has no goal time.
const GOAL: f64 = 0.5;
/// Hosts of about the same worth are drawn by chance this far apart, or all gateways would fall on one.
const SPREAD: f64 = 0.1;
/// Part of a request's time that its work may be expected to end in; beyond, refusing it now is kinder.
const IN_TIME: f64 = 0.9;
/// First rest of a host that is not reached, doubled up to the longest.
const FIRST_REST: f64 = 0.3;
const MOST_DOUBLINGS: u32 = 4;
/// One failure makes a host this ill, of 1; an answer makes it better by the same part, and time alone in about these
/// seconds, so that a trickle finds out whether it is well again. All ill, it counts as farther off by so many goal times.
const ILL_STEP: f64 = 0.25;
const ILL_LAST: f64 = 4.0;
const ILL_COST: f64 = 1.5;
/// A host is doubted once it has answered nothing for so long, in its usual work and at least in seconds.
const DOUBT_WORK: f64 = 5.0;
const DOUBT_LEAST: f64 = 0.4;
/// Requests this gateway keeps out at a host, beyond its slots: more only wait there, and elsewhere they need not.
const MOST_HOSTS: usize = 8192;

/// The rule for hosts that are cold: requests in any one second, over all gateways.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpBound {
    pub overrun: f64,
    pub slack: f64,
}

/// What a service's configuration says of its hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLimits {
    /// Requests a second that a cold host bears; 0: no bound.
    pub warm_up_rate: f64,
    /// How long a host may stay cold.
    pub warm_up_period: f64,
}

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct HostRequest<'a> {
    pub service: &'a str,
    /// Regions it may be sent to; empty: all.
    pub home_regions: &'a [String],
    pub latency_target: f64,
    /// Seconds left.
    pub remaining: f64,
    /// Hosts that it was sent to before.
    pub tried: &'a [u64],
    /// Not let in yet; `None` where it is.
    pub queue_ticket: Option<QueueTicket>,
}

/// How a request stands at the door where there are more than the hosts can answer in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueTicket {
    /// 0 goes first.
    pub priority: u8,
    /// Its chance, from 0 to 1, drawn once.
    pub draw: f64,
}

impl QueueTicket {
    /// Is it let in where a part `open` of all is?
    fn lets_in(&self, open: f64) -> bool {
        const BY_RANK: [f64; 3] = [0.5, 1.0, 1.5];
        let rank = BY_RANK[usize::from(self.priority).min(BY_RANK.len() - 1)];
        self.draw <= open.powf(rank)
    }
}

/// A host chosen: `key` names this life of it here.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectedHost {
    pub key: u64,
    pub id: String,
    pub address: SocketAddrV4,
    /// How long the answer is expected to take.
    pub expected: f64,
}

/// How a request that went to a host ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// Whole; with running, waiting and slots where the host told.
    Answered(Option<(f64, f64, f64)>),
    /// Whole, and a failure of the host's own.
    Failed(Option<(f64, f64, f64)>),
    /// It says that it did not run it.
    Full(Option<(f64, f64, f64)>),
    /// Another host has the address.
    Misdirected,
    /// No connection came up, or not all was written.
    ConnectFailed,
    /// Reset, cut short or spoilt.
    Broken,
    /// No answer in its time.
    TimedOut,
    /// Its client left before anything was sent.
    Withdrawn,
    /// It was broken off, as its client had left: all that is known is that the answer would have taken longer.
    Abandoned,
}

struct Host {
    line: HostInstance,
    region: String,
    out: f64,
    others: f64,
    others_at: f64,
    work: f64,
    slots: f64,
    rests: u32,
    rest_until: f64,
    /// How much of what is sent there fails, lately.
    ill: f64,
    ill_at: f64,
    /// First request since it last answered.
    asked: Option<f64>,
    cold_until: f64,
    cold_sent: VecDeque<f64>,
    /// One of the few that this gateway turns to first.
    own: bool,
    /// Not in the last list: kept while requests are out.
    gone: bool,
    /// Turned requests away that were meant for it: gone before the list says so.
    moved: bool,
}

impl Host {
    fn ill(&self, now: f64) -> f64 {
        self.ill * (-(now - self.ill_at) / ILL_LAST).exp()
    }

    /// One that waited for its answer does so no more.
    fn stopped_waiting(&mut self) {
        if self.out <= 0.0 {
            self.asked = None;
        }
    }

    fn fared(&mut self, now: f64, well: bool) {
        let before = self.ill(now);
        self.ill = before + ILL_STEP * (if well { 0.0 } else { 1.0 } - before);
        self.ill_at = now;
    }
}

/// A service's hosts, and what is known of them as a whole in each region.
#[derive(Default)]
struct Fleet {
    keys: Vec<u64>,
    pools: HashMap<String, PoolStats>,
}

fn pool_of<'a>(by_service: &'a mut HashMap<String, Fleet>, host: &Host) -> Option<&'a mut PoolStats> {
    by_service.get_mut(&host.line.service)?.pools.get_mut(&host.region)
}

pub struct Balancer {
    zone: String,
    region: String,
    zones: HashMap<String, String>,
    cold: WarmUpBound,
    hosts: BTreeMap<u64, Host>,
    by_id: HashMap<String, u64>,
    by_service: HashMap<String, Fleet>,
    services: HashMap<String, ServiceLimits>,
    evacuated: BTreeSet<String>,
    /// This gateway and all that may be at work.
    me: NodeId,
    gateways: Vec<NodeId>,
    chance: oorandom::Rand64,
    next: u64,
}

impl Balancer {
    pub fn new(
        me: NodeId,
        zone: String,
        region: String,
        zones: HashMap<String, String>,
        cold: WarmUpBound,
        seed: u64,
    ) -> Balancer {
        Balancer {
            me,
            zone,
            region,
            zones,
            cold,
            hosts: BTreeMap::new(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            services: HashMap::new(),
            evacuated: BTreeSet::new(),
            gateways: Vec::new(),
            chance: oorandom::Rand64::new(u128::from(seed)),
            next: 1,
        }
    }

    /// Data gateways that may be at work.
    pub fn set_gateways(&mut self, gateways: &[NodeId]) {
        self.gateways = gateways.to_vec();
        self.choose_own();
    }

    pub fn set_services(&mut self, services: HashMap<String, ServiceLimits>) {
        self.services = services;
    }

    /// The zones to keep out of. One that is taken back may hold hosts that turned cold shortly before: its hosts are
    /// taken for cold until the longest cold time is over.
    pub fn set_evacuated(&mut self, now: f64, zones: BTreeSet<String>) {
        // The list's own lag, and that of this news.
        const LAG: f64 = 1.5;
        for zone in self.evacuated.difference(&zones) {
            for host in self.hosts.values_mut().filter(|h| h.line.zone == *zone) {
                let terms = self.services.get(&host.line.service).copied().unwrap_or_default();
                host.cold_until = host.cold_until.max(now + terms.warm_up_period + LAG);
            }
        }
        self.evacuated = zones;
    }

    /// The whole list, newest; what it leaves out is gone. Gives back the keys of hosts to which nothing more will go.
    pub fn update_hosts(&mut self, now: f64, lines: &[HostInstance]) -> Vec<u64> {
        let mut named = BTreeSet::new();
        for line in lines.iter().take(MOST_HOSTS) {
            let cold_until = now + f64::from(line.warm_up_seconds);
            let fresh = self.next;
            let key = *self.by_id.entry(line.id.clone()).or_insert(fresh);
            named.insert(key);
            if let Some(host) = self.hosts.get_mut(&key) {
                host.cold_until = if line.warm_up_seconds > 0.0 {
                    host.cold_until.max(cold_until)
                } else {
                    host.cold_until
                };
                host.gone = false;
                host.line = line.clone();
                continue;
            }
            self.next += 1;
            let region = self.zones.get(&line.zone).cloned().unwrap_or_default();
            let host = Host {
                region,
                out: 0.0,
                others: 0.0,
                others_at: now,
                work: 0.0,
                slots: f64::from(line.capacity.max(1)),
                rests: 0,
                rest_until: 0.0,
                ill: 0.0,
                ill_at: now,
                asked: None,
                cold_until,
                cold_sent: VecDeque::new(),
                own: true,
                gone: false,
                moved: false,
                line: line.clone(),
            };
            self.hosts.insert(key, host);
        }
        for (key, host) in &mut self.hosts {
            host.gone = !named.contains(key);
        }
        let left: Vec<u64> =
            self.hosts.iter().filter(|(_, h)| h.gone || h.line.draining).map(|(k, _)| *k).collect();
        self.hosts.retain(|_, host| !host.gone || host.out > 0.0);
        self.by_id.retain(|_, key| self.hosts.contains_key(key));
        self.by_service.values_mut().for_each(|fleet| fleet.keys.clear());
        for (key, host) in &self.hosts {
            let fleet = self.by_service.entry(host.line.service.clone()).or_default();
            fleet.keys.push(*key);
            fleet.pools.entry(host.region.clone()).or_default();
        }
        self.by_service.retain(|_, fleet| !fleet.keys.is_empty());
        self.choose_own();
        left
    }

    /// The hosts that this gateway turns to first: among many gateways each hears of a few hosts often in place of all of
    /// them seldom, and keeps few connections. Drawn by host and gateway, so that a host that comes or goes changes little.
    fn choose_own(&mut self) {
        let mut by_zone: BTreeMap<(&str, &str), Vec<(usize, u64)>> = BTreeMap::new();
        for (key, host) in &self.hosts {
            let place = NodeRank::of(self.me, &host.line.id, &self.gateways).rank;
            by_zone.entry((&host.line.service, &host.line.zone)).or_default().push((place, *key));
        }
        let zones = self.zones.len().max(1) as f64;
        let mut own = BTreeSet::new();
        for hosts in by_zone.values_mut() {
            hosts.sort_unstable();
            let part = hosts.len() as f64 * zones / self.gateways.len().max(1) as f64;
            let most = ((part * OWN_PARTS).ceil() as usize).max(LEAST_OWN);
            own.extend(hosts.iter().take(most).map(|(_, key)| *key));
        }
        self.hosts.iter_mut().for_each(|(key, host)| host.own = own.contains(key));
    }

    /// A line for each service and region that not all requests are let in to.
    pub fn admission_log_lines(&self, now: f64) -> Vec<String> {
        let pools = self.by_service.iter().flat_map(|(service, fleet)| {
            fleet.pools.iter().map(move |(region, pool)| (service, region, pool))
        });
        let shut = pools.filter(move |(_, _, pool)| pool.open(now) < 0.9);
        let line = |(service, region, pool): (&String, &String, &PoolStats)| {
            let (open, load, work) = (pool.open(now), pool.load(now), pool.work());
            format!("{service} in {region}: {open:.2} let in, {load:.2} a slot, {:.0} ms of work", work * 1e3)
        };
        shut.map(line).collect()
    }

    /// Hosts known, and of these ready ones.
    pub fn host_counts(&self) -> (usize, usize) {
        (self.hosts.len(), self.hosts.values().filter(|h| !h.gone && !h.line.draining).count())
    }

    /// May a host that is cold get one more from this gateway now? Each has a part of the rule for any one second; where
    /// there are more gateways than requests, some have one each, others for another host.
    fn cold_room(&self, host: &Host, now: f64) -> bool {
        // Others may know of one gateway more or less.
        const UNSURE: f64 = 2.0;
        const SECOND: f64 = 1.05;
        let terms = self.services.get(&host.line.service).copied().unwrap_or_default();
        if terms.warm_up_rate <= 0.0 {
            return true;
        }
        let all = (terms.warm_up_rate * self.cold.overrun + self.cold.slack - UNSURE).max(0.0) as usize;
        let part = NodeRank::of(self.me, &host.line.id, &self.gateways).portion(all);
        host.cold_sent.iter().filter(|at| **at + SECOND > now).count() < part
    }

    fn fits(&self, host: &Host, need: &HostRequest, now: f64) -> bool {
        let homes = need.home_regions.is_empty() || need.home_regions.contains(&host.region);
        let stays =
            !host.gone && !host.moved && !host.line.draining && !self.evacuated.contains(&host.line.zone);
        let rests = now < host.rest_until || (host.rests > 0 && host.out > 0.0);
        homes && stays && !rests && (now >= host.cold_until || self.cold_room(host, now))
    }

    /// Seconds until an answer is expected, and that with what the way costs.
    fn weigh(&self, host: &Host, need: &HostRequest, pool: &PoolStats, now: f64) -> (f64, f64) {
        let work = if host.work > 0.0 { host.work } else { pool.work() };
        let fresh = (-(now - host.others_at) / OTHERS_LAST).exp();
        let usual = (pool.load(now) * host.slots - host.out).max(0.0);
        let others = fresh * host.others + (1.0 - fresh) * usual;
        let ahead = (host.out + others + 1.0 - host.slots).max(0.0);
        let cold = if now < host.cold_until { 2.0 } else { 1.0 };
        let expected = work * cold * (1.0 + ahead / host.slots);
        let goal = if need.latency_target.is_finite() { need.latency_target } else { GOAL };
        let way = match (host.line.zone == self.zone, host.region == self.region) {
            (true, _) => 0.0,
            (_, true) => TO_ZONE * goal,
            _ => TO_REGION * goal,
        };
        let way = if host.own { way } else { way + TO_STRANGER * goal };
        let silent = host.asked.is_some_and(|at| now - at > (work * DOUBT_WORK).max(DOUBT_LEAST));
        let doubt = if silent { goal } else { 0.0 };
        (expected, expected + way + doubt + host.ill(now) * ILL_COST * goal)
    }

    /// The host where a request is expected to be done first; none where none is expected to do it in time.
    pub fn select(&mut self, now: f64, need: &HostRequest) -> Option<SelectedHost> {
        let fleet = self.by_service.get(need.service)?;
        let mut best: Option<(f64, u64, f64)> = None;
        let shuts = |pool: &PoolStats| need.queue_ticket.is_some_and(|door| !door.lets_in(pool.open(now)));
        let shut: Vec<&str> =
            fleet.pools.iter().filter(|(_, pool)| shuts(pool)).map(|(region, _)| region.as_str()).collect();
        // A copy, as the rest is borrowed meanwhile.
        let mut chance = self.chance;
        for &key in &fleet.keys {
            let (Some(host), false) = (self.hosts.get(&key), need.tried.contains(&key)) else { continue };
            let Some(pool) = fleet.pools.get(&host.region) else { continue };
            if shut.contains(&host.region.as_str()) || !self.fits(host, need, now) {
                continue;
            }
            let (expected, weight) = self.weigh(host, need, pool, now);
            if expected > need.remaining * IN_TIME {
                continue;
            }
            let drawn = weight * (1.0 + SPREAD * chance.rand_float());
            if best.is_none_or(|(least, _, _)| drawn < least) {
                best = Some((drawn, key, expected));
            }
        }
        self.chance = chance;
        let (_, key, expected) = best?;
        let host = self.hosts.get(&key)?;
        Some(SelectedHost { key, id: host.line.id.clone(), address: host.line.address, expected })
    }

    /// A request with that goal time goes to a host now.
    pub fn attempt_started(&mut self, now: f64, key: u64, goal: f64) {
        let Some(host) = self.hosts.get_mut(&key) else { return };
        if let Some(pool) = pool_of(&mut self.by_service, host) {
            pool.sent(if goal.is_finite() { goal } else { GOAL });
        }
        host.out += 1.0;
        host.asked.get_or_insert(now);
        if now < host.cold_until {
            host.cold_sent.retain(|at| *at + 2.0 > now);
            host.cold_sent.push_back(now);
        }
    }

    /// May a request that was chosen for a host still go there? What stood still for a while looks again.
    pub fn is_listed(&self, key: u64) -> bool {
        let stays =
            |h: &Host| !h.gone && !h.moved && !h.line.draining && !self.evacuated.contains(&h.line.zone);
        self.hosts.get(&key).is_some_and(stays)
    }

    /// A request to a host ended, `took` seconds after it was sent.
    pub fn attempt_ended(&mut self, now: f64, key: u64, took: f64, end: AttemptEnd) {
        let Some(host) = self.hosts.get_mut(&key) else { return };
        let mut pool = pool_of(&mut self.by_service, host);
        let before = host.out;
        host.out = (host.out - 1.0).max(0.0);
        if let AttemptEnd::Answered(_) | AttemptEnd::Failed(_) | AttemptEnd::Full(_) = end {
            host.asked = if host.out > 0.0 { Some(now) } else { None };
            host.rests = 0;
        }
        if let Some(pool) = &mut pool {
            match end {
                AttemptEnd::Answered(_) => pool.took(now, took),
                AttemptEnd::Full(_) => pool.took(now, f64::INFINITY),
                AttemptEnd::Abandoned => pool.took_longer(now, took),
                _ => {}
            }
        }
        if let AttemptEnd::Answered(load) | AttemptEnd::Failed(load) | AttemptEnd::Full(load) = end
            && let Some((running, waiting, slots)) = load
        {
            host.slots = if slots >= 1.0 { slots } else { host.slots };
            // What it told was true before this one ended: this gateway's part is taken off.
            let others = (running + waiting - before).max(0.0);
            host.others += OTHERS_STEP * (others - host.others);
            host.others_at = now;
            if let Some(pool) = &mut pool {
                pool.told(now, (running + waiting) / host.slots);
            }
        }
        match end {
            // How quickly it fails says nothing of its work.
            AttemptEnd::Failed(_) => host.fared(now, false),
            AttemptEnd::Answered(load) => {
                host.fared(now, true);
                let alone = took / ((before + host.others) / host.slots).max(1.0);
                host.work = if host.work > 0.0 { host.work + WORK_STEP * (alone - host.work) } else { alone };
                // Where others wait too nobody knows how long this one did: only a host with a slot free tells of its work.
                let free = |(running, waiting, slots): (f64, f64, f64)| waiting <= 0.0 && running < slots;
                if let Some(pool) = pool.filter(|_| load.is_none_or(free)) {
                    pool.worked(alone);
                }
            }
            AttemptEnd::Full(_) => host.others = host.others.max(host.slots * 2.0),
            // Nothing bad of the host: whether it would have answered nobody knows.
            AttemptEnd::Withdrawn => host.stopped_waiting(),
            AttemptEnd::Abandoned => {
                host.stopped_waiting();
                let known = if host.work > 0.0 { host.work } else { pool.map_or(0.0, |pool| pool.work()) };
                let alone = took / ((before + host.others) / host.slots).max(1.0);
                if alone > known {
                    host.work = known + WORK_STEP * (alone - known);
                }
            }
            AttemptEnd::Misdirected => host.moved = true,
            AttemptEnd::ConnectFailed | AttemptEnd::TimedOut => {
                host.rests += 1;
                let rest = FIRST_REST * f64::from(1 << (host.rests - 1).min(MOST_DOUBLINGS));
                host.rest_until = host.rest_until.max(now + rest);
                host.fared(now, false);
                host.asked = None;
            }
            AttemptEnd::Broken => {
                host.asked = None;
                host.fared(now, false);
            }
        }
    }
}
