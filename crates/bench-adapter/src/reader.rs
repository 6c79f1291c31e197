//! Decodes frames and records in the simulator's binary format, checking every length.

use crate::error::WireError;
use archlink_admission::interface::{HostEntry, HostId, HostState};
use std::io::Read;

/// Size of a frame's header, in bytes.
pub const HEADER_BYTES: usize = 20;
/// Size of a record, in bytes.
const RECORD_BYTES: usize = 48;
/// Size of a host list entry, in bytes.
const HOST_ENTRY_BYTES: usize = 23;
/// Largest body of a frame, in bytes; batches have a few megabytes at most.
const MAX_FRAME_BYTES: usize = 1 << 28;
/// Microseconds per second; times in the protocol are in microseconds.
pub const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// A record that is read field by field, from its start.
pub struct Record<'a> {
    bytes: &'a [u8],
}

impl<'a> Record<'a> {
    fn take<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], WireError> {
        let (value, rest) = self.bytes.split_first_chunk::<N>().ok_or(WireError::Truncated { field })?;
        self.bytes = rest;
        Ok(*value)
    }

    /// Skips the next `count` bytes.
    pub fn skip(mut self, count: usize) -> Self {
        self.bytes = self.bytes.get(count..).unwrap_or(&[]);
        self
    }

    /// Reads one byte.
    pub fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        Ok(self.take::<1>(field)?[0])
    }

    /// Reads two bytes, little-endian.
    pub fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.take(field)?))
    }

    /// Reads four bytes, little-endian.
    pub fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.take(field)?))
    }

    /// Reads eight bytes, little-endian.
    pub fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.take(field)?))
    }

    /// Reads a finite number: four bytes, IEEE 754, little-endian.
    pub fn f32(&mut self, field: &'static str) -> Result<f32, WireError> {
        let value = f32::from_le_bytes(self.take(field)?);
        if value.is_finite() { Ok(value) } else { Err(WireError::NotFinite { field }) }
    }

    /// Reads a finite number of at least 0.
    pub fn non_negative(&mut self, field: &'static str) -> Result<f64, WireError> {
        let value = f64::from(self.f32(field)?);
        if value >= 0.0 { Ok(value) } else { Err(WireError::Negative { field }) }
    }

    /// Reads a duration in microseconds and returns it in seconds.
    pub fn seconds(&mut self, field: &'static str) -> Result<f64, WireError> {
        Ok(f64::from(self.u32(field)?) / MICROSECONDS_PER_SECOND)
    }

    /// Reads an index into a list of `count` entries.
    pub fn index(&mut self, count: usize, field: &'static str) -> Result<usize, WireError> {
        let index = usize::from(self.u16(field)?);
        if index < count { Ok(index) } else { Err(WireError::IndexOutOfRange { field, index }) }
    }

    /// Reads a host: six bytes, little-endian.
    pub fn host(&mut self, field: &'static str) -> Result<HostId, WireError> {
        let mut padded = [0; 8];
        padded[..6].copy_from_slice(&self.take::<6>(field)?);
        Ok(u64::from_le_bytes(padded))
    }
}

/// Decodes an entry of a host list.
pub fn host_entry(bytes: &[u8]) -> Result<HostEntry, WireError> {
    let mut entry = Record { bytes };
    let host = entry.host("host")?;
    let (zone, kind) = (entry.u8("zone")?, entry.u8("class-of-host")?);
    let cell = entry.u16("stripe")?;
    let state = match entry.u8("availability")? {
        0 => HostState::Removed,
        1 => HostState::Ready,
        2 => HostState::Draining,
        code => return Err(WireError::UnknownCode { field: "availability", code: code.into() }),
    };
    let size = entry.non_negative("nominal")?;
    let started = entry.u64("online-since-us")? as f64 / MICROSECONDS_PER_SECOND;
    Ok(HostEntry { host, zone, kind, cell, state, size, started })
}

/// A batch of records, followed by the payload bytes that they refer to.
pub struct Frame {
    /// The simulator's clock, in microseconds.
    pub clock: u64,
    /// Number of the batch.
    pub batch: u32,
    /// Number of records.
    pub count: usize,
    body: Vec<u8>,
}

impl Frame {
    /// Decodes a frame's header and reads its body from the input.
    pub fn read(header: &[u8], input: &mut impl Read) -> Result<Frame, WireError> {
        let mut header_fields = Record { bytes: header };
        let clock = header_fields.u64("clock")?;
        let length = header_fields.u32("length")? as usize;
        let count = header_fields.u32("record count")? as usize;
        let batch = header_fields.u32("batch number")?;
        if length > MAX_FRAME_BYTES || count > length / RECORD_BYTES {
            return Err(WireError::InvalidLength { batch, length, records: count });
        }
        let mut body = Vec::new();
        input.take(length as u64).read_to_end(&mut body)?;
        if body.len() < length {
            return Err(WireError::TruncatedFrame { batch });
        }
        Ok(Frame { clock, batch, count, body })
    }

    /// Returns the record at an index below `count`.
    pub fn record(&self, index: usize) -> Record<'_> {
        Record { bytes: &self.body[index * RECORD_BYTES..(index + 1) * RECORD_BYTES] }
    }

    /// Returns `length` payload bytes from the offset `start`.
    fn payload(&self, start: u32, length: usize, field: &'static str) -> Result<&[u8], WireError> {
        let payload = &self.body[self.count * RECORD_BYTES..];
        let start = start as usize;
        let end = start.checked_add(length);
        end.and_then(|end| payload.get(start..end)).ok_or(WireError::OutOfFrame { field })
    }

    /// Returns the payload bytes whose offset and length are the next two fields of a record.
    pub fn bytes(&self, record: &mut Record, field: &'static str) -> Result<&[u8], WireError> {
        let (start, length) = (record.u32(field)?, record.u32(field)?);
        self.payload(start, length as usize, field)
    }

    /// Returns the payload text whose offset and length are the next two fields of a record.
    pub fn text(&self, record: &mut Record, field: &'static str) -> Result<String, WireError> {
        let bytes = self.bytes(record, field)?;
        String::from_utf8(bytes.to_vec()).map_err(|_| WireError::InvalidUtf8 { field })
    }

    /// Decodes `count` entries of a host list from the payload offset `start`.
    pub fn host_entries(&self, start: u32, count: u32) -> Result<Vec<HostEntry>, WireError> {
        let bytes = self.payload(start, count as usize * HOST_ENTRY_BYTES, "nodes-list")?;
        bytes.chunks(HOST_ENTRY_BYTES).map(host_entry).collect()
    }
}
