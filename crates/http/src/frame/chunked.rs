//! The chunked transfer coding (RFC 9112, section 7.1). Chunk extensions and trailers are read and dropped.

use crate::error::ProtocolError;
use bytes::{Buf, BytesMut};
use httparse::Status;

/// Limit of a chunk's size line, and of a line of the trailer, in bytes: extensions are rare and nobody here reads them.
const MAX_LINE: usize = 1024;

#[derive(Debug, Default)]
enum ChunkState {
    /// Before the line with a chunk's size.
    #[default]
    Size,
    /// Within a chunk, with so many bytes left.
    Data(u64),
    /// Before the CRLF behind a chunk.
    End,
    /// Behind the last chunk.
    Trailer,
}

/// Decodes a chunked body as its bytes arrive.
#[derive(Debug, Default)]
pub struct ChunkedDecoder(ChunkState);

impl ChunkedDecoder {
    /// Moves data that has arrived from `from` to `to`; true once the trailer has ended.
    ///
    /// # Errors
    ///
    /// [`ProtocolError::ChunkSize`], [`ProtocolError::ChunkEnd`] or [`ProtocolError::Trailer`].
    pub fn feed(&mut self, from: &mut BytesMut, to: &mut BytesMut) -> Result<bool, ProtocolError> {
        loop {
            let advanced = match self.0 {
                ChunkState::Size => self.read_size(from)?,
                ChunkState::Data(left) => self.read_data(left, from, to),
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

    // Each step is true if it got to the next state, false if more bytes are needed.

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

    fn read_data(&mut self, left: u64, from: &mut BytesMut, to: &mut BytesMut) -> bool {
        if left == 0 {
            self.0 = ChunkState::End;
            return true;
        }
        if from.is_empty() {
            return false;
        }
        let taken = from.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        to.extend_from_slice(&from.split_to(taken));
        self.0 = ChunkState::Data(left - taken as u64);
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
        Some(at) => {
            let is_last = from[..at].trim_ascii().is_empty();
            from.advance(at + 1);
            Ok(Some(if is_last { TrailerLine::Last } else { TrailerLine::Field }))
        }
        None if from.len() < MAX_LINE => Ok(None),
        None => Err(ProtocolError::Trailer),
    }
}
