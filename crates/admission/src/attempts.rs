//! Decides about hand-offs: when one is doubted or done again, and how an inquiry ends.

use crate::admission::Admission;
use crate::interface::*;
use crate::quota::WIDE;
use crate::state::*;

impl Admission {
    /// The quota is granted: the first hand-off, or back with what it took where no host has room.
    pub(crate) fn send_on(&mut self, out: &mut dyn Driver, id: u32) {
        // A client about to leave gets its answer at once: nothing may be sent after its time.
        let in_time = self.open[&id].until > self.now + 0.01;
        let Some(host) = self.pick(id).filter(|_| in_time) else {
            self.take_back(out, id);
            return self.push_back_by_load(out, id);
        };
        self.hand_off(out, id, host);
    }

    pub(crate) fn hand_off(&mut self, out: &mut dyn Driver, id: u32, host: HostId) {
        // Part of the goal time after which a hand-off is doubted: sooner mostly meets long inquiries.
        const PATIENCE: f64 = 2.0;
        let now = self.now;
        let (Some(open), Some(to)) = (self.open.get_mut(&id), self.hosts.get_mut(&host)) else { return };
        let nth = open.sent.len() as u16;
        let HostEntry { zone, cell, .. } = to.line;
        open.sent.push(Sent { host, zone, cell, at: now, live: true, may_have_run: true });
        let lane = open.lane;
        to.out += 1.0;
        to.lanes[lane].out += 1.0;
        self.fleet.out += 1.0;
        let patience = self.lanes[lane].goal * PATIENCE;
        let due = self.after(patience, Box::new(move |gateway, out| gateway.impatient(out, id, nth)));
        let next: AfterHandOff = Box::new(move |gateway, out, how| gateway.after_hand_off(out, id, how));
        self.hands.insert((id, nth), (due, lane, next));
        out.start_attempt(id, host, 0.0);
    }

    pub(crate) fn impatient(&mut self, out: &mut dyn Driver, id: u32, nth: u16) {
        if !self.hands.contains_key(&(id, nth)) {
            return;
        }
        let Some(open) = self.open.get(&id) else { return };
        let Some(sent) = open.sent.get(usize::from(nth)) else { return };
        let (host, lane, at, last) = (sent.host, open.lane, sent.at, open.sent.len() == usize::from(nth) + 1);
        // A lane that has answered others since is only busy, or the inquiry is long: a copy harms both.
        let heard = |h: &Host| h.lanes[lane].heard > at;
        let spared = !last || open.until - self.now < 0.1 || self.hosts.get(&host).is_some_and(heard);
        if spared || !self.may_repeat(id) {
            return;
        }
        // Among many gateways it rests at once: what it holds yet would count against the room at all others.
        if self.sharing > f64::from(WIDE) {
            self.rest(out, host, Some(lane));
        }
        match (self.terms.may_hedge, self.terms.may_cancel && self.any_room(lane)) {
            (true, _) => self.pick(id).into_iter().for_each(|host| self.hand_off(out, id, host)),
            (_, true) => out.cancel_attempt(id, nth),
            _ => {}
        }
    }

    pub(crate) fn may_repeat(&self, id: u32) -> bool {
        let Some(open) = self.open.get(&id) else { return false };
        let lane = &self.lanes[open.lane];
        let ran = open.sent.iter().filter(|s| s.live || s.may_have_run).map(|s| s.at).reduce(f64::min);
        let safe = ran.is_none_or(|at| lane.repeats && self.now < at + lane.memory);
        safe && open.sent.len() < self.terms.max_attempts as usize && open.of_use > self.now + 1e-3
    }

    pub fn attempt_ended(&mut self, now: f64, out: &mut dyn Driver, ended: AttemptResult) {
        self.now = now;
        let Some((due, lane, next)) = self.hands.remove(&(ended.request, ended.attempt)) else { return };
        self.due.remove(&due);
        self.note_outcome(out, &ended, lane);
        if let Some(open) = self.open.get_mut(&ended.request) {
            if let Some(sent) = open.sent.get_mut(usize::from(ended.attempt)) {
                sent.live = false;
                let proven = [Outcome::Full, Outcome::ConnectFailed, Outcome::NeverSent];
                sent.may_have_run = !proven.contains(&ended.outcome);
            }
            // True units: the difference goes to the window that took the guess, with its next add.
            let settled = self.terms.settles && ended.true_units > 0.0;
            if let Some((name, keep, _)) = open.charged.filter(|_| settled) {
                let more = ended.true_units - open.units;
                self.customers.entry(open.customer).and_modify(|c| c.slides[0].room -= more);
                self.tally(name, keep).held += more;
            }
            if ended.final_attempt {
                self.close(out, ended.request);
            } else {
                next(self, out, &ended);
            }
        }
        self.rouse(out);
    }

    pub(crate) fn after_hand_off(&mut self, out: &mut dyn Driver, id: u32, ended: &AttemptResult) {
        let Some(open) = self.open.get(&id) else { return };
        if open.until > self.now + 1e-3 && open.sent.iter().any(|s| s.live) {
            return;
        }
        let again = ended.outcome != Outcome::NeverSent && self.may_repeat(id);
        match again.then(|| self.pick(id)).flatten() {
            Some(host) => self.hand_off(out, id, host),
            None => self.give_up(out, id),
        }
    }

    /// A reply has begun and is not whole. Guards against waiting for the rest of a spoilt one for as long as
    /// the client does; harms a host that sends slower: the rest takes far less from any sound one.
    pub fn response_started(&mut self, now: f64, out: &mut dyn Driver, id: u32, nth: u16) {
        const REST_OF_REPLY: f64 = 0.1;
        self.now = now;
        if self.terms.may_cancel {
            self.after(REST_OF_REPLY, Box::new(move |_, out| out.cancel_attempt(id, nth)));
        }
        self.rouse(out);
    }

    /// A streamed answer has begun: it has no deadline any more, and its host is not silent.
    pub fn attempt_started(&mut self, now: f64, id: u32, host: HostId) {
        self.now = now;
        self.open.entry(id).and_modify(|o| o.until = f64::INFINITY);
        let lane = self.open.get(&id).map_or(0, |o| o.lane);
        self.hosts.entry(host).and_modify(|h| h.lanes[lane].heard = now);
    }

    /// The client is gone. What never ran costs its customer nothing.
    pub fn client_disconnected(&mut self, now: f64, out: &mut dyn Driver, id: u32) {
        self.now = now;
        if self.open.get(&id).is_some_and(|open| !open.may_have_run()) {
            self.take_back(out, id);
        }
        self.close(out, id);
        self.rouse(out);
    }

    pub(crate) fn push_back_by_load(&mut self, out: &mut dyn Driver, id: u32) {
        // Advice under overload, a part of the goal time: the next try shall be in time. Chance spreads it.
        const LOAD_WAIT: f64 = 0.12;
        let wait = self.lanes[self.open[&id].lane].goal * LOAD_WAIT * (0.5 + self.chance.rand_float());
        self.push_back(out, id, wait);
    }

    pub(crate) fn push_back(&mut self, out: &mut dyn Driver, id: u32, wait: f64) {
        let advice = if self.terms.may_advise { wait.clamp(0.0, self.terms.max_retry_after) } else { 0.0 };
        out.reject(id, advice);
        self.close(out, id);
    }

    /// No further hand-off: pushed back where the lane lets the client try again, terminated elsewhere.
    pub(crate) fn give_up(&mut self, out: &mut dyn Driver, id: u32) {
        let Some(open) = self.open.get(&id) else { return };
        let ran = open.may_have_run();
        if open.until > self.now + 1e-3 && (!ran || self.lanes[open.lane].refusable) {
            self.push_back_by_load(out, id);
        } else {
            out.abort(id);
            self.close(out, id);
        }
    }

    /// Whatever ended the inquiry: its place is given back and copies still out are called off.
    pub(crate) fn close(&mut self, out: &mut dyn Driver, id: u32) {
        let Some(open) = self.open.remove(&id) else { return };
        for (nth, _) in open.sent.iter().enumerate().filter(|(_, s)| s.live) {
            if self.terms.may_cancel && self.hands.contains_key(&(id, nth as u16)) {
                out.cancel_attempt(id, nth as u16);
            }
        }
    }
}
