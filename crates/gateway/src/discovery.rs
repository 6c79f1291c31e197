//! Discovery's client: starts from the known list, then watches for changes from its version on. Owns the connection
//! and the numbers that stand for hosts' ids; a watch that breaks or falls silent is opened again from the last
//! version heard, and so is one whose address has moved. Must never leave out, reorder or interpret what the list says: the module hears it line by line.

use crate::route::{Clock, Hall};
use archlink_admission::backoff::Backoff;
use archlink_admission::interface::{HostEntry, HostId, HostListUpdate, HostState};
use archlink_admission_settings::ParsedSettings;
use archlink_http::frame::ChunkedDecoder;
use bytes::{Buf, BytesMut};
use futures_util::StreamExt;
use httparse::{EMPTY_HEADER, Status};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::codec::{Decoder, FramedRead};

/// An empty line comes every 2 s; without any for this long the watch is taken for broken. Short enough that a second
/// watch is heard within the 6 s after which news counts as told.
const SILENT: Duration = Duration::from_millis(2800);
const CONNECT: Duration = Duration::from_secs(1);
/// Between two openings: the first wait, and the longest that they grow to while watches fail. That one is short
/// enough for a host that drains while discovery refuses to be heard of within the same 6 s.
const PACE: Duration = Duration::from_millis(300);
const LONGEST_PACE: Duration = Duration::from_secs(1);
/// A line of the watch holds the whole list at the most: thousands of hosts.
const MOST_LINE: usize = 4 << 20;

/// One piece of the list as it came; decoded once, the numbers are given when it is taken over.
pub struct Piece {
    version: u64,
    whole: bool,
    hosts: Vec<(String, SocketAddr, HostEntry)>,
}

/// Reads a piece; an entry that makes no sense is left out and named in the log.
pub fn piece(value: &Value, told: &ParsedSettings, clock: Clock) -> Option<Piece> {
    let version = value.get("version")?.as_u64()?;
    let whole = value.get("full").and_then(Value::as_bool).unwrap_or(false);
    let mut hosts = Vec::new();
    for entry in value.get("servers").and_then(Value::as_array).into_iter().flatten() {
        match host(entry, told, clock) {
            Ok(host) => hosts.push(host),
            Err(key) => log::warn!("discovery: an entry of version {version} is left out: {key}"),
        }
    }
    Some(Piece { version, whole, hosts })
}

fn host(
    entry: &Value,
    told: &ParsedSettings,
    clock: Clock,
) -> Result<(String, SocketAddr, HostEntry), &'static str> {
    let text = |key: &'static str| entry.get(key).and_then(Value::as_str).ok_or(key);
    let index = |names: &[String], key: &'static str| {
        let name = entry.get(key).and_then(Value::as_str).unwrap_or_default();
        names.iter().position(|n| n == name).map_or(u8::MAX, |n| n.min(254) as u8)
    };
    let standing = match text("state")? {
        "ready" => HostState::Ready,
        "draining" => HostState::Draining,
        "gone" => HostState::Removed,
        _ => return Err("state"),
    };
    let number = |key: &str, absent: f64| entry.get(key).and_then(Value::as_f64).unwrap_or(absent);
    let address = text("addr")?.parse().map_err(|_| "addr")?;
    let line = HostEntry {
        host: 0,
        zone: index(&told.zones, "zone"),
        kind: index(&told.kinds, "kind"),
        cell: number("cell", 0.0).clamp(0.0, 65_535.0) as u16,
        state: standing,
        size: number("weight", 1.0).max(0.0),
        started: clock.of_unix(number("started_ms", 0.0) / 1e3),
    };
    Ok((text("id")?.to_string(), address, line))
}

#[derive(Default)]
struct Watch {
    body: Option<ChunkedDecoder>,
    lines: BytesMut,
}

impl Decoder for Watch {
    /// A line, without its end.
    type Item = BytesMut;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<BytesMut>> {
        let broken = |text: &str| io::Error::new(io::ErrorKind::InvalidData, text);
        if self.body.is_none() {
            let mut headers = [EMPTY_HEADER; 32];
            let mut response = httparse::Response::new(&mut headers);
            match response.parse(from) {
                Ok(Status::Complete(length)) if response.code == Some(200) => {
                    from.advance(length);
                    self.body = Some(ChunkedDecoder::default());
                }
                Ok(Status::Partial) if from.len() < 16 * 1024 => return Ok(None),
                _ => return Err(broken("no watch")),
            }
        }
        let Some(chunks) = &mut self.body else { return Ok(None) };
        let ended = chunks.feed(from, &mut self.lines)?;
        if let Some(at) = self.lines.iter().position(|&b| b == b'\n') {
            let line = self.lines.split_to(at);
            self.lines.advance(1);
            return Ok(Some(line));
        }
        if ended || self.lines.len() > MOST_LINE {
            return Err(broken("watch ended"));
        }
        Ok(None)
    }
}

pub struct Discovery {
    hall: Rc<Hall>,
    address: Cell<SocketAddr>,
    moved: Notify,
    numbers: RefCell<HashMap<String, HostId>>,
    next: Cell<HostId>,
    version: Cell<u64>,
    again: Cell<Backoff>,
}

impl Discovery {
    /// Takes over the list that was known before the start.
    pub fn start(hall: Rc<Hall>, address: SocketAddr, known: &Value) -> Rc<Discovery> {
        let discovery = Discovery {
            hall,
            address: Cell::new(address),
            moved: Notify::new(),
            numbers: RefCell::default(),
            next: Cell::new(1),
            version: Cell::new(0),
            again: Cell::default(),
        };
        let known = piece(known, &discovery.hall.told, discovery.hall.clock);
        let none = Piece { version: 0, whole: true, hosts: Vec::new() };
        discovery.take(known.unwrap_or(none), HostListUpdate::Cached);
        Rc::new(discovery)
    }

    fn take(&self, piece: Piece, news: HostListUpdate) {
        self.version.set(piece.version);
        let mut numbers = self.numbers.borrow_mut();
        let forget = |host: &HostId| {
            self.hall.kept.forget(*host);
            self.hall.call(|_, _, hands| hands.hosts.remove(host));
        };
        if news != HostListUpdate::Delta {
            // What a whole list leaves out is forgotten, or ids of long ago would pile up.
            let listed: HashSet<&str> = piece.hosts.iter().map(|host| host.0.as_str()).collect();
            numbers.extract_if(|id, _| !listed.contains(id.as_str())).for_each(|(_, host)| forget(&host));
        }
        let mut lines = Vec::with_capacity(piece.hosts.len());
        for (id, address, line) in piece.hosts {
            // So is one that is gone: should its id or its address come again, that is a new host.
            let gone = line.state == HostState::Removed;
            let host = match numbers.get(&id) {
                None if gone => continue,
                None => self.next.replace(self.next.get() + 1),
                Some(host) => *host,
            };
            if gone {
                numbers.remove(&id);
                forget(&host);
            } else {
                numbers.insert(id, host);
                let before = self.hall.call(|_, _, hands| hands.hosts.insert(host, address));
                if before.is_some_and(|before| before != address) {
                    self.hall.kept.forget(host);
                }
            }
            lines.push(HostEntry { host, ..line });
        }
        drop(numbers);
        self.hall.call(|module, now, hands| module.host_list_updated(now, hands, news, &lines));
    }

    /// Lists come from this address from now on.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.notify_one();
        }
    }

    async fn watch(&self) -> io::Result<()> {
        let address = self.address.get();
        let mut stream = timeout(CONNECT, TcpStream::connect(address)).await??;
        let ask = format!(
            "GET /discovery/hosts?watch=1&after={} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.version.get(),
            address
        );
        stream.write_all(ask.as_bytes()).await?;
        let mut lines = FramedRead::new(stream, Watch::default());
        loop {
            let line = timeout(SILENT, lines.next()).await?.ok_or(io::ErrorKind::UnexpectedEof)??;
            self.again.set(Backoff::default());
            if line.trim_ascii().is_empty() {
                continue;
            }
            let value = serde_json::from_slice(&line).map_err(io::Error::other)?;
            let piece = piece(&value, &self.hall.told, self.hall.clock);
            let piece = piece.ok_or_else(|| io::Error::other("a line without a version"))?;
            let news = if piece.whole { HostListUpdate::Full } else { HostListUpdate::Delta };
            let held = self.version.get();
            if piece.version < held {
                log::warn!("discovery: version {} after {held}; only a whole list counts", piece.version);
            }
            // Changes from before the list in hand would bring back hosts that drain or are gone. A whole list counts
            // whatever its version: discovery may have been replaced.
            if piece.whole || piece.version >= held {
                self.take(piece, news);
            }
        }
    }

    /// Watches for good. Where lists must be asked for, a broken watch is told, and opened when the module asks.
    pub async fn run(self: Rc<Discovery>, asked: Rc<Notify>) {
        let must_ask = self.hall.told.admission.must_subscribe;
        let mut moved = false;
        loop {
            let begun = Instant::now();
            if must_ask && !moved {
                asked.notified().await;
            }
            // Moved: the next watch goes on from the same version at the new address, at once.
            let ended = tokio::select! {
                biased;
                _ = self.moved.notified() => None,
                ended = self.watch() => ended.err(),
            };
            moved = ended.is_none();
            let Some(e) = ended else { continue };
            // The module sets the pace where it has to ask. Elsewhere a fleet whose watches broke together must not
            // come back in step.
            let mut again = self.again.get();
            let pace = self.hall.wait(&mut again, PACE, LONGEST_PACE);
            self.again.set(again);
            log::warn!("discovery: watch failed after {:.1?}: {e}", begun.elapsed());
            if must_ask {
                self.hall.call(|module, now, hands| {
                    module.host_list_updated(now, hands, HostListUpdate::Failed, &[])
                });
            }
            sleep_until(begun + if must_ask { PACE } else { pace }).await;
        }
    }
}
