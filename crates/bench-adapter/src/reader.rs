//! Frames and records as the simulator sends them, read with every length checked.

use crate::error::WireError;
use archlink_admission::interface::{HostEntry, HostId, HostState};
use std::io::Read;

/// Bytes of a frame's header.
pub const HEADER: usize = 20;
/// Bytes of a record.
const RECORD: usize = 48;
/// Bytes of an entry of a host list.
const HOST_ENTRY: usize = 23;
/// Largest frame; batches run to megabytes at most.
const MAX_FRAME: usize = 1 << 28;
/// Microseconds in a second: times on the wire are in microseconds.
pub const MICROSECONDS: f64 = 1e6;

/// A record, read field by field.
pub struct Record<'a> {
    bytes: &'a [u8],
}

impl<'a> Record<'a> {
    fn take<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], WireError> {
        let (head, rest) = self.bytes.split_first_chunk::<N>().ok_or(WireError::Short { field })?;
        self.bytes = rest;
        Ok(*head)
    }

    /// The record without its first `count` bytes.
    pub fn skip(mut self, count: usize) -> Self {
        self.bytes = self.bytes.get(count..).unwrap_or(&[]);
        self
    }

    /// One byte.
    pub fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        Ok(self.take::<1>(field)?[0])
    }

    /// Two bytes, little-endian.
    pub fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.take(field)?))
    }

    /// Four bytes, little-endian.
    pub fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.take(field)?))
    }

    /// Eight bytes, little-endian.
    pub fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.take(field)?))
    }

    /// A finite number.
    pub fn f32(&mut self, field: &'static str) -> Result<f32, WireError> {
        let value = f32::from_le_bytes(self.take(field)?);
        if value.is_finite() { Ok(value) } else { Err(WireError::NotFinite { field }) }
    }

    /// A finite number of 0 or more.
    pub fn number(&mut self, field: &'static str) -> Result<f64, WireError> {
        let value = f64::from(self.f32(field)?);
        if value >= 0.0 { Ok(value) } else { Err(WireError::Negative { field }) }
    }

    /// A time in microseconds, as seconds.
    pub fn seconds(&mut self, field: &'static str) -> Result<f64, WireError> {
        Ok(f64::from(self.u32(field)?) / MICROSECONDS)
    }

    /// An index into a list of `count` entries.
    pub fn index(&mut self, count: usize, field: &'static str) -> Result<usize, WireError> {
        let index = usize::from(self.u16(field)?);
        if index < count { Ok(index) } else { Err(WireError::OutsideList { field, index }) }
    }

    /// A host, six bytes wide.
    pub fn host(&mut self, field: &'static str) -> Result<HostId, WireError> {
        let mut wide = [0; 8];
        wide[..6].copy_from_slice(&self.take::<6>(field)?);
        Ok(u64::from_le_bytes(wide))
    }
}

/// An entry of a host list.
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
    let size = entry.number("nominal")?;
    let started = entry.u64("online-since-us")? as f64 / MICROSECONDS;
    Ok(HostEntry { host, zone, kind, cell, state, size, started })
}

/// A batch of records, with the bytes that they refer to behind them.
pub struct Frame {
    /// The simulator's clock, in microseconds.
    pub clock: u64,
    /// Number of the batch.
    pub batch: u32,
    /// Records in it.
    pub count: usize,
    body: Vec<u8>,
}

impl Frame {
    /// Reads the frame behind a header.
    pub fn read(header: &[u8], input: &mut impl Read) -> Result<Frame, WireError> {
        let mut head = Record { bytes: header };
        let clock = head.u64("clock")?;
        let length = head.u32("length")? as usize;
        let count = head.u32("record count")? as usize;
        let batch = head.u32("batch number")?;
        if length > MAX_FRAME || count > length / RECORD {
            return Err(WireError::BadLength { batch, length, records: count });
        }
        let mut body = Vec::new();
        input.take(length as u64).read_to_end(&mut body)?;
        if body.len() < length {
            return Err(WireError::ShortFrame { batch });
        }
        Ok(Frame { clock, batch, count, body })
    }

    /// The record at an index below `count`.
    pub fn record(&self, at: usize) -> Record<'_> {
        Record { bytes: &self.body[at * RECORD..(at + 1) * RECORD] }
    }

    fn tail(&self, from: u32, length: usize, field: &'static str) -> Result<&[u8], WireError> {
        let tail = &self.body[self.count * RECORD..];
        let from = from as usize;
        let end = from.checked_add(length);
        end.and_then(|end| tail.get(from..end)).ok_or(WireError::OutsideFrame { field })
    }

    /// Bytes behind the records, as the next two fields of a record name them.
    pub fn bytes(&self, record: &mut Record, field: &'static str) -> Result<&[u8], WireError> {
        let (from, length) = (record.u32(field)?, record.u32(field)?);
        self.tail(from, length as usize, field)
    }

    /// The same, as text.
    pub fn text(&self, record: &mut Record, field: &'static str) -> Result<String, WireError> {
        let bytes = self.bytes(record, field)?;
        String::from_utf8(bytes.to_vec()).map_err(|_| WireError::NotUtf8 { field })
    }

    /// Entries of a host list.
    pub fn host_entries(&self, from: u32, count: u32) -> Result<Vec<HostEntry>, WireError> {
        let bytes = self.tail(from, count as usize * HOST_ENTRY, "nodes-list")?;
        bytes.chunks(HOST_ENTRY).map(host_entry).collect()
    }
}
