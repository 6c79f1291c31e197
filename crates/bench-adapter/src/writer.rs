//! Encodes actions in the simulator's binary format.

use archlink_admission::interface::HostId;

/// Size of a reply's header, in bytes.
const REPLY_HEADER_BYTES: usize = 12;
/// Size of an action, in bytes.
const ACTION_BYTES: usize = 24;

/// Codes of actions.
pub mod code {
    /// Sends a request to a host.
    pub const START_ATTEMPT: u8 = 0;
    /// Answers that the request did not run.
    pub const REJECT: u8 = 1;
    /// Answers that the request failed and may have run.
    pub const ABORT: u8 = 2;
    /// Cancels an attempt.
    pub const CANCEL_ATTEMPT: u8 = 3;
    /// Sets the instance's timer.
    pub const SET_TIMER: u8 = 4;
    /// Probes a host.
    pub const PROBE: u8 = 5;
    /// Sends bytes to other gateways.
    pub const SEND_TO_PEERS: u8 = 7;
    /// Writes a line to the log.
    pub const LOG: u8 = 8;
    /// Reports that the instance panicked, with the panic message.
    pub const PANIC: u8 = 9;
    /// Subscribes to host lists.
    pub const SUBSCRIBE: u8 = 10;
    /// Adds to a counter key.
    pub const ADD_TO_COUNTER: u8 = 12;
}

/// The reply to one batch: fixed-size actions, and the payload bytes that they refer to.
#[derive(Default)]
pub struct Reply {
    actions: Vec<u8>,
    payload: Vec<u8>,
    count: u32,
}

/// An action that is being written. Its fields follow each other without padding, and its remaining bytes are 0.
pub struct Action<'a> {
    reply: &'a mut Reply,
    /// Offset in the actions at which the next field is written.
    offset: usize,
}

impl Reply {
    /// Appends an action of an instance; its fields are written through the returned value.
    pub fn action(&mut self, code: u8, instance: u16) -> Action<'_> {
        let offset = self.actions.len();
        self.actions.resize(offset + ACTION_BYTES, 0);
        self.count += 1;
        Action { reply: self, offset }.u8(code).u16(instance)
    }

    /// Encodes the reply: a header with action count, length and batch number, the actions and the payload.
    pub fn into_bytes(self, batch: u32) -> Vec<u8> {
        let length = (self.actions.len() + self.payload.len()) as u32;
        let mut bytes = Vec::with_capacity(REPLY_HEADER_BYTES + length as usize);
        for header_field in [self.count, length, batch] {
            bytes.extend(header_field.to_le_bytes());
        }
        bytes.extend(self.actions);
        bytes.extend(self.payload);
        bytes
    }
}

impl Action<'_> {
    fn put(mut self, bytes: &[u8]) -> Self {
        self.reply.actions[self.offset..self.offset + bytes.len()].copy_from_slice(bytes);
        self.offset += bytes.len();
        self
    }

    /// Writes one byte.
    pub fn u8(self, value: u8) -> Self {
        self.put(&[value])
    }

    /// Writes two bytes, little-endian.
    pub fn u16(self, value: u16) -> Self {
        self.put(&value.to_le_bytes())
    }

    /// Writes four bytes, little-endian.
    pub fn u32(self, value: u32) -> Self {
        self.put(&value.to_le_bytes())
    }

    /// Writes eight bytes, little-endian.
    pub fn u64(self, value: u64) -> Self {
        self.put(&value.to_le_bytes())
    }

    /// Writes four bytes, IEEE 754, little-endian.
    pub fn f32(self, value: f32) -> Self {
        self.put(&value.to_le_bytes())
    }

    /// Writes a host as six bytes, little-endian.
    pub fn host(self, host: HostId) -> Self {
        self.put(&host.to_le_bytes()[..6])
    }

    /// Appends bytes to the payload and writes their offset and length as two fields of the action.
    pub fn bytes(self, bytes: &[u8]) -> Self {
        let start = self.reply.payload.len() as u32;
        self.reply.payload.extend(bytes);
        self.u32(start).u32(bytes.len() as u32)
    }
}
