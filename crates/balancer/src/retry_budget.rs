//! Further tries: what all gateways together may add to a service's arrivals. Each gateway earns by its own requests and
//! holds a part of what is free, so that no message is needed for the sum to keep the rule. Must never give out more than
//! this gateway's part.

use std::collections::HashMap;

/// Part of the rule's figures that is given out: requests that arrive late count in another window than they were sent in.
const GIVEN: f64 = 0.75;

/// The rule: in any window, further arrivals stay below `ratio` of the requests, and `slack`.
#[derive(Clone, Copy, Debug)]
pub struct RetryBound {
    pub ratio: f64,
    pub slack: f64,
}

#[derive(Default)]
pub struct RetryBudget {
    left: HashMap<String, f64>,
}

impl RetryBudget {
    /// A request of the service was taken on; `gateways` may be at work.
    pub fn deposit(&mut self, rule: &RetryBound, service: &str, gateways: u32) {
        let most = Self::most(rule, gateways);
        match self.left.get_mut(service) {
            Some(left) => *left = (*left + rule.ratio * GIVEN).min(most),
            // A life before this one may have spent what it held.
            None => drop(self.left.insert(service.to_string(), 0.0)),
        }
    }

    /// A window's requests earn on top of what is held: that alone is bounded here. Nothing while it isn't known how many
    /// share.
    fn most(rule: &RetryBound, gateways: u32) -> f64 {
        if gateways == 0 { 0.0 } else { rule.slack * GIVEN / f64::from(gateways) }
    }

    /// Takes one further try, if there is one.
    pub fn try_withdraw(&mut self, service: &str) -> bool {
        match self.left.get_mut(service) {
            Some(left) if *left >= 1.0 => {
                *left -= 1.0;
                true
            }
            _ => false,
        }
    }
}
