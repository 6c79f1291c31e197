//! What is known of a service's hosts in one region as a whole: how busy they are, and how long their work takes. Each
//! answer tells of one host; among many gateways and hosts the same one is heard of too seldom to go by, all of them
//! together often enough. Must never be taken for a host's own figures where those are fresh.

/// The mean moves by this with each answer: some ten answers, a second or less at the smallest gateway.
const STEP: f64 = 0.12;
/// Without any answer a service empties: nothing of ours is there, and what others have runs out.
const LAST: f64 = 3.0;
/// Expected until a service's hosts have answered.
const FIRST_WORK: f64 = 0.06;

/// Where hosts are full, so much of the goal time is to be spent at them: a request let in beyond that comes late, and keeps
/// those behind it late as well.
const AT_HOST: f64 = 0.9;
/// The part that is let in, in a second, for a load that is off by its whole aim: it shrinks by a part of itself and grows by
/// a part of all, so that many gateways come to rest at the same. By time and not by answers: who lets few in hears few.
const SHUTS: f64 = 4.0;
const OPENS: f64 = 1.2;
const MOST_OFF: f64 = 1.5;
/// One answer stands for no more than these seconds.
const STANDS_FOR: f64 = 0.5;
const LEAST_OPEN: f64 = 0.02;

#[derive(Clone, Debug)]
pub struct PoolStats {
    load: f64,
    at: f64,
    work: f64,
    heard: f64,
    goal: f64,
    open: f64,
    steered: f64,
}

impl Default for PoolStats {
    fn default() -> PoolStats {
        PoolStats { load: 0.0, at: 0.0, work: 0.0, heard: 0.0, goal: 0.0, open: 1.0, steered: 0.0 }
    }
}

impl PoolStats {
    /// A request with that goal time goes there.
    pub fn sent(&mut self, goal: f64) {
        self.goal = if self.goal > 0.0 { self.goal + STEP / 2.0 * (goal - self.goal) } else { goal };
    }

    /// The part of the requests that is let in: below 1 where there are more than these hosts can answer in time.
    pub fn open(&self, now: f64) -> f64 {
        (self.open + OPENS * (now - self.steered - STANDS_FOR).max(0.0)).min(1.0)
    }

    /// An answer took so long; infinite where it was turned away.
    pub fn took(&mut self, now: f64, took: f64) {
        let aim = AT_HOST * self.goal;
        let off = (took / aim.max(1e-3) - 1.0).clamp(-1.0, MOST_OFF);
        let (open, passed) = (self.open(now), (now - self.steered).clamp(0.0, STANDS_FOR));
        let moved =
            if off > 0.0 { open * (-SHUTS * off * passed).exp() } else { open - OPENS * off * passed };
        self.open = moved.clamp(LEAST_OPEN, 1.0);
        self.steered = now;
    }

    /// An answer that nobody waited for any more would have taken longer than this.
    pub fn took_longer(&mut self, now: f64, than: f64) {
        if than > AT_HOST * self.goal {
            self.took(now, than);
        }
    }

    /// A host told what runs and waits there, for each of its slots.
    pub fn told(&mut self, now: f64, load: f64) {
        let before = self.load(now);
        self.load = before + STEP.max(1.0 / (self.heard + 1.0)) * (load.max(0.0) - before);
        self.at = now;
        self.heard = (self.heard + 1.0).min(1.0 / STEP);
    }

    /// Work took so long by itself.
    pub fn worked(&mut self, work: f64) {
        self.work = if self.work > 0.0 { self.work + STEP / 2.0 * (work - self.work) } else { work };
    }

    /// Requests running and waiting at a usual host, for each of its slots.
    pub fn load(&self, now: f64) -> f64 {
        self.load * (-(now - self.at).max(0.0) / LAST).exp()
    }

    /// Seconds that a usual host's work takes; none heard of yet takes a guess.
    pub fn work(&self) -> f64 {
        if self.work > 0.0 { self.work } else { FIRST_WORK }
    }
}
