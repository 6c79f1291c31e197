//! Reads bodies up to a limit and reserves memory for large ones, for requests and responses alike.

use crate::error::ProtocolError;
use crate::frame::{BodyLength, BodyProgress, ReservedBytes};
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::rc::Rc;

/// Largest body in bytes for which no memory is reserved: every connection may hold one.
pub const MAX_UNRESERVED_BODY: usize = 64 * 1024;

/// Reads the bodies of one connection.
pub(super) struct BodyReader {
    /// Largest accepted body in bytes.
    limit: usize,
    /// Bytes left in the memory budget for large bodies, shared by all connections.
    available: Rc<Cell<usize>>,
}

impl BodyReader {
    pub(super) fn new(limit: usize, available: Rc<Cell<usize>>) -> BodyReader {
        BodyReader { limit, available }
    }

    /// The body, once all of it is in the read buffer `from`. Grows `reserved` as more of the body's length is known;
    /// `at_eof` is whether the peer has closed the connection.
    pub(super) fn read(
        &self,
        body: &mut BodyLength,
        reserved: &mut Option<ReservedBytes>,
        from: &mut BytesMut,
        at_eof: bool,
    ) -> Result<Option<Bytes>, ProtocolError> {
        let too_large = ProtocolError::BodyTooLarge { limit: self.limit };
        let known_length = body.known(from);
        if known_length > self.limit {
            return Err(too_large);
        }
        if !self.reserve(reserved, known_length) {
            return Err(ProtocolError::OutOfMemory { needed: known_length });
        }
        match body.take(from, at_eof, self.limit)? {
            BodyProgress::Complete(body) => Ok(Some(body)),
            BodyProgress::Partial => Ok(None),
            BodyProgress::TooLarge => Err(too_large),
        }
    }

    /// Reserves memory for `known_length` bytes if needed; false if too little is left. Releases the earlier
    /// reservation first. Sizes are powers of two, so that a growing body does not need a new reservation at each read.
    fn reserve(&self, reserved: &mut Option<ReservedBytes>, known_length: usize) -> bool {
        let is_sufficient = reserved.as_ref().is_some_and(|reserved| reserved.bytes >= known_length);
        if known_length <= MAX_UNRESERVED_BODY || is_sufficient {
            return true;
        }
        *reserved = None;
        *reserved = ReservedBytes::reserve(&self.available, known_length.next_power_of_two());
        reserved.is_some()
    }
}
