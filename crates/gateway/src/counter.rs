//! The counter's client: RESP2 on one pipelined connection, answers matched to calls in order. Owns the calls under
//! way and the pace of reconnects; each call gets one answer in the time the settings give, and what comes later goes
//! to nobody. Must never repeat a call, or say that nothing was added unless its last byte was never written.
//! Moved to another address, it awaits what is out at the old one first: a name's answers keep the order of its calls.

use crate::route::Hall;
use archlink_admission::backoff::Backoff;
use archlink_admission::interface::CounterReply;
use bytes::{Buf, BytesMut};
use futures_util::{SinkExt, StreamExt};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use tokio_util::codec::{Decoder, Encoder, Framed};

/// Keeps a quiet connection open and tells whether it still stands: several times in the ten seconds or less after
/// which the counter closes one.
const QUIET: Duration = Duration::from_secs(2);
/// A connection that has brought nothing for so many lives of a call while one waits is given up: a busy counter's
/// answers come late, but they come.
const SILENT: u32 = 2;
/// Between two connections that brought nothing: the first wait and the longest, so that a counter that comes back
/// isn't met by a storm, and is asked again within seconds.
const PACE: Duration = Duration::from_millis(200);
const LONGEST_PACE: Duration = Duration::from_secs(1);
/// Calls under way at most; further ones are not sent.
const MOST_CALLS: usize = 4096;

struct Call {
    name: u64,
    amount: f64,
    keep: f64,
    due: Instant,
    told: bool,
}

enum Sent {
    Add(Call),
    Ping,
}

enum Said {
    Total(f64),
    TurnedAway,
    Other,
}

struct Resp;

impl Encoder<&Sent> for Resp {
    type Error = io::Error;

    fn encode(&mut self, sent: &Sent, to: &mut BytesMut) -> io::Result<()> {
        let Sent::Add(call) = sent else {
            to.extend_from_slice(b"*1\r\n$4\r\nPING\r\n");
            return Ok(());
        };
        let mut word = String::with_capacity(32);
        let keep = (call.keep * 1e3).round().clamp(1.0, 60_000.0);
        write!(to, "*4\r\n$7\r\nINCRTTL\r\n$16\r\n{:016x}\r\n", call.name).map_err(io::Error::other)?;
        for value in [call.amount, keep] {
            word.clear();
            write!(word, "{value}").map_err(io::Error::other)?;
            write!(to, "${}\r\n{word}\r\n", word.len()).map_err(io::Error::other)?;
        }
        Ok(())
    }
}

impl Decoder for Resp {
    type Item = Said;
    type Error = io::Error;

    fn decode(&mut self, from: &mut BytesMut) -> io::Result<Option<Said>> {
        const MOST_LINE: usize = 512;
        let broken = || io::Error::new(io::ErrorKind::InvalidData, "not RESP2");
        let end = |bytes: &[u8]| bytes.windows(2).position(|pair| pair == b"\r\n");
        let Some(first) = end(from) else {
            return if from.len() > MOST_LINE { Err(broken()) } else { Ok(None) };
        };
        let line = std::str::from_utf8(&from[..first]).map_err(|_| broken())?;
        let Some((&kind, text)) = line.as_bytes().first().zip(line.get(1..)) else { return Err(broken()) };
        let number = |text: &str| text.parse().ok().filter(|t: &f64| t.is_finite());
        match kind {
            b'-' => {
                let said = if text.starts_with("BUSY") || text.starts_with("ERR") {
                    Said::TurnedAway
                } else {
                    Said::Other
                };
                from.advance(first + 2);
                Ok(Some(said))
            }
            b'+' | b':' => {
                let said = number(text).map_or(Said::Other, Said::Total);
                from.advance(first + 2);
                Ok(Some(said))
            }
            b'$' if text == "-1" => {
                from.advance(first + 2);
                Ok(Some(Said::Other))
            }
            b'$' => {
                let length: usize = text.parse().ok().filter(|n| *n <= MOST_LINE).ok_or_else(broken)?;
                let whole = first + 2 + length + 2;
                if from.len() < whole {
                    return Ok(None);
                }
                if !from[..whole].ends_with(b"\r\n") {
                    return Err(broken());
                }
                let total = std::str::from_utf8(&from[first + 2..whole - 2]).ok().and_then(number);
                from.advance(whole);
                Ok(Some(total.map_or(Said::Other, Said::Total)))
            }
            _ => Err(broken()),
        }
    }
}

#[derive(Default)]
struct Calls {
    waiting: VecDeque<Call>,
    written: VecDeque<(Sent, Instant)>,
}

pub struct Counter {
    calls: RefCell<Calls>,
    wake: Notify,
    life: Duration,
    address: Cell<SocketAddr>,
    moved: Notify,
}

type Link = Framed<TcpStream, Resp>;

/// Encoded into the connection's buffer; the next flush writes it.
fn put(link: &mut Link, sent: &Sent) -> io::Result<()> {
    let mut bytes = std::mem::take(link.write_buffer_mut());
    let done = link.codec_mut().encode(sent, &mut bytes);
    *link.write_buffer_mut() = bytes;
    done
}

impl Counter {
    pub fn new(life: f64, address: SocketAddr) -> Rc<Counter> {
        let life = Duration::from_secs_f64(life.clamp(0.001, 60.0));
        let (wake, moved) = (Notify::new(), Notify::new());
        Rc::new(Counter { calls: RefCell::default(), wake, life, address: Cell::new(address), moved })
    }

    fn silent(&self) -> Duration {
        (self.life * SILENT).clamp(Duration::from_millis(50), Duration::from_secs(1))
    }

    /// Calls go to this address from now on.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.moved.notify_one();
        }
    }

    pub fn call(&self, name: u64, amount: f64, keep: f64) {
        let due = Instant::now() + self.life;
        self.calls.borrow_mut().waiting.push_back(Call { name, amount, keep, due, told: false });
        self.wake.notify_one();
    }

    /// Tells the module of an answer; no borrow of the calls is held, since it may call again.
    fn tell(&self, hall: &Hall, name: u64, answer: CounterReply) {
        hall.call(|module, now, hands| module.counter_replied(now, hands, name, answer));
    }

    /// Oldest calls first: those whose time is up, or all of them. The hall's timer comes here before each of the
    /// module's own: a timer a call would double what an inquiry costs.
    pub fn lapse(&self, hall: &Hall, all: bool) {
        let before = |calls: &Calls| calls.written.iter().any(|(s, _)| matches!(s, Sent::Add(c) if !c.told));
        self.lapse_written(hall, all);
        loop {
            let mut calls = self.calls.borrow_mut();
            let late = calls.waiting.front().is_some_and(|call| all || call.due <= Instant::now());
            if !late || before(&calls) {
                return;
            }
            let Some(call) = calls.waiting.pop_front() else { return };
            drop(calls);
            self.tell(hall, call.name, CounterReply::NotAdded);
        }
    }

    fn lapse_written(&self, hall: &Hall, all: bool) {
        let now = Instant::now();
        loop {
            let mut calls = self.calls.borrow_mut();
            let next = calls.written.iter_mut().find_map(|(sent, _)| match sent {
                Sent::Add(call) if !call.told => Some(call),
                _ => None,
            });
            let Some(call) = next.filter(|call| all || call.due <= now) else { return };
            call.told = true;
            let name = call.name;
            drop(calls);
            self.tell(hall, name, CounterReply::Unknown);
        }
    }

    /// An answer without a number says nothing of its call, and the connection is of no further use: what is
    /// read there next may belong to any call.
    fn answered(&self, hall: &Hall, said: Said) -> io::Result<()> {
        let sent = self.calls.borrow_mut().written.pop_front();
        let spoilt = || io::Error::new(io::ErrorKind::InvalidData, "an answer without a number");
        let call = match sent {
            Some((Sent::Add(call), _)) => call,
            Some((Sent::Ping, _)) if matches!(said, Said::Other) => return Ok(()),
            _ => return Err(spoilt()),
        };
        let answer = match said {
            Said::Other => None,
            _ if call.due < Instant::now() => Some(CounterReply::Unknown),
            Said::Total(total) => Some(CounterReply::Total(total)),
            Said::TurnedAway => Some(CounterReply::NotAdded),
        };
        if !call.told {
            self.tell(hall, call.name, answer.unwrap_or(CounterReply::Unknown));
        }
        answer.map(drop).ok_or_else(spoilt)
    }

    /// Writes what waits. On a break the calls at the end whose bytes did not all go are known not to be added: they
    /// wait again, and are told so after those before them, since answers for a name come in the order of its calls.
    async fn write(&self, link: &mut Link) -> io::Result<()> {
        let now = Instant::now();
        loop {
            let mut calls = self.calls.borrow_mut();
            if calls.written.len() >= MOST_CALLS {
                return Err(io::Error::other("too many calls unanswered"));
            }
            let Some(call) = calls.waiting.pop_front() else { break };
            let sent = Sent::Add(call);
            put(link, &sent)?;
            calls.written.push_back((sent, now));
        }
        let flushed = timeout(self.silent(), link.flush()).await;
        if let Ok(Ok(())) = flushed {
            return Ok(());
        }
        let (mut left, mut calls) = (link.write_buffer().len(), self.calls.borrow_mut());
        while left > 0 {
            let Some((sent, _)) = calls.written.pop_back() else { break };
            let mut bytes = BytesMut::new();
            link.codec_mut().encode(&sent, &mut bytes)?;
            left = left.saturating_sub(bytes.len());
            if let Sent::Add(call) = sent {
                calls.waiting.push_front(call);
            }
        }
        Err(io::ErrorKind::BrokenPipe.into())
    }

    /// Serves one connection until it ends, falls silent or the counter has moved; the reason is worth a line.
    async fn serve(&self, link: &mut Link, hall: &Hall, answered: &mut bool) -> io::Error {
        let (look, mut heard) = (sleep(self.life), Instant::now());
        tokio::pin!(look);
        loop {
            if let Err(e) = self.write(link).await {
                return e;
            }
            tokio::select! {
                biased;
                said = link.next() => match said.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into())) {
                    Ok(said) => match self.answered(hall, said) {
                        Ok(()) => (*answered, heard) = (true, Instant::now()),
                        Err(e) => return e,
                    },
                    Err(e) => return e,
                },
                _ = self.moved.notified() => return self.finish(link, hall).await,
                _ = self.wake.notified() => {}
                _ = &mut look => {
                    let (now, oldest) = (Instant::now(), self.calls.borrow().written.front().map(|(_, at)| *at));
                    look.as_mut().reset(now + self.life);
                    match oldest {
                        Some(at) if at.max(heard) + self.silent() <= now => return io::ErrorKind::TimedOut.into(),
                        None if heard + QUIET <= now => {
                            if let Err(e) = put(link, &Sent::Ping) {
                                return e;
                            }
                            self.calls.borrow_mut().written.push_back((Sent::Ping, now));
                        }
                        _ => {}
                    }
                }
            }
        }
    }

    /// The answers still out at the old address, for as long as a call lives; new calls wait for the next one.
    async fn finish(&self, link: &mut Link, hall: &Hall) -> io::Error {
        let last = Instant::now() + self.life;
        while !self.calls.borrow().written.is_empty() {
            match timeout_at(last, link.next()).await {
                Ok(Some(Ok(said))) => match self.answered(hall, said) {
                    Ok(()) => {}
                    Err(_) => break,
                },
                _ => break,
            }
        }
        io::Error::other("moved")
    }

    /// Connects, serves, and connects again; never ends.
    pub async fn run(self: Rc<Counter>, hall: Rc<Hall>, connect: f64) {
        let connect = Duration::from_secs_f64(connect.clamp(0.01, 10.0));
        let mut again = Backoff::default();
        loop {
            // Written to a connection that ended: may have been added. The others were not; where one goes on
            // at once they are written there.
            self.lapse_written(&hall, true);
            self.calls.borrow_mut().written.clear();
            let (begun, address, mut answered) = (Instant::now(), self.address.get(), false);
            let open =
                async { timeout(connect, TcpStream::connect(address)).await.map_err(io::Error::from)? };
            let opened = tokio::select! {
                biased;
                opened = open => opened,
                _ = self.moved.notified() => continue,
            };
            let ended = match opened {
                Ok(stream) => {
                    stream.set_nodelay(true).ok();
                    let mut link = Framed::new(stream, Resp);
                    self.serve(&mut link, &hall, &mut answered).await
                }
                Err(e) => e,
            };
            log::debug!("counter: {ended}");
            if answered {
                again.reset();
            }
            if !answered && self.address.get() == address {
                self.lapse(&hall, true);
                self.calls.borrow_mut().written.clear();
                let pace = hall.wait(&mut again, PACE, LONGEST_PACE);
                tokio::select! {
                    _ = sleep_until(begun + pace) => {}
                    _ = self.moved.notified() => {}
                }
            }
        }
    }
}
