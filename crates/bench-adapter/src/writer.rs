//! Actions as the simulator reads them.

use archlink_admission::interface::HostId;

/// Bytes of an action.
const ACTION: usize = 24;

/// Codes of actions.
pub mod code {
    pub const START_ATTEMPT: u8 = 0;
    pub const REJECT: u8 = 1;
    pub const ABORT: u8 = 2;
    pub const CANCEL_ATTEMPT: u8 = 3;
    pub const SET_TIMER: u8 = 4;
    pub const PROBE: u8 = 5;
    pub const SEND_TO_PEERS: u8 = 7;
    pub const LOG: u8 = 8;
    pub const PANIC: u8 = 9;
    pub const SUBSCRIBE: u8 = 10;
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

    pub fn u8(self, value: u8) -> Self {
        self.put(&[value])
    }

    pub fn u16(self, value: u16) -> Self {
        self.put(&value.to_le_bytes())
    }

    pub fn u32(self, value: u32) -> Self {
        self.put(&value.to_le_bytes())
    }

    pub fn u64(self, value: u64) -> Self {
        self.put(&value.to_le_bytes())
    }

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
