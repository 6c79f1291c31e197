//! State transfer: an acceptor that lacks its state copies that of a majority of the other voters.
//!
//! A reply counts whenever it arrives. It was sent after [`LOST_DISK_SILENCE`], when every proposal that
//! counted a reply from before the loss had timed out. Since then its sender has only made further promises
//! and accepted further values, in majorities without this acceptor. Any such majority and the next one that
//! includes this acceptor have another voter in common.

use archlink_messages::{AcceptorState, NodeId, Register, VoterSet};
use std::collections::BTreeMap;

/// Seconds from the loss of the disk to the first request: longer than any proposal lives
/// (`proposer::INTERNAL_PROPOSAL_TIMEOUT`) by clocks whose rates differ by a quarter, including delayed
/// replies to its first phase. An acceptor that forgot a promise thus returns only after the promised
/// proposal has ended, and can't be counted twice.
const LOST_DISK_SILENCE: f64 = 2.5;
/// Seconds until the second request to a voter, doubled for each further one. Two message delays and two slow
/// syncs fit in, and a large configuration is not sent again while it is still arriving over a narrow link.
const TRANSFER_RETRY: f64 = 0.75;
/// The longest wait before a retry, in seconds. It bounds the time lost after a partition on links that did
/// not reconnect.
const TRANSFER_RETRY_MAX: f64 = 4.0;

/// Whether an acceptor has its state.
#[derive(Clone, Debug)]
pub(super) enum RecoveryState {
    /// Everything that it ever promised and accepted is on its disk.
    Recovered,
    /// It is becoming a voter: its promises are on its disk, but not what the present voters have accepted.
    Joining(StateTransfer),
    /// Its disk was lost, and its promises with it.
    LostDisk(StateTransfer),
}

impl RecoveryState {
    /// Returns the transfer in progress, if any.
    pub fn transfer_mut(&mut self) -> Option<&mut StateTransfer> {
        match self {
            RecoveryState::Recovered => None,
            RecoveryState::Joining(transfer) | RecoveryState::LostDisk(transfer) => Some(transfer),
        }
    }
}

/// The last request to one voter.
#[derive(Clone, Copy, Debug)]
struct RequestTimer {
    sent_at: f64,
    retry_after: f64,
}

/// The progress of one state transfer.
#[derive(Clone, Debug)]
pub(super) struct StateTransfer {
    since: f64,
    requests: BTreeMap<NodeId, RequestTimer>,
    received: BTreeMap<NodeId, Vec<(Register, AcceptorState)>>,
}

impl StateTransfer {
    /// Creates a transfer that has sent no request yet, after a lost disk or the start of a join at `since`.
    pub fn starting_at(since: f64) -> StateTransfer {
        StateTransfer { since, requests: BTreeMap::new(), received: BTreeMap::new() }
    }

    /// Returns the same transfer from the start, without a second silence.
    pub fn restarted(&self) -> StateTransfer {
        StateTransfer::starting_at(self.since)
    }

    /// Returns whether a request was sent to `node`.
    pub fn has_requested(&self, node: NodeId) -> bool {
        self.requests.contains_key(&node)
    }

    /// Makes the next request to `node` due at once, since the last one or its reply may be lost.
    pub fn link_reset(&mut self, node: NodeId) {
        if let Some(request) = self.requests.get_mut(&node) {
            request.sent_at = f64::NEG_INFINITY;
        }
    }

    /// Returns the voters to which a request is due, and records the requests as sent.
    pub fn due_requests(&mut self, now: f64, own_id: NodeId, sources: &VoterSet) -> Vec<NodeId> {
        if now < self.since + LOST_DISK_SILENCE {
            return Vec::new();
        }
        let mut due = Vec::new();
        for node in sources.all_voters() {
            let unsent = RequestTimer { sent_at: f64::NEG_INFINITY, retry_after: TRANSFER_RETRY };
            let last = self.requests.get(&node).copied().unwrap_or(unsent);
            if node == own_id || self.received.contains_key(&node) || now < last.sent_at + last.retry_after {
                continue;
            }
            let is_retry = last.sent_at.is_finite();
            let retry_after =
                if is_retry { (2.0 * last.retry_after).min(TRANSFER_RETRY_MAX) } else { last.retry_after };
            self.requests.insert(node, RequestTimer { sent_at: now, retry_after });
            due.push(node);
        }
        due
    }

    /// Records a reply. Once a majority of the sources has replied, returns everything that they sent. Of
    /// whatever this acceptor had promised or accepted, one of them has all that counts, and none of them
    /// votes in an earlier epoch any more.
    pub fn receive(
        &mut self,
        from: NodeId,
        registers: &[(Register, AcceptorState)],
        sources: &VoterSet,
    ) -> Option<Vec<(Register, AcceptorState)>> {
        self.received.insert(from, registers.to_vec());
        if !sources.has_quorum(|node| self.received.contains_key(&node)) {
            return None;
        }
        Some(std::mem::take(&mut self.received).into_values().flatten().collect())
    }
}

/// Returns the voters whose state is transferred: the current ones, without the incoming ones. A majority of
/// them is enough, also for an incoming voter: whatever is chosen in a joint epoch was promised and accepted
/// by a majority of the current voters too.
pub(super) fn sources(voter_set: &VoterSet) -> VoterSet {
    VoterSet { incoming: Vec::new(), ..voter_set.clone() }
}
