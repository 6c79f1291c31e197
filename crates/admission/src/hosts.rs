//! Decides which hosts a gateway turns to, how much it keeps out at each, and when one rests.

use crate::admission::Admission;
use crate::counter_keys::mix;
use crate::interface::*;
use crate::state::*;

impl Admission {
    pub fn host_list_updated(
        &mut self,
        now: f64,
        out: &mut dyn Driver,
        news: HostListUpdate,
        lines: &[HostEntry],
    ) {
        self.now = now;
        if news == HostListUpdate::Failed {
            let wait = self.ask_again.failed(1.0, self.terms.ask_within, self.chance.rand_float());
            self.after(wait, Box::new(|_, out| out.subscribe()));
            return self.rouse(out);
        }
        self.ask_again.reset();
        if news != HostListUpdate::Delta {
            self.hosts.values_mut().for_each(|h| h.line.state = HostState::Removed);
        }
        for line in lines {
            // Turns start at chance, or all gateways' rotations would fall on the same hosts at once.
            let (line, credit) = (line.clone(), self.chance.rand_float());
            let lanes = vec![InLane { heard: now, ..InLane::default() }; self.lanes.len()];
            let place = mix(line.host ^ mix(u64::from(self.terms.gateway_number) + 1));
            let fresh = Host { line: line.clone(), lanes, credit, place, ..Host::default() };
            match self.hosts.get_mut(&line.host) {
                None => drop(self.hosts.insert(line.host, fresh)),
                Some(host) if line.started > host.line.started => host.begin_anew(fresh),
                Some(host) => host.line = line,
            }
        }
        self.draw_near();
        self.rouse(out);
    }

    /// Among many gateways each turns to some hosts only, the first ready ones in an order of its own. Guards
    /// against connections used once and hosts of which nobody hears twice before they change: few enough to
    /// hear of, and enough gateways a host that uneven traffic evens out. A few gateways turn to all hosts.
    pub(crate) fn draw_near(&mut self) {
        // Hand-offs out at a host at first, over all gateways: keeps a few cores busy.
        const FIRST_LIMIT: f64 = 5.0;
        // Thirty and twelve spread work more evenly and were worse: hearing of a host often is worth more.
        const GATEWAYS_A_HOST: f64 = 12.0;
        const LEAST_NEAR: f64 = 5.0;
        let gateways = f64::from(self.terms.gateways.max(1));
        let mut ready: Vec<_> = self.hosts.iter().filter(|(_, h)| h.line.state == HostState::Ready).collect();
        ready.sort_by_key(|(id, h)| (h.rests_wholly(self.now), h.place, **id));
        let all = ready.len() as f64;
        let most = (GATEWAYS_A_HOST * all / gateways).ceil().max(LEAST_NEAR).min(all.max(1.0));
        self.sharing = (gateways * most / all.max(1.0)).max(1.0);
        let near: Vec<HostId> = ready.iter().take(most as usize).map(|(id, _)| **id).collect();
        for (id, host) in &mut self.hosts {
            host.near = near.contains(id);
            host.limit = if host.limit == 0.0 { FIRST_LIMIT / self.sharing } else { host.limit };
        }
    }

    /// Share of its full capacity that a host has at least, by its age.
    pub(crate) fn warmth(&self, line: &HostEntry) -> f64 {
        let (age, from) = (self.now - line.started, self.terms.cold_from.clamp(0.01, 1.0));
        let cold = line.started > 0.0 && age < self.terms.warm_up;
        if cold { from + (1.0 - from) * (age / self.terms.warm_up).max(0.0) } else { 1.0 }
    }

    /// Most hand-offs that this gateway keeps out at a host now.
    pub(crate) fn allowed(&self, host: &Host, lane: usize) -> f64 {
        let InLane { out, rests, rest_until, .. } = host.lanes[lane];
        // One at a time in a doubted lane, whatever the others have out.
        let doubted = rests > 0 && out > 0.0;
        if host.line.state != HostState::Ready || rest_until > self.now || doubted {
            return 0.0;
        }
        (host.limit * self.warmth(&host.line)).ceil()
    }

    /// Room at a host that serves the lane, and within the sum of such hosts' limits, each perhaps below one,
    /// or within their part of what may be out at the near hosts at least.
    pub(crate) fn any_room(&self, lane: usize) -> bool {
        // Never out less than this a warm host, over all gateways: keeps cores busy and builds no queue.
        const FLEET_LEAST: f64 = 2.0;
        let least = FLEET_LEAST / self.sharing;
        let (mut out, mut sum, mut floor, mut any) = (0.0, 0.0, 0.0, false);
        let (mut near, mut fit) = (0.0_f64, 0.0);
        for host in self.hosts.values().filter(|h| h.near) {
            near += 1.0;
            let allowed = self.allowed(host, lane);
            if allowed > 0.0 {
                let warmth = self.warmth(&host.line);
                (out, sum, floor) = (out + host.out, sum + host.limit * warmth, floor + least * warmth);
                (fit, any) = (fit + 1.0, any || host.out + 1.0 <= allowed);
            }
        }
        any && out + 1.0 <= sum.max(floor).max(self.fleet.limit * fit / near).max(1.0)
    }

    /// Weighted rotation among the hosts with room that the inquiry's lane leaves open.
    pub(crate) fn pick(&mut self, id: u32) -> Option<HostId> {
        // How much sooner a lane goes to where another rests: what serves all is what that one is left with.
        const SUITS: f64 = 3.0;
        let open = self.open.get(&id)?;
        let lane = &self.lanes[open.lane];
        let bound = open.sent.iter().find(|s| s.live || s.may_have_run);
        let fellow = |line: &HostEntry| match (bound, lane.fellows) {
            (None, _) | (_, DedupScope::All) => true,
            (Some(sent), DedupScope::Zone) => sent.zone == line.zone,
            (Some(sent), DedupScope::Cell) => sent.cell == line.cell,
        };
        let mut fit: Vec<(HostId, f64, bool)> = Vec::new();
        // A repeat that is bound to a group may go to any host of it.
        let near = |h: &Host| h.near || bound.is_some() && lane.fellows != DedupScope::All;
        let room = |h: &Host| near(h) && h.out + 1.0 <= self.allowed(h, open.lane);
        for (&id, host) in self.hosts.iter().filter(|(_, h)| room(h)) {
            let tried = open.sent.iter().any(|s| s.host == id);
            if fellow(&host.line) && !open.sent.iter().any(|s| s.host == id && s.live) {
                let suits = 1.0 + SUITS * host.lanes.iter().filter(|l| l.rests > 0).count() as f64;
                fit.push((id, host.limit * self.warmth(&host.line) * suits, tried));
            }
        }
        let untried = fit.iter().any(|f| !f.2);
        fit.retain(|f| !(untried && f.2));
        let sum: f64 = fit.iter().map(|f| f.1).sum();
        let mut best: Option<(HostId, f64)> = None;
        for (id, weight, _) in fit {
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

    pub(crate) fn note_outcome(&mut self, out: &mut dyn Driver, ended: &AttemptResult, lane: usize) {
        // Answers are steered to this part of the goal time, well inside it: 0.09 sheds on days of long work.
        const AIM: f64 = 0.13;
        // Later for the fleet, or a few slow hosts make hundreds of gateways shed: 0.13 lost a tenth there.
        const FLEET_AIM: f64 = 0.3;
        // Least limit of a host, over all gateways: three keep one out at every tenth host, to see it mend.
        const LEAST_LIMIT: f64 = 0.3;
        let (now, part) = (self.now, (ended.elapsed / self.lanes[lane].goal).min(1.0));
        let least = LEAST_LIMIT / self.sharing;
        let Some(host) = self.hosts.get_mut(&ended.host) else { return };
        let since = now - host.lanes.iter().map(|l| l.heard).fold(0.0, f64::max);
        host.out = (host.out - 1.0).max(0.0);
        self.fleet.out = (self.fleet.out - 1.0).max(0.0);
        let answered = [Outcome::Answered, Outcome::Error, Outcome::Full].contains(&ended.outcome);
        let row = &mut host.lanes[lane];
        row.out = (row.out - 1.0).max(0.0);
        row.heard = if answered { now } else { row.heard };
        // Called off before its goal time, it was given up by its client: that says nothing of the host.
        // Silence where others were answered meanwhile is a late answer; so is a reset: answers get lost.
        let unanswered = match ended.outcome {
            Outcome::Cancelled => part >= 1.0,
            outcome => outcome == Outcome::TimedOut,
        };
        let silent = unanswered && row.heard <= now - ended.elapsed;
        if unanswered && !silent || [Outcome::Answered, Outcome::Reset].contains(&ended.outcome) {
            let part = if ended.outcome == Outcome::Answered { part } else { 1.0 };
            host.steer(least, part, AIM, since);
            self.fleet.steer(1.0, part, FLEET_AIM, 0.0);
        }
        let row = &mut host.lanes[lane];
        match ended.outcome {
            Outcome::Answered => row.rests /= 2,
            Outcome::Full => {
                host.limit = (host.limit * 0.8).max(least);
                host.lanes.iter_mut().for_each(|l| l.rest_until = l.rest_until.max(now + 0.05));
            }
            Outcome::ConnectFailed => self.rest(out, ended.host, None),
            outcome if silent || outcome == Outcome::Error => self.rest(out, ended.host, Some(lane)),
            _ => {}
        }
    }

    /// A lane of a host rests, or all of them where it is not reached. After a rest of all a probe, where
    /// allowed, asks whether the process runs before an inquiry is risked. Guards against inquiries spent on
    /// hosts that stay dead or cut off, and on a lane that a host fails while it serves the others as usual.
    pub(crate) fn rest(&mut self, out: &mut dyn Driver, id: HostId, lane: Option<usize>) {
        // The first rest of a host, short beside a restart; of a lane, which fails for tens of seconds: 1 s
        // spent twice the inquiries on finding that out, 3 and 10 s a few more. The time between two traces.
        const FIRST_REST: f64 = 1.0;
        const LANE_REST: f64 = 6.0;
        const TRACE_EVERY: f64 = 5.0;
        let (now, probes) = (self.now, self.terms.may_probe && lane.is_none());
        let Some(host) = self.hosts.get_mut(&id) else { return };
        let first = if lane.is_some() { LANE_REST } else { FIRST_REST };
        let mut length = 0.0_f64;
        for (n, row) in host.lanes.iter_mut().enumerate() {
            if row.rest_until <= now && lane.is_none_or(|lane| lane == n) {
                row.rests += 1;
                let rest = first * f64::from(1 << (row.rests - 1).min(3));
                row.rest_until = if probes { f64::INFINITY } else { now + rest };
                length = length.max(rest);
            }
        }
        if length == 0.0 {
            return;
        }
        if probes {
            let step: Step = Box::new(move |gateway, out| match gateway.hosts.get_mut(&id) {
                Some(host) if host.line.state == HostState::Ready => out.probe(id),
                Some(host) => host.lanes.iter_mut().for_each(|l| l.rest_until = gateway.now),
                None => {}
            });
            self.after(length, step);
        }
        self.draw_near();
        if now > self.traced_at + TRACE_EVERY {
            self.traced_at = now;
            let resting = self.hosts.values().filter(|h| h.lanes.iter().any(|l| l.rests > 0)).count();
            out.log(&format!("{resting} of {} hosts rest, wholly or in a lane", self.hosts.len()));
        }
    }

    pub fn probe_finished(&mut self, now: f64, out: &mut dyn Driver, id: HostId, well: bool, _load: Load) {
        self.now = now;
        if let Some(host) = self.hosts.get_mut(&id).filter(|h| h.rests_wholly(now)) {
            host.lanes.iter_mut().for_each(|l| l.rest_until = now);
            if !well {
                self.rest(out, id, None);
            }
        }
        self.rouse(out);
    }
}

impl Host {
    /// Started again: what it holds of this gateway's is still counted, the rest is forgotten.
    pub(crate) fn begin_anew(&mut self, fresh: Host) {
        let before = std::mem::replace(self, fresh);
        self.out = before.out;
        self.lanes.iter_mut().zip(&before.lanes).for_each(|(lane, before)| lane.out = before.out);
    }

    /// Rests in every lane: it is not reached, or silent altogether.
    pub(crate) fn rests_wholly(&self, now: f64) -> bool {
        self.lanes.iter().all(|l| l.rest_until > now)
    }

    /// Moves the limit so that answers take `aim` of the goal time on average. Guards against overdriven
    /// hosts; covers slow and failing ones, jams, restarts. Could harm where all work suddenly gets long.
    /// `since` is the time since the host's last answer: one heard of seldom moves further at a time.
    pub(crate) fn steer(&mut self, least: f64, part: f64, aim: f64, since: f64) {
        // Quick steps, or a jam outlives its cause; bounded ones, or a few very long inquiries starve a host.
        const STEER: f64 = 0.15;
        const MOST_STEP: f64 = 0.6;
        const OUTLIER: f64 = 1.5;
        let step = (STEER * (1.0 + since)).min(MOST_STEP);
        let off = 1.0 - (part / aim).min(OUTLIER);
        if off < 0.0 || self.out + 2.0 > self.limit {
            self.limit = (self.limit * (1.0 + step * off)).clamp(least, MOST_LIMIT);
        }
    }
}

const MOST_LIMIT: f64 = 64.0;
