//! Bodies up to a limit, with memory reserved for large ones: the same for requests and responses.

use crate::error::ProtocolError;
use crate::frame::{BodyLength, BodyProgress, ReservedBytes};
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::rc::Rc;

/// Bytes of a body up to which no memory is reserved for it: every connection may have so many.
pub const MAX_UNRESERVED_BODY: usize = 64 * 1024;

/// Reads the bodies of one connection.
pub(super) struct BodyReader {
    /// Limit of a body in bytes.
    limit: usize,
    /// Bytes left for large bodies, of all connections together.
    available: Rc<Cell<usize>>,
}

impl BodyReader {
    pub(super) fn new(limit: usize, available: Rc<Cell<usize>>) -> BodyReader {
        BodyReader { limit, available }
    }

    /// The body once all of it is in the read buffer `from`. `reserved` is grown as more of the body is known; `ended` is
    /// whether the connection has ended.
    pub(super) fn read(
        &self,
        body: &mut BodyLength,
        reserved: &mut Option<ReservedBytes>,
        from: &mut BytesMut,
        ended: bool,
    ) -> Result<Option<Bytes>, ProtocolError> {
        let too_large = ProtocolError::BodyTooLarge { limit: self.limit };
        let known = body.known(from);
        if known > self.limit {
            return Err(too_large);
        }
        if !self.reserve(reserved, known) {
            return Err(ProtocolError::OutOfMemory { needed: known });
        }
        match body.take(from, ended, self.limit)? {
            BodyProgress::Complete(body) => Ok(Some(body)),
            BodyProgress::Partial => Ok(None),
            BodyProgress::TooLarge => Err(too_large),
        }
    }

    /// Reserves memory for `known` bytes if that is needed; false where there is none. What was reserved before is
    /// returned first. Powers of two keep a body that grows from reserving anew at each read.
    fn reserve(&self, reserved: &mut Option<ReservedBytes>, known: usize) -> bool {
        let is_enough = reserved.as_ref().is_some_and(|reserved| reserved.bytes >= known);
        if known <= MAX_UNRESERVED_BODY || is_enough {
            return true;
        }
        *reserved = None;
        *reserved = ReservedBytes::reserve(&self.available, known.next_power_of_two());
        reserved.is_some()
    }
}
