//! Writes the admission module's actions as actions of the simulator's protocol.

use crate::reader::MICROSECONDS_PER_SECOND;
use crate::writer::{Reply, code};
use archlink_admission::interface::{Driver, HostId};

/// Longest duration that is written, in microseconds; it has to fit into 32 bits.
const MAX_MICROSECONDS: f64 = 4.2e9;

/// Writes the actions of one instance to the reply.
pub struct InstanceDriver<'a> {
    /// Number of the instance.
    pub instance: u16,
    /// Current time on the simulator's clock, in seconds.
    pub now: f64,
    /// The reply that receives the actions.
    pub reply: &'a mut Reply,
}

fn microseconds(seconds: f64) -> u32 {
    (seconds * MICROSECONDS_PER_SECOND).round().clamp(0.0, MAX_MICROSECONDS) as u32
}

impl Driver for InstanceDriver<'_> {
    fn start_attempt(&mut self, request: u32, host: HostId, until: f64) {
        let until = if until > 0.0 { (until * MICROSECONDS_PER_SECOND).round() as u64 } else { 0 };
        self.reply.action(code::START_ATTEMPT, self.instance).u32(request).host(host).u64(until);
    }

    fn cancel_attempt(&mut self, request: u32, attempt: u16) {
        self.reply.action(code::CANCEL_ATTEMPT, self.instance).u32(request).u16(attempt);
    }

    fn reject(&mut self, request: u32, retry_after: f64) {
        self.reply.action(code::REJECT, self.instance).u32(request).u32(microseconds(retry_after));
    }

    fn abort(&mut self, request: u32) {
        self.reply.action(code::ABORT, self.instance).u32(request);
    }

    fn probe(&mut self, host: HostId) {
        self.reply.action(code::PROBE, self.instance).host(host);
    }

    fn add_to_counter(&mut self, key: u64, amount: f64, lifetime: f64) {
        let action = self.reply.action(code::ADD_TO_COUNTER, self.instance);
        action.f32(amount as f32).u32(microseconds(lifetime)).u64(key);
    }

    fn send_to_peers(&mut self, gateway: Option<u32>, payload: &[u8]) {
        let gateway = gateway.unwrap_or(u32::MAX);
        self.reply.action(code::SEND_TO_PEERS, self.instance).u32(gateway).bytes(payload);
    }

    fn subscribe(&mut self) {
        self.reply.action(code::SUBSCRIBE, self.instance).u8(1);
    }

    fn set_timer(&mut self, after: f64) {
        let timer_id = (self.now * MICROSECONDS_PER_SECOND) as u64;
        self.reply.action(code::SET_TIMER, self.instance).u32(microseconds(after).max(1)).u64(timer_id);
    }

    fn log(&mut self, line: &str) {
        self.reply.action(code::LOG, self.instance).bytes(line.as_bytes());
    }
}
