//! Frames, records and tails of the wire, read and written with every length checked.

use archlink_admission::interface::{HostEntry, HostId, HostState};
use std::io::Read;

const RECORD: usize = 48;
const ACTION: usize = 24;
const LINE: usize = 23;
/// Larger frames are taken for damage; batches run to megabytes at the most.
const LARGEST: usize = 1 << 28;

pub struct Slice<'a> {
    bytes: &'a [u8],
}

impl<'a> Slice<'a> {
    fn take<const N: usize>(&mut self, field: &str) -> Result<[u8; N], String> {
        let (head, rest) = self.bytes.split_first_chunk::<N>().ok_or(format!("{field}: cut short"))?;
        self.bytes = rest;
        Ok(*head)
    }
    pub fn skip(mut self, count: usize) -> Self {
        self.bytes = self.bytes.get(count..).unwrap_or(&[]);
        self
    }
    pub fn u8(&mut self, field: &str) -> Result<u8, String> {
        Ok(self.take::<1>(field)?[0])
    }
    pub fn u16(&mut self, field: &str) -> Result<u16, String> {
        Ok(u16::from_le_bytes(self.take(field)?))
    }
    pub fn u32(&mut self, field: &str) -> Result<u32, String> {
        Ok(u32::from_le_bytes(self.take(field)?))
    }
    pub fn u64(&mut self, field: &str) -> Result<u64, String> {
        Ok(u64::from_le_bytes(self.take(field)?))
    }
    pub fn f32(&mut self, field: &str) -> Result<f32, String> {
        let value = f32::from_le_bytes(self.take(field)?);
        if value.is_finite() { Ok(value) } else { Err(format!("{field}: not a finite number")) }
    }
    pub fn number(&mut self, field: &str) -> Result<f64, String> {
        let value = f64::from(self.f32(field)?);
        if value >= 0.0 { Ok(value) } else { Err(format!("{field}: below 0")) }
    }
    pub fn index(&mut self, count: usize, field: &str) -> Result<usize, String> {
        let index = usize::from(self.u16(field)?);
        if index < count { Ok(index) } else { Err(format!("{field}: {index} is outside its list")) }
    }
    pub fn host(&mut self, field: &str) -> Result<HostId, String> {
        let mut wide = [0; 8];
        wide[..6].copy_from_slice(&self.take::<6>(field)?);
        Ok(u64::from_le_bytes(wide))
    }
}

pub fn host_line(bytes: &[u8]) -> Result<HostEntry, String> {
    let mut line = Slice { bytes };
    let host = line.host("host")?;
    let (zone, kind) = (line.u8("zone")?, line.u8("class-of-host")?);
    let cell = line.u16("stripe")?;
    let standing = match line.u8("availability")? {
        0 => HostState::Removed,
        1 => HostState::Ready,
        2 => HostState::Draining,
        n => return Err(format!("availability: {n} is unknown")),
    };
    let size = line.number("nominal")?;
    let started = line.u64("online-since-us")? as f64 / 1e6;
    Ok(HostEntry { host, zone, kind, cell, state: standing, size, started })
}

pub struct Frame {
    pub clock: u64,
    pub serial: u32,
    pub count: usize,
    body: Vec<u8>,
}

impl Frame {
    pub fn read(header: &[u8], input: &mut impl Read) -> Result<Frame, String> {
        let mut head = Slice { bytes: header };
        let clock = head.u64("clock")?;
        let length = head.u32("length")? as usize;
        let count = head.u32("record count")? as usize;
        let serial = head.u32("batch number")?;
        if length > LARGEST || count > length / RECORD {
            return Err(format!("batch {serial}: length {length} does not hold {count} records"));
        }
        let mut body = Vec::new();
        input.take(length as u64).read_to_end(&mut body).map_err(|e| e.to_string())?;
        if body.len() < length {
            return Err(format!("batch {serial}: frame cut short"));
        }
        Ok(Frame { clock, serial, count, body })
    }
    pub fn record(&self, at: usize) -> Slice<'_> {
        Slice { bytes: &self.body[at * RECORD..(at + 1) * RECORD] }
    }
    fn tail(&self, from: u32, length: usize, field: &str) -> Result<&[u8], String> {
        let tail = &self.body[self.count * RECORD..];
        let from = from as usize;
        from.checked_add(length)
            .and_then(|to| tail.get(from..to))
            .ok_or(format!("{field}: outside the frame"))
    }
    pub fn bytes(&self, record: &mut Slice, field: &str) -> Result<&[u8], String> {
        let (from, length) = (record.u32(field)?, record.u32(field)?);
        self.tail(from, length as usize, field)
    }
    pub fn text(&self, record: &mut Slice, field: &str) -> Result<String, String> {
        let bytes = self.bytes(record, field)?;
        String::from_utf8(bytes.to_vec()).map_err(|_| format!("{field}: not UTF-8"))
    }
    pub fn lines(&self, from: u32, count: u32) -> Result<Vec<&[u8]>, String> {
        let bytes = self.tail(from, count as usize * LINE, "nodes-list")?;
        Ok(bytes.chunks(LINE).collect())
    }
}

#[derive(Default)]
pub struct Reply {
    actions: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

/// One action being written: fields follow each other, `act` has left room for the rest.
pub struct Action<'a> {
    reply: &'a mut Reply,
    at: usize,
}

impl Reply {
    pub fn act(&mut self, code: u8, who: u16) -> Action<'_> {
        let at = self.actions.len();
        self.actions.resize(at + ACTION, 0);
        self.count += 1;
        Action { reply: self, at }.u8(code).u16(who)
    }
    pub fn done(self, serial: u32) -> Vec<u8> {
        let length = (self.actions.len() + self.tail.len()) as u32;
        let mut bytes = Vec::with_capacity(12 + length as usize);
        for part in [self.count, length, serial] {
            bytes.extend(part.to_le_bytes());
        }
        bytes.extend(self.actions);
        bytes.extend(self.tail);
        bytes
    }
}

impl Action<'_> {
    fn put(mut self, bytes: &[u8]) -> Self {
        self.reply.actions[self.at..self.at + bytes.len()].copy_from_slice(bytes);
        self.at += bytes.len();
        self
    }
    pub fn u8(self, value: u8) -> Self {
        self.put(&[value])
    }
    pub fn u16(self, value: u16) -> Self {
        self.put(&value.to_le_bytes())
    }
    pub fn u32(self, value: u32) -> Self {
        self.put(&value.to_le_bytes())
    }
    pub fn u64(self, value: u64) -> Self {
        self.put(&value.to_le_bytes())
    }
    pub fn f32(self, value: f32) -> Self {
        self.put(&value.to_le_bytes())
    }
    pub fn host(self, host: HostId) -> Self {
        self.put(&host.to_le_bytes()[..6])
    }
    pub fn bytes(self, bytes: &[u8]) -> Self {
        let from = self.reply.tail.len() as u32;
        self.reply.tail.extend(bytes);
        self.u32(from).u32(bytes.len() as u32)
    }
}
