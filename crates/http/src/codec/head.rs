//! Message heads: their limits, and whether one is complete.

use httparse::Status;

/// Limit of a head in bytes, in line with common servers.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Limit of header lines in a head, in line with common servers.
pub(super) const MAX_HEADERS: usize = 64;

/// Why a head is rejected.
pub(super) enum HeadError {
    TooLarge,
    Malformed,
}

/// Length of the head in bytes once it is complete. `parsed` is the parser's result for `buffered` bytes.
pub(super) fn head_length(
    parsed: httparse::Result<usize>,
    buffered: usize,
) -> Result<Option<usize>, HeadError> {
    match parsed {
        Ok(Status::Complete(length)) if length <= MAX_HEAD_BYTES => Ok(Some(length)),
        Ok(Status::Partial) if buffered < MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Err(_) => Err(HeadError::Malformed),
    }
}

/// Whether a line ends with LF alone, on which parsers disagree: it ends the line for some of them only.
pub(super) fn has_bare_line_feed(head: &[u8]) -> bool {
    let is_bare = |at: usize| at == 0 || head[at - 1] != b'\r';
    head.iter().enumerate().any(|(at, &byte)| byte == b'\n' && is_bare(at))
}
