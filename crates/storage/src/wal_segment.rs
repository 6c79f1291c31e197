//! A reader for the segment files of `okaywal` 0.3. The library's own reader is not used: it writes to the files that
//! it reads, rejects a file with a torn tail, and on a torn length allocates gigabytes of zeros.
//!
//! A segment file begins with a magic, a length byte and that many bytes of user data. An entry consists of a marker
//! with the entry's id, chunks, and an end marker. A chunk consists of a marker, a length, the bytes and their CRC-32C.
//! Integers are little-endian.

const FILE_MAGIC: &[u8; 4] = b"okw\0";
const ENTRY_MARKER: u8 = 1;
const CHUNK_MARKER: u8 = 2;
const END_OF_ENTRY_MARKER: u8 = 3;

/// Length of an entry's marker and id.
const ENTRY_HEADER_BYTES: usize = 1 + 8;
/// Length of a chunk's marker and length field.
const CHUNK_HEADER_BYTES: usize = 1 + 4;
/// Length of a chunk's checksum.
const CHECKSUM_BYTES: usize = 4;

/// The readable contents of a segment file.
pub struct Segment<'a> {
    /// The chunks of the complete entries in order. The storage writes each entry as a single chunk.
    pub entries: Vec<&'a [u8]>,
    /// The offset of the end of the last complete entry.
    pub end: usize,
    /// Whether reading ended at an incomplete chunk.
    pub is_torn: bool,
}

/// Reads the complete entries from the start of a segment file. Reading ends at an incomplete chunk, where no entry
/// begins, or at an entry with an id below that of the file's first entry, which is left over from an earlier use of
/// the file.
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
        offset += ENTRY_HEADER_BYTES;
        let mut chunks = Vec::new();
        while bytes.get(offset) == Some(&CHUNK_MARKER) {
            let Some((body, chunk_end)) = chunk_at(bytes, offset) else {
                segment.is_torn = true;
                return segment;
            };
            chunks.push(body);
            offset = chunk_end;
        }
        if bytes.get(offset) == Some(&END_OF_ENTRY_MARKER) {
            offset += 1;
            segment.entries.extend(chunks);
            segment.end = offset;
        }
    }
    segment
}

/// Finds the complete chunks that begin with `magic`, at any offset in bytes that cannot be read in order.
pub fn complete_chunks<'a>(bytes: &'a [u8], magic: &'a [u8]) -> impl Iterator<Item = &'a [u8]> {
    (CHUNK_HEADER_BYTES..bytes.len())
        .filter(move |&offset| bytes[offset..].starts_with(magic))
        .filter_map(|offset| chunk_at(bytes, offset - CHUNK_HEADER_BYTES))
        .map(|(body, _)| body)
}

/// Returns the id of the entry that begins at `offset`, or `None` if no entry begins there.
fn entry_id_at(bytes: &[u8], offset: usize) -> Option<u64> {
    match bytes.get(offset..)?.first_chunk::<ENTRY_HEADER_BYTES>()? {
        [ENTRY_MARKER, id @ ..] => Some(u64::from_le_bytes(*id)),
        _ => None,
    }
}

/// Returns the body of the chunk at `offset` and the offset after the chunk, or `None` if no complete chunk begins there.
fn chunk_at(bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let (header, rest) = bytes.get(offset..)?.split_first_chunk::<CHUNK_HEADER_BYTES>()?;
    let length = u32::from_le_bytes(*header.last_chunk()?) as usize;
    let (body, rest) = rest.split_at_checked(length)?;
    let checksum = u32::from_le_bytes(*rest.first_chunk()?);
    let is_complete = header[0] == CHUNK_MARKER && crc32c::crc32c(body) == checksum;
    is_complete.then_some((body, offset + CHUNK_HEADER_BYTES + length + CHECKSUM_BYTES))
}
