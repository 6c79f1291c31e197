//! The simulated network: latency, loss, duplication, partitions and stalls.

use super::Fleet;
use super::event_queue::Event;
use archlink_control_node::node::ControlNodeState;
use archlink_messages::{Message, NodeId};

/// Maximum number of messages waiting on a stalled link; further ones are lost.
const STALLED_LINK_CAPACITY: usize = 256;
/// Seconds between two attempts to open a link, as in the deployed program.
const RECONNECT_INTERVAL: f64 = 0.25;

/// Latency and faults of every link.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    /// Minimum latency of a message, in seconds.
    pub min_latency: f64,
    /// Maximum additional latency, in seconds, drawn uniformly for each message.
    pub jitter: f64,
    /// Fraction of messages that are lost, from 0 to 1.
    pub lost: f64,
    /// Fraction of messages that are delivered twice, from 0 to 1.
    pub duplicated: f64,
    /// Fraction of messages that are delayed, from 0 to 1.
    pub delayed: f64,
    /// Maximum delay of a delayed message, in seconds.
    pub max_delay: f64,
}

impl Default for Net {
    fn default() -> Net {
        Net { min_latency: 0.002, jitter: 0.02, lost: 0.0, duplicated: 0.0, delayed: 0.0, max_delay: 0.0 }
    }
}

/// A link whose messages wait and then arrive all at once.
pub(super) struct StalledLink {
    until: f64,
    waiting: usize,
}

impl Fleet {
    /// Partitions one direction of a link until [`Fleet::heal`].
    pub fn cut(&mut self, from: NodeId, to: NodeId) {
        self.cut_for(from, to, f64::INFINITY);
    }

    /// Partitions one direction of a link for `seconds`.
    pub fn cut_for(&mut self, from: NodeId, to: NodeId, seconds: f64) {
        self.trace(|_| format!("partition {from} -> {to} for {seconds:.3} s"));
        let until = self.now + seconds;
        let partitioned_until = self.partitioned_until.entry((from, to)).or_insert(until);
        *partitioned_until = partitioned_until.max(until);
    }

    /// Stalls one direction of a link for `seconds`: messages wait and then arrive together, as on a stalled connection.
    pub fn stall_link(&mut self, from: NodeId, to: NodeId, seconds: f64) {
        self.trace(|_| format!("link {from} -> {to} stalls for {seconds:.3} s"));
        let until = self.now + seconds;
        self.resume_times.push(until);
        self.stalled_links.insert((from, to), StalledLink { until, waiting: 0 });
    }

    /// Ends all partitions, stalls, pauses and disk hangs, and the loss, duplication and delay of messages.
    pub fn heal(&mut self) {
        self.trace(|_| "all faults end".into());
        let resume_times = std::mem::take(&mut self.resume_times);
        self.paused_until.clear();
        self.stalled_links.clear();
        self.partitioned_until.clear();
        self.events.resume(self.now, &resume_times);
        self.disks.values_mut().for_each(|disk| disk.hangs_until = 0.0);
        self.net = Net { lost: 0.0, duplicated: 0.0, delayed: 0.0, ..self.net };
    }

    fn is_partitioned(&self, from: NodeId, to: NodeId) -> bool {
        self.partitioned_until.get(&(from, to)).is_some_and(|until| self.now < *until)
    }

    /// Opens a link and sends the hello as its first message. While the link is partitioned, the attempt is repeated.
    pub(super) fn connect(&mut self, from: NodeId, to: NodeId) {
        if self.is_partitioned(from, to) {
            let incarnations = (self.incarnations[&from], self.incarnations[&to]);
            let retry_at = self.now + RECONNECT_INTERVAL;
            return self.events.push(retry_at, Event::Connect { from, to, incarnations });
        }
        if let Some(hello) = self.live.get(&from).map(ControlNodeState::peer_hello) {
            self.transmit(from, to, hello);
        }
    }

    pub(super) fn send(&mut self, from: NodeId, to: NodeId, message: Message) {
        if self.is_partitioned(from, to) {
            return;
        }
        let net = self.net;
        if net.lost > 0.0 && self.rng.rand_float() < net.lost {
            return;
        }
        let is_duplicated = net.duplicated > 0.0 && self.rng.rand_float() < net.duplicated;
        if is_duplicated {
            self.transmit(from, to, message.clone());
        }
        self.transmit(from, to, message);
    }

    /// Schedules the delivery of a message that the network accepted.
    fn transmit(&mut self, from: NodeId, to: NodeId, message: Message) {
        let net = self.net;
        let mut at = self.now + net.min_latency + net.jitter * self.rng.rand_float();
        if net.delayed > 0.0 && self.rng.rand_float() < net.delayed {
            at += net.max_delay * self.rng.rand_float();
        }
        let now = self.now;
        if let Some(link) = self.stalled_links.get_mut(&(from, to)).filter(|link| link.until > now) {
            link.waiting += 1;
            if link.waiting > STALLED_LINK_CAPACITY {
                return;
            }
            at = at.max(link.until);
        }
        self.events.push(at, Event::Deliver { from, to, message });
    }
}
