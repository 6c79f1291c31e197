//! Retry budget: what all data nodes together may add to a service's requests by retries.
//!
//! The bound, in any window over all data nodes, is `ratio` of the requests and `slack`. Each data node earns by its own
//! requests and holds at most its even part of the slack, so that the sum keeps the bound without a message.
//!
//! Invariant: no more retries are withdrawn than were deposited here.

use std::collections::HashMap;

/// Part of the bound's figures that is given out: requests that arrive late count in another window than they were sent in.
const USABLE_FRACTION: f64 = 0.75;

/// The figures of the bound, from the operators' `TimingBounds`.
#[derive(Clone, Copy, Debug)]
pub struct RetryBound {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries on top of that, in any window.
    pub slack: f64,
}

/// The retries that this data node may make now, by service.
#[derive(Default)]
pub struct RetryBudget {
    balances: HashMap<String, f64>,
}

impl RetryBudget {
    /// A request of the service was accepted; `gateways` data nodes may be running, 0 where that is unknown.
    pub fn deposit(&mut self, bound: &RetryBound, service: &str, gateways: u32) {
        let max_balance = Self::max_balance(bound, gateways);
        match self.balances.get_mut(service) {
            Some(balance) => *balance = (*balance + bound.ratio * USABLE_FRACTION).min(max_balance),
            // An earlier incarnation may have spent what it held.
            None => drop(self.balances.insert(service.to_string(), 0.0)),
        }
    }

    /// Takes one retry, if there is one.
    pub fn try_withdraw(&mut self, service: &str) -> bool {
        match self.balances.get_mut(service) {
            Some(balance) if *balance >= 1.0 => {
                *balance -= 1.0;
                true
            }
            _ => false,
        }
    }

    /// What a window's requests earn comes on top of the balance, which alone is bounded here. Nothing while it is unknown
    /// how many share the slack.
    fn max_balance(bound: &RetryBound, gateways: u32) -> f64 {
        if gateways == 0 { 0.0 } else { bound.slack * USABLE_FRACTION / f64::from(gateways) }
    }
}
