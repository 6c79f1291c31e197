//! Compression of texts, either alone or against a base that the receiver already has, so that the size of a patch
//! follows the size of the change.
//!
//! Format: the length of the text in bytes (four bytes, little-endian), then one zstd frame with the base as
//! dictionary. Invariant: [`decompress`] returns the complete text or an error, and never more than its limit.

use std::{fmt, io};
use zstd::bulk::{Compressor, Decompressor};

/// The zstd level. It is low because processor time is scarce, although a text is compressed once and read by many.
const COMPRESSION_LEVEL: i32 = 3;

/// The largest text, in bytes. Bounds the memory that a damaged or hostile patch can claim.
const MAX_TEXT_BYTES: u32 = 64 << 20;

/// The number of length bytes before the zstd frame.
const LENGTH_BYTES: usize = 4;

/// Why a text could not be compressed or a patch not be decompressed. The functions return it inside an [`io::Error`];
/// errors of zstd are returned as they are.
///
/// The texts of errors are part of the operators' interface: scripts compare them, so they stay the same and keep older words.
/// The control plane sends them in responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PatchError {
    /// The text is longer than the limit of 64 MiB.
    TextTooLong {
        /// Its length in bytes.
        length: usize,
    },
    /// The patch ends within its length prefix.
    Truncated {
        /// Its length in bytes.
        length: usize,
    },
    /// The patch states a length above the limit.
    LengthAboveLimit {
        /// The stated length in bytes.
        length: u32,
    },
    /// The text in the patch has another length than the patch states.
    LengthMismatch {
        /// The stated length in bytes.
        expected: u32,
        /// The actual length of the text in bytes.
        actual: usize,
    },
}

impl fmt::Display for PatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PatchError::TextTooLong { .. } => "a text too long",
            PatchError::Truncated { .. }
            | PatchError::LengthAboveLimit { .. }
            | PatchError::LengthMismatch { .. } => "a packed text that is damaged",
        })
    }
}

impl std::error::Error for PatchError {}

impl From<PatchError> for io::Error {
    fn from(error: PatchError) -> io::Error {
        let kind = match error {
            PatchError::TextTooLong { .. } => io::ErrorKind::Other,
            _ => io::ErrorKind::InvalidData,
        };
        io::Error::new(kind, error)
    }
}

/// Compresses `text` against `base`; an empty base compresses it alone.
///
/// # Errors
/// [`PatchError::TextTooLong`], or an error of zstd.
pub fn compress(text: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let length = u32::try_from(text.len())
        .ok()
        .filter(|length| *length <= MAX_TEXT_BYTES)
        .ok_or(PatchError::TextTooLong { length: text.len() })?;
    let mut patch = length.to_le_bytes().to_vec();
    patch.extend(Compressor::with_dictionary(COMPRESSION_LEVEL, base)?.compress(text)?);
    Ok(patch)
}

/// Returns the text that was compressed against `base`. With a different base the result is an error or a different
/// text, so callers compare versions first.
///
/// # Errors
/// [`io::ErrorKind::InvalidData`] with a [`PatchError`] inside, or an error of zstd.
pub fn decompress(patch: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let (length, frame) =
        patch.split_first_chunk::<LENGTH_BYTES>().ok_or(PatchError::Truncated { length: patch.len() })?;
    let length = u32::from_le_bytes(*length);
    if length > MAX_TEXT_BYTES {
        return Err(PatchError::LengthAboveLimit { length }.into());
    }
    let text = Decompressor::with_dictionary(base)?.decompress(frame, length as usize)?;
    if text.len() != length as usize {
        return Err(PatchError::LengthMismatch { expected: length, actual: text.len() }.into());
    }
    Ok(text)
}
