//! Compressed texts: alone, or against a base that the receiver already has, so that the size of a patch follows the size of
//! the change.
//!
//! Format: the length of the text in bytes (four bytes, little-endian), then one zstd frame with the base as dictionary.
//! Invariant: [`decompress`] gives back the complete text or an error, and never more than its limit.

use std::{fmt, io};
use zstd::bulk::{Compressor, Decompressor};

/// The zstd level. A low one: a text is compressed once and read by many, but processor time is scarce.
const COMPRESSION_LEVEL: i32 = 3;

/// The longest text, in bytes. Bounds the memory that a damaged or hostile patch can claim.
const MAX_TEXT_BYTES: u32 = 64 << 20;

/// Bytes of the length before the zstd frame.
const LENGTH_BYTES: usize = 4;

/// Why a text could not be compressed or a patch not be decompressed. The functions return it inside an [`io::Error`], beside
/// the errors of zstd. Operators see these texts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PatchError {
    /// The text is longer than the limit of 64 MiB.
    TextTooLong {
        /// Its length in bytes.
        length: usize,
    },
    /// The patch ends within its head.
    Truncated {
        /// Its length in bytes.
        length: usize,
    },
    /// The patch names a length above the limit.
    LengthAboveLimit {
        /// The length that it names, in bytes.
        length: u32,
    },
    /// The patch contains a text of another length than it names.
    LengthMismatch {
        /// The length that it names, in bytes.
        expected: u32,
        /// The length of the text in it, in bytes.
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

/// Compresses `text` against `base`; an empty base is none.
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

/// The text that was compressed against `base`. With another base the result is an error or another text: callers compare
/// versions first.
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
