//! Actions as the simulator reads them.

use archlink_admission::interface::HostId;

/// Bytes of an action.
const ACTION: usize = 24;

/// Codes of actions.
pub mod code {
    /// Send a request to a host.
    pub const START_ATTEMPT: u8 = 0;
    /// Answer that nothing ran.
    pub const REJECT: u8 = 1;
    /// Answer that it may have run.
    pub const ABORT: u8 = 2;
    /// Cancel an attempt.
    pub const CANCEL_ATTEMPT: u8 = 3;
    /// Set the instance's timer.
    pub const SET_TIMER: u8 = 4;
    /// Probe a host.
    pub const PROBE: u8 = 5;
    /// Bytes for other gateways.
    pub const SEND_TO_PEERS: u8 = 7;
    /// A line for the log.
    pub const LOG: u8 = 8;
    /// The instance panicked; the text says why.
    pub const PANIC: u8 = 9;
    /// Subscribe to host lists.
    pub const SUBSCRIBE: u8 = 10;
    /// Add to a counter key.
    pub const ADD_TO_COUNTER: u8 = 12;
}

/// The answer to one batch.
#[derive(Default)]
pub struct Reply {
    actions: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

/// One action being written: fields follow each other; the rest of its bytes is 0.
pub struct Action<'a> {
    reply: &'a mut Reply,
    at: usize,
}

impl Reply {
    /// Begins an action of an instance.
    pub fn action(&mut self, code: u8, instance: u16) -> Action<'_> {
        let at = self.actions.len();
        self.actions.resize(at + ACTION, 0);
        self.count += 1;
        Action { reply: self, at }.u8(code).u16(instance)
    }

    /// The bytes of the answer.
    pub fn into_bytes(self, batch: u32) -> Vec<u8> {
        let length = (self.actions.len() + self.tail.len()) as u32;
        let mut bytes = Vec::with_capacity(12 + length as usize);
        for part in [self.count, length, batch] {
            bytes.extend(part.to_le_bytes());
        }
        bytes.extend(self.actions);
        bytes.extend(self.tail);
        bytes
    }
}

impl Action<'_> {
    fn put(mut self, bytes: &[u8]) -> Self {
        self.reply.actions[self.at..self.at + bytes.len()].copy_from_slice(bytes);
        self.at += bytes.len();
        self
    }

    /// One byte.
    pub fn u8(self, value: u8) -> Self {
        self.put(&[value])
    }

    /// Two bytes, little-endian.
    pub fn u16(self, value: u16) -> Self {
        self.put(&value.to_le_bytes())
    }

    /// Four bytes, little-endian.
    pub fn u32(self, value: u32) -> Self {
        self.put(&value.to_le_bytes())
    }

    /// Eight bytes, little-endian.
    pub fn u64(self, value: u64) -> Self {
        self.put(&value.to_le_bytes())
    }

    /// Four bytes, IEEE 754, little-endian.
    pub fn f32(self, value: f32) -> Self {
        self.put(&value.to_le_bytes())
    }

    /// A host, six bytes wide.
    pub fn host(self, host: HostId) -> Self {
        self.put(&host.to_le_bytes()[..6])
    }

    /// Bytes behind the actions, named by place and length.
    pub fn bytes(self, bytes: &[u8]) -> Self {
        let from = self.reply.tail.len() as u32;
        self.reply.tail.extend(bytes);
        self.u32(from).u32(bytes.len() as u32)
    }
}
