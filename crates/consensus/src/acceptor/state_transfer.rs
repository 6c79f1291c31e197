//! How an acceptor without its state gets it back: it copies the state of a majority of the voters other than
//! itself.
//!
//! A reply counts whenever it comes. It was given after [`LOST_DISK_SILENCE`], when every proposal that
//! counted a reply from before the loss had timed out. Since then its sender has only promised and accepted
//! more, in majorities without this acceptor. Such a majority and the next one that includes this acceptor
//! intersect in another voter.

use archlink_messages::{AcceptorState, NodeId, Register, VoterSet};
use std::collections::BTreeMap;

/// Seconds from the loss of the disk to the first request: longer than any proposal lives
/// (`proposer::INTERNAL_PROPOSAL_TIMEOUT`) by clocks whose rates differ by a quarter, delayed replies to its
/// first phase included. An acceptor that forgot a promise is back only when the proposal that it made it to
/// is over, and so can't be counted twice.
const LOST_DISK_SILENCE: f64 = 2.5;
/// Seconds to a second request, doubled for each one after. Two message delays and two slow syncs fit in, and
/// a large configuration on a narrow link is not sent again while it is still arriving.
const TRANSFER_RETRY: f64 = 0.75;
/// The longest wait for a retry, in seconds. It bounds the time lost after a partition on links that are not
/// set up anew.
const TRANSFER_RETRY_MAX: f64 = 4.0;

/// Does an acceptor have its state?
#[derive(Clone, Debug)]
pub(super) enum RecoveryState {
    /// All that it ever promised and accepted is on its disk.
    Recovered,
    /// It is to become a voter: all that it promised is on its disk, but not what the present voters have
    /// accepted.
    Joining(StateTransfer),
    /// Its disk was lost, and its promises with it.
    LostDisk(StateTransfer),
}

impl RecoveryState {
    /// The transfer in progress.
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
    /// A transfer of which nothing was requested yet, after a loss or a joining at `since`.
    pub fn starting_at(since: f64) -> StateTransfer {
        StateTransfer { since, requests: BTreeMap::new(), received: BTreeMap::new() }
    }

    /// The same transfer from the start, without a second silence.
    pub fn restarted(&self) -> StateTransfer {
        StateTransfer::starting_at(self.since)
    }

    /// Was a request sent to that node?
    pub fn has_requested(&self, node: NodeId) -> bool {
        self.requests.contains_key(&node)
    }

    /// A request to that node, or the reply, may be lost: the next one is due at once.
    pub fn link_reset(&mut self, node: NodeId) {
        if let Some(request) = self.requests.get_mut(&node) {
            request.sent_at = f64::NEG_INFINITY;
        }
    }

    /// The voters to send a request to now; notes that it was sent.
    pub fn due_requests(&mut self, now: f64, me: NodeId, sources: &VoterSet) -> Vec<NodeId> {
        if now < self.since + LOST_DISK_SILENCE {
            return Vec::new();
        }
        let mut due = Vec::new();
        for node in sources.all_voters() {
            let never = RequestTimer { sent_at: f64::NEG_INFINITY, retry_after: TRANSFER_RETRY };
            let last = self.requests.get(&node).copied().unwrap_or(never);
            if node == me || self.received.contains_key(&node) || now < last.sent_at + last.retry_after {
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

    /// Takes a reply. Once a majority of the sources has replied, returns all that they sent: whatever this
    /// acceptor had promised or accepted that counts, one of these has; and none of them votes in an earlier
    /// epoch any more.
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

/// Whose state is to be read: that of a majority of the voters, without the incoming ones. This is enough
/// also for a node that is one of the incoming ones: whatever is chosen in a joint epoch, a majority of the
/// voters promised and accepted too.
pub(super) fn sources(voter_set: &VoterSet) -> VoterSet {
    VoterSet { incoming: Vec::new(), ..voter_set.clone() }
}
