//! Local shares: what one data node admits by itself, beyond what the counter granted or where no counter replies.
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
//! It is split between the counter and the shares (`docs/system.md`, "Quotas"):
//!
//! ```text
//! counter:     C (r W + b)                                          C = 0.72, or 0.95 for small quotas
//! all shares:  ((r W + b) (1 + overrun - C) + slack) (1 - 0.12)     in any W seconds
//! one share:   the n-th part of all shares, n data nodes            in any W seconds
//! ```
//!
//! The counter's part is the bound of the burst tiers of the decision module. What does not divide evenly among the shares
//! goes by [`NodeRank`]: each data node has the whole number below or above. The 12% are for totals in flight, clocks that
//! differ and data nodes that are not known everywhere yet (`SHARE_MARGIN`).
//!
//! Invariant: a share needs no message. It is used up and refills by the node's own steady clock alone, so a data node that
//! is partitioned or wakes from a freeze has no more than its own. One that starts admits nothing for the first window, as
//! its earlier incarnation may have used the whole share a moment before.

use archlink_messages::NodeRank;
use std::collections::VecDeque;

/// `C`: fraction of a quota that the counter grants. The rest is not lost: busy tenants are admitted by the shares as well.
/// Less here keeps more available without a counter; more is fairer to tenants whose requests come through few data nodes.
const COUNTED_FRACTION: f64 = 0.72;
/// `C` where a share would be below [`MIN_SHARE`]: the shares would admit hardly anybody, so nearly all of it is counted.
const COUNTED_FRACTION_SMALL_QUOTA: f64 = 0.95;
/// Requests in a window below which a share is too small to be of use.
const MIN_SHARE: f64 = 2.0;
/// Data nodes up to which every quota has useful shares. Beyond, their number counts in steps of this, so that one that
/// comes or goes does not have some data nodes split a quota differently from the rest.
const NODE_COUNT_STEP: u32 = 16;
/// Fraction of the shares' sum that is never given out: two totals in flight at once, clocks that differ by a message's
/// way, a data node that joins and is not counted everywhere yet.
const SHARE_MARGIN: f64 = 0.12;

/// The figures of the bound, from the operators' `TimingBounds`.
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
    /// Requests in any window of all shares together, beside a counter that grants the fraction `counted`.
    fn shares_beside(&self, counted: f64, rate: f64, burst: f64) -> f64 {
        let quota = rate * self.window + burst;
        (quota * (1.0 + self.overrun - counted) + self.slack) * (1.0 - SHARE_MARGIN)
    }

    /// `C`: the fraction of a quota that the counter grants, with this number of data nodes.
    pub fn counted_fraction(&self, rate: f64, burst: f64, gateways: u32) -> f64 {
        let rounded_nodes = f64::from(gateways.next_multiple_of(NODE_COUNT_STEP));
        let one_share = self.shares_beside(COUNTED_FRACTION, rate, burst) / rounded_nodes;
        if gateways > NODE_COUNT_STEP && one_share < MIN_SHARE {
            COUNTED_FRACTION_SMALL_QUOTA
        } else {
            COUNTED_FRACTION
        }
    }

    /// Requests in any window that all shares of a quota admit together.
    pub fn total_shares(&self, rate: f64, burst: f64, gateways: u32) -> f64 {
        self.shares_beside(self.counted_fraction(rate, burst, gateways), rate, burst)
    }
}

/// One tenant's share at this data node.
#[derive(Clone, Debug)]
pub struct LocalShare {
    started_at: f64,
    /// When requests were admitted within the last window, oldest first; no longer than the share.
    admitted_at: VecDeque<f64>,
}

impl LocalShare {
    /// The share of a data node that started at `started_at` (seconds, steady clock).
    pub fn new(started_at: f64) -> LocalShare {
        LocalShare { started_at, admitted_at: VecDeque::new() }
    }

    /// Admits one request if the share of a node of this `rank` has room.
    pub fn try_admit(&mut self, now: f64, bound: &QuotaBound, rate: f64, burst: f64, rank: NodeRank) -> bool {
        if rank.nodes == 0 || now < self.started_at + bound.window {
            return false;
        }
        while self.admitted_at.front().is_some_and(|at| *at + bound.window <= now) {
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
