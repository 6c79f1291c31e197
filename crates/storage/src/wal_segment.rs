//! A reader for the files of `okaywal` 0.3, whose own reader is not used: it writes to the files that it reads, rejects a
//! file with a torn tail, and follows a torn length to fill gigabytes with zeros.
//!
//! A file begins with a magic, a length byte and as many bytes of user data. An entry is a mark with the entry's id, chunks,
//! and an end mark; a chunk is a mark, a length, the bytes and a CRC-32C. Numbers are little-endian.

const FILE_MAGIC: &[u8; 4] = b"okw\0";
const ENTRY_MARK: u8 = 1;
const CHUNK_MARK: u8 = 2;
const END_OF_ENTRY_MARK: u8 = 3;

/// Bytes of an entry's mark and id.
const ENTRY_HEAD_BYTES: usize = 1 + 8;
/// Bytes of a chunk's mark and length.
const CHUNK_HEAD_BYTES: usize = 1 + 4;
/// Bytes of a chunk's checksum.
const CHECKSUM_BYTES: usize = 4;

/// What a file contains.
pub struct Segment<'a> {
    /// The complete entries in their order. The storage writes entries of one chunk each.
    pub entries: Vec<&'a [u8]>,
    /// The offset at which the last complete entry ends.
    pub end: usize,
    /// Whether an incomplete chunk follows.
    pub is_torn: bool,
}

/// Reads as far as complete entries follow each other. Entries with an id below that of the file's first entry are left over
/// from an earlier use of the file, and end the reading.
pub fn read_segment(bytes: &[u8], first_entry_id: u64) -> Segment<'_> {
    let mut segment = Segment { entries: Vec::new(), end: 0, is_torn: false };
    if !bytes.starts_with(FILE_MAGIC) || bytes.len() <= FILE_MAGIC.len() {
        return segment;
    }
    let mut offset = FILE_MAGIC.len() + 1 + usize::from(bytes[FILE_MAGIC.len()]);
    segment.end = offset;
    while let Some(entry_id) = entry_id_at(bytes, offset)
        && entry_id >= first_entry_id
    {
        offset += ENTRY_HEAD_BYTES;
        let mut chunks = Vec::new();
        while bytes.get(offset) == Some(&CHUNK_MARK) {
            let Some((body, chunk_end)) = chunk_at(bytes, offset) else {
                segment.is_torn = true;
                return segment;
            };
            chunks.push(body);
            offset = chunk_end;
        }
        if bytes.get(offset) == Some(&END_OF_ENTRY_MARK) {
            offset += 1;
            segment.entries.extend(chunks);
            segment.end = offset;
        }
    }
    segment
}

/// The complete chunks that begin with `magic`, anywhere in bytes that cannot be read in order.
pub fn complete_chunks<'a>(bytes: &'a [u8], magic: &'a [u8]) -> impl Iterator<Item = &'a [u8]> {
    (CHUNK_HEAD_BYTES..bytes.len())
        .filter(move |&offset| bytes[offset..].starts_with(magic))
        .filter_map(|offset| chunk_at(bytes, offset - CHUNK_HEAD_BYTES))
        .map(|(body, _)| body)
}

fn entry_id_at(bytes: &[u8], offset: usize) -> Option<u64> {
    match bytes.get(offset..)?.first_chunk::<ENTRY_HEAD_BYTES>()? {
        [ENTRY_MARK, id @ ..] => Some(u64::from_le_bytes(*id)),
        _ => None,
    }
}

/// The body of a complete chunk, and the offset behind the chunk.
fn chunk_at(bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let (head, rest) = bytes.get(offset..)?.split_first_chunk::<CHUNK_HEAD_BYTES>()?;
    let length = u32::from_le_bytes(*head.last_chunk()?) as usize;
    let (body, rest) = rest.split_at_checked(length)?;
    let checksum = u32::from_le_bytes(*rest.first_chunk()?);
    let is_complete = head[0] == CHUNK_MARK && crc32c::crc32c(body) == checksum;
    is_complete.then_some((body, offset + CHUNK_HEAD_BYTES + length + CHECKSUM_BYTES))
}
