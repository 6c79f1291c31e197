//! What one data gateway lets on by itself, of a quota that all share: beyond what the counter granted, or where no
//! counter answers. Owns the split of the rule's bound between the counter and the shares. Must never depend on a message
//! arriving: a share is used up and comes back by the own steady clock alone.
//!
//! For a tenant of rate r and burst b the rule allows, in any window of W seconds and over all gateways,
//! `(r W + b)(1 + overrun) + slack`. The counter grants at most `counted (r W + b)` of it, in the module's tiers. The rest,
//! less `MARGIN` of it for what is on its way, is split evenly, and what doesn't divide goes by lot: each of n gateways lets on an
//! n-th of it, or the whole number above or below, in any W seconds.
//! A gateway that starts anew waits for as long first, as its life before may have let on all of it a moment ago; one that
//! is cut off or wakes from a freeze has no more than its own.

use archlink_messages::NodeRank;
use std::collections::VecDeque;

/// Part of a quota that the counter grants. The rest is not lost: tenants that press are let on by the shares as well. Less
/// here keeps more alive without a counter; more is fairer to tenants whose requests come through few gateways.
const COUNTED: f64 = 0.72;
/// The same where a share would hold so little, in a window, that it lets nobody on: nearly all of it is counted then.
const LEAST_SHARE: f64 = 2.0;
const COUNTED_ALONE: f64 = 0.95;
/// Among more gateways than these, their number counts in steps of so many, so that one that comes or goes does not have
/// some gateways split a quota otherwise than the rest.
const FEW: u32 = 16;

/// Part of the shares' sum that is never let on: two totals on their way at once, clocks that differ, a gateway that
/// joins and is not yet counted everywhere.
const MARGIN: f64 = 0.12;
/// The rule's figures.
#[derive(Clone, Copy, Debug)]
pub struct QuotaBound {
    pub window: f64,
    pub overrun: f64,
    pub slack: f64,
}

impl QuotaBound {
    /// All that the shares of a quota may let on together in any window, beside a counter that grants `counted` of it.
    fn beside(&self, counted: f64, rate: f64, burst: f64) -> f64 {
        let whole = rate * self.window + burst;
        (whole * (1.0 + self.overrun - counted) + self.slack) * (1.0 - MARGIN)
    }

    /// Part of a quota that the counter grants, among so many gateways.
    pub fn counted_fraction(&self, rate: f64, burst: f64, gateways: u32) -> f64 {
        let mine = self.beside(COUNTED, rate, burst) / f64::from(gateways.next_multiple_of(FEW));
        if gateways > FEW && mine < LEAST_SHARE { COUNTED_ALONE } else { COUNTED }
    }

    /// All that the shares of a quota may let on together in any window.
    pub fn total_shares(&self, rate: f64, burst: f64, gateways: u32) -> f64 {
        self.beside(self.counted_fraction(rate, burst, gateways), rate, burst)
    }
}

/// One tenant's share at this gateway: when requests were let on, within the last window.
#[derive(Clone, Debug)]
pub struct LocalShare {
    since: f64,
    let_on: VecDeque<f64>,
}

impl LocalShare {
    /// `since` is when this gateway started.
    pub fn new(since: f64) -> LocalShare {
        LocalShare { since, let_on: VecDeque::new() }
    }

    /// Lets one request on, if there is room.
    pub fn try_admit(&mut self, now: f64, bound: &QuotaBound, rate: f64, burst: f64, lot: NodeRank) -> bool {
        if lot.nodes == 0 || now < self.since + bound.window {
            return false;
        }
        while self.let_on.front().is_some_and(|at| *at + bound.window <= now) {
            self.let_on.pop_front();
        }
        let all = bound.total_shares(rate, burst, lot.nodes as u32).max(0.0) as usize;
        let room = self.let_on.len() < lot.portion(all);
        if room {
            self.let_on.push_back(now);
        }
        room
    }
}
