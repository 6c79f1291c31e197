//! The codec for [`Message`]s on a byte stream: postcard in frames with a length prefix of four bytes, big-endian.

use crate::Message;
use bytes::{Bytes, BytesMut};
use std::{fmt, io};
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// The largest frame that is sent or accepted, in bytes. Bounds the memory that one connection can claim. The largest
/// messages are configurations and lists of hosts, which are sent compressed.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// Why a message could not be encoded or decoded. The [`MessageCodec`] returns it inside an [`io::Error`], as `Framed`
/// requires.
#[derive(Debug)]
pub enum CodecError {
    /// The message could not be serialized.
    Encode(postcard::Error),
    /// A complete frame does not contain a valid value of the expected type.
    Decode(postcard::Error),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::Encode(error) => write!(f, "message cannot be encoded: {error}"),
            CodecError::Decode(error) => write!(f, "message cannot be decoded: {error}"),
        }
    }
}

impl std::error::Error for CodecError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            CodecError::Encode(error) | CodecError::Decode(error) => Some(error),
        }
    }
}

impl From<CodecError> for io::Error {
    fn from(error: CodecError) -> io::Error {
        let kind = match &error {
            CodecError::Encode(_) => io::ErrorKind::Other,
            CodecError::Decode(_) => io::ErrorKind::InvalidData,
        };
        io::Error::new(kind, error)
    }
}

/// Encodes and decodes [`Message`]s in length-delimited frames of at most 8 MiB.
///
/// # Errors
/// Decoding fails with [`io::ErrorKind::InvalidData`] for a frame that is too long or contains no valid message (then with
/// a [`CodecError`] inside). The stream cannot be used after that: the caller closes the connection.
pub struct MessageCodec(LengthDelimitedCodec);

impl Default for MessageCodec {
    fn default() -> MessageCodec {
        MessageCodec(LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec())
    }
}

impl Decoder for MessageCodec {
    type Item = Message;
    type Error = io::Error;

    fn decode(&mut self, source: &mut BytesMut) -> io::Result<Option<Message>> {
        let Some(frame) = self.0.decode(source)? else { return Ok(None) };
        let message = postcard::from_bytes(&frame).map_err(CodecError::Decode)?;
        Ok(Some(message))
    }
}

impl Encoder<&Message> for MessageCodec {
    type Error = io::Error;

    fn encode(&mut self, message: &Message, destination: &mut BytesMut) -> io::Result<()> {
        let bytes = postcard::to_stdvec(message).map_err(CodecError::Encode)?;
        self.0.encode(Bytes::from(bytes), destination)
    }
}
