//! Local shares: what one data node admits by itself, beyond what the counter grants or where no counter replies.
//!
//! # The bound
//!
//! For a tenant with rate `r` (requests a second) and burst `b` (requests), all data nodes together admit in any window of
//! `W` seconds at most
//!
//! ```text
//! (r W + b) (1 + overrun) + slack
//! ```
//!
//! The bound is split between the counter and the shares (`docs/system.md`, "Quotas"):
//!
//! ```text
//! counter:     C (r W + b)                                          C = 0.72, or 0.95 for small quotas
//! all shares:  ((r W + b) (1 + overrun - C) + slack) (1 - 0.12)     in any W seconds
//! one share:   1/n of all shares, with n data nodes                 in any W seconds
//! ```
//!
//! The counter's part is the bound of the admission module's burst tiers. A share is a whole number of requests: where the
//! sum does not divide evenly, [`NodeRank`] decides which data nodes round up. The margin of 12% covers totals in flight,
//! clock differences and data nodes that are not yet known everywhere (`SHARE_MARGIN`).
//!
//! Invariant: a share needs no messages. It is used up and refilled by the node's own monotonic clock alone, so a data node
//! that is partitioned or resumes after a pause never admits more than its own share. A data node that starts admits nothing
//! for the first window, because its earlier incarnation may have used the whole share just before.

use archlink_messages::NodeRank;
use std::collections::VecDeque;

/// `C`: fraction of a quota that the counter grants. The rest is not lost, because busy tenants use the shares as well. A
/// lower value keeps more available without a counter; a higher one is fairer to tenants whose requests arrive at few data
/// nodes.
const COUNTED_FRACTION: f64 = 0.72;
/// `C` where a share would be below [`MIN_SHARE`]: such shares would admit hardly any request, so the counter grants nearly
/// the whole quota.
const COUNTED_FRACTION_SMALL_QUOTA: f64 = 0.95;
/// Smallest useful share, in requests per window.
const MIN_SHARE: f64 = 2.0;
/// Number of data nodes up to which the shares of every quota count as useful. Beyond it, the number of data nodes is
/// rounded up to a multiple of this step, so that one that joins or leaves does not make some data nodes split a quota
/// differently from the rest.
const NODE_COUNT_STEP: u32 = 16;
/// Fraction of all shares that is never granted. It covers two totals in flight at once, clocks that differ by one message
/// delay, and a joining data node that is not yet counted everywhere.
const SHARE_MARGIN: f64 = 0.12;

/// The parameters of the bound, from the operators' `TimingBounds`.
#[derive(Clone, Copy, Debug)]
pub struct QuotaBound {
    /// `W`: length of the window in seconds.
    pub window: f64,
    /// Fraction of the quota that may be admitted on top of it.
    pub overrun: f64,
    /// Requests that may be admitted on top of that.
    pub slack: f64,
}

impl QuotaBound {
    /// Requests in any window that all shares admit together if the counter grants `counted_fraction` of the quota.
    fn total_shares_for(&self, counted_fraction: f64, rate: f64, burst: f64) -> f64 {
        let quota = rate * self.window + burst;
        (quota * (1.0 + self.overrun - counted_fraction) + self.slack) * (1.0 - SHARE_MARGIN)
    }

    /// `C`: the fraction of a quota that the counter grants, with this number of data nodes.
    pub fn counted_fraction(&self, rate: f64, burst: f64, data_nodes: u32) -> f64 {
        let rounded_nodes = f64::from(data_nodes.next_multiple_of(NODE_COUNT_STEP));
        let one_share = self.total_shares_for(COUNTED_FRACTION, rate, burst) / rounded_nodes;
        if data_nodes > NODE_COUNT_STEP && one_share < MIN_SHARE {
            COUNTED_FRACTION_SMALL_QUOTA
        } else {
            COUNTED_FRACTION
        }
    }

    /// Requests in any window that all shares of a quota admit together, with this number of data nodes.
    pub fn total_shares(&self, rate: f64, burst: f64, data_nodes: u32) -> f64 {
        self.total_shares_for(self.counted_fraction(rate, burst, data_nodes), rate, burst)
    }
}

/// One tenant's share at this data node.
#[derive(Clone, Debug)]
pub struct LocalShare {
    started_at: f64,
    /// Times of the requests admitted within the last window, oldest first; at most as many as the share allows.
    admitted_at: VecDeque<f64>,
}

impl LocalShare {
    /// The share of a data node that started at `started_at` (seconds on its monotonic clock).
    pub fn new(started_at: f64) -> LocalShare {
        LocalShare { started_at, admitted_at: VecDeque::new() }
    }

    /// Admits one request if the share of a data node with this `rank` is not used up.
    pub fn try_admit(&mut self, now: f64, bound: &QuotaBound, rate: f64, burst: f64, rank: NodeRank) -> bool {
        if rank.nodes == 0 || now < self.started_at + bound.window {
            return false;
        }
        while self.admitted_at.front().is_some_and(|admitted_at| *admitted_at + bound.window <= now) {
            self.admitted_at.pop_front();
        }
        let all_shares = bound.total_shares(rate, burst, rank.nodes as u32).max(0.0) as usize;
        let has_room = self.admitted_at.len() < rank.portion(all_shares);
        if has_room {
            self.admitted_at.push_back(now);
        }
        has_room
    }
}
