//! Retry budget: how many retries all data nodes together may add to a service's requests.
//!
//! The bound on retries, in any window over all data nodes, is `ratio` times the requests plus `slack`. Each data node
//! earns retries by its own requests and holds at most its even share of the slack, so the sum keeps the bound without
//! communication.
//!
//! Invariant: a data node withdraws no more retries than it has deposited.

use std::collections::HashMap;

/// Fraction of the bound's ratio and slack that is used: a request that arrives late counts in another window than the
/// one it was sent in.
const USABLE_FRACTION: f64 = 0.75;

/// The parameters of the bound, from the operators' `TimingBounds`.
#[derive(Clone, Copy, Debug)]
pub struct RetryBound {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in any window beyond those.
    pub slack: f64,
}

/// The retries that this data node may make now, by service.
#[derive(Default)]
pub struct RetryBudget {
    balances: HashMap<String, f64>,
}

impl RetryBudget {
    /// Deposits the retries earned by one request to the service. `data_nodes` is the number of data nodes that may be
    /// running, 0 if unknown.
    pub fn deposit(&mut self, bound: &RetryBound, service: &str, data_nodes: u32) {
        let max_balance = Self::max_balance(bound, data_nodes);
        match self.balances.get_mut(service) {
            Some(balance) => *balance = (*balance + bound.ratio * USABLE_FRACTION).min(max_balance),
            // Starts empty: an earlier incarnation of this node may have spent its share.
            None => drop(self.balances.insert(service.to_string(), 0.0)),
        }
    }

    /// Withdraws one retry; false if the balance is too low.
    pub fn try_withdraw(&mut self, service: &str) -> bool {
        match self.balances.get_mut(service) {
            Some(balance) if *balance >= 1.0 => {
                *balance -= 1.0;
                true
            }
            _ => false,
        }
    }

    /// Upper bound of the balance: this data node's share of the slack, as the retries that a window's requests earn
    /// come on top of the balance held before. 0 while the number of data nodes that share the slack is unknown.
    fn max_balance(bound: &RetryBound, data_nodes: u32) -> f64 {
        if data_nodes == 0 { 0.0 } else { bound.slack * USABLE_FRACTION / f64::from(data_nodes) }
    }
}
