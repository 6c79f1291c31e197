//! The chunked transfer coding (RFC 9112, section 7.1). Chunk extensions and trailer fields are parsed and discarded.

use crate::error::ProtocolError;
use bytes::{Buf, BytesMut};
use httparse::Status;

/// Limit in bytes of a chunk's size line and of a line of the trailer section: extensions are rare, and
/// nothing here uses them.
const MAX_LINE: usize = 1024;

#[derive(Debug, Default)]
enum ChunkState {
    /// Expects the line with a chunk's size.
    #[default]
    Size,
    /// Within a chunk's data, with this many bytes remaining.
    Data(u64),
    /// Expects the CRLF after a chunk's data.
    End,
    /// Expects trailer lines, after the last chunk.
    Trailer,
}

/// Decodes a chunked body incrementally.
#[derive(Debug, Default)]
pub struct ChunkedDecoder(ChunkState);

impl ChunkedDecoder {
    /// Moves the decoded data of the bytes in `from` to `to`; true once the trailer section has ended.
    ///
    /// # Errors
    ///
    /// [`ProtocolError::ChunkSize`], [`ProtocolError::ChunkEnd`] or [`ProtocolError::Trailer`].
    pub fn feed(&mut self, from: &mut BytesMut, to: &mut BytesMut) -> Result<bool, ProtocolError> {
        loop {
            let advanced = match self.0 {
                ChunkState::Size => self.read_size(from)?,
                ChunkState::Data(remaining) => self.read_data(remaining, from, to),
                ChunkState::End => self.read_end(from)?,
                ChunkState::Trailer => match read_trailer_line(from)? {
                    Some(TrailerLine::Field) => true,
                    Some(TrailerLine::Last) => return Ok(true),
                    None => false,
                },
            };
            if !advanced {
                return Ok(false);
            }
        }
    }

    // Each of the steps below returns whether it made progress; false if more bytes are needed.

    fn read_size(&mut self, from: &mut BytesMut) -> Result<bool, ProtocolError> {
        match httparse::parse_chunk_size(from) {
            Ok(Status::Complete((line_length, size))) => {
                from.advance(line_length);
                self.0 = if size == 0 { ChunkState::Trailer } else { ChunkState::Data(size) };
                Ok(true)
            }
            Ok(Status::Partial) if from.len() < MAX_LINE => Ok(false),
            _ => Err(ProtocolError::ChunkSize),
        }
    }

    fn read_data(&mut self, remaining: u64, from: &mut BytesMut, to: &mut BytesMut) -> bool {
        if remaining == 0 {
            self.0 = ChunkState::End;
            return true;
        }
        if from.is_empty() {
            return false;
        }
        let taken = from.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
        to.extend_from_slice(&from.split_to(taken));
        self.0 = ChunkState::Data(remaining - taken as u64);
        true
    }

    fn read_end(&mut self, from: &mut BytesMut) -> Result<bool, ProtocolError> {
        if from.len() < 2 {
            return Ok(false);
        }
        if !from.starts_with(b"\r\n") {
            return Err(ProtocolError::ChunkEnd);
        }
        from.advance(2);
        self.0 = ChunkState::Size;
        Ok(true)
    }
}

enum TrailerLine {
    Field,
    /// The empty line that ends the message.
    Last,
}

fn read_trailer_line(from: &mut BytesMut) -> Result<Option<TrailerLine>, ProtocolError> {
    match from.iter().position(|&byte| byte == b'\n') {
        Some(line_end) => {
            let is_last = from[..line_end].trim_ascii().is_empty();
            from.advance(line_end + 1);
            Ok(Some(if is_last { TrailerLine::Last } else { TrailerLine::Field }))
        }
        None if from.len() < MAX_LINE => Ok(None),
        None => Err(ProtocolError::Trailer),
    }
}
