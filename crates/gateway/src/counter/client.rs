//! The connection to the counter: writes waiting calls, reports replies and time-outs to the admission module,
//! reconnects. Invariant: the replies for a key are reported in the order of its calls.

use super::calls::{CallQueue, Command};
use super::error::CounterError;
use super::resp::{Reply, RespCodec};
use crate::dispatcher::Dispatcher;
use archlink_admission::backoff::Backoff;
use archlink_admission::interface::CounterReply;
use bytes::BytesMut;
use futures_util::{SinkExt, StreamExt};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};
use tokio_util::codec::{Encoder, Framed};

/// An idle connection is pinged after this long: several times in the ten seconds or less after which the counter closes
/// one.
const PING_AFTER: Duration = Duration::from_secs(2);
/// A connection that has brought nothing for so many call time-outs while a call waits is closed: a busy counter's
/// replies come late, but they come.
const REPLY_TIMEOUT_CALLS: u32 = 2;
/// Bounds of that time.
const MIN_REPLY_TIMEOUT: Duration = Duration::from_millis(50);
const MAX_REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// First and longest wait between two connections that brought nothing, so that a counter that comes back isn't met by a
/// storm, and is called again within seconds.
const FIRST_RETRY: Duration = Duration::from_millis(200);
const MAX_RETRY: Duration = Duration::from_secs(1);
/// Most calls unanswered on the connection.
const MAX_UNANSWERED: usize = 4096;
/// Bounds of the connect time-out, in seconds.
const MIN_CONNECT_TIMEOUT: f64 = 0.01;
const MAX_CONNECT_TIMEOUT: f64 = 10.0;

type Connection = Framed<TcpStream, RespCodec>;

/// Encodes into the connection's buffer; the next flush writes it.
fn buffer(connection: &mut Connection, command: &Command) -> Result<(), CounterError> {
    let mut bytes = std::mem::take(connection.write_buffer_mut());
    let encoded = connection.codec_mut().encode(command, &mut bytes);
    *connection.write_buffer_mut() = bytes;
    encoded
}

/// The client of the counter.
pub struct CounterClient {
    dispatcher: Rc<Dispatcher>,
    queue: Rc<CallQueue>,
    address: Cell<SocketAddr>,
    address_changed: Notify,
}

impl CounterClient {
    /// A client that is not connected yet.
    pub fn new(dispatcher: Rc<Dispatcher>, queue: Rc<CallQueue>, address: SocketAddr) -> Rc<CounterClient> {
        let address = Cell::new(address);
        Rc::new(CounterClient { dispatcher, queue, address, address_changed: Notify::new() })
    }

    /// Calls go to this address from now on; replies still due from the old one are awaited first.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.address_changed.notify_one();
        }
    }

    fn reply_timeout(&self) -> Duration {
        (self.queue.timeout * REPLY_TIMEOUT_CALLS).clamp(MIN_REPLY_TIMEOUT, MAX_REPLY_TIMEOUT)
    }

    /// Reports a reply to the module; no borrow of the calls may be held, since the module may call again.
    fn report(&self, key: u64, reply: CounterReply) {
        self.dispatcher.call(|admission, now, driver| admission.counter_replied(now, driver, key, reply));
    }

    /// Reports the calls that have timed out, oldest first. The module's timer comes here before the module: a timer for
    /// each call would double the cost of a request.
    pub fn expire_calls(&self) {
        self.expire(false);
    }

    /// Waiting calls are reported after the written ones before them.
    fn expire(&self, all: bool) {
        self.expire_written(all);
        loop {
            let mut calls = self.queue.calls.borrow_mut();
            let is_due = calls.waiting.front().is_some_and(|call| all || call.deadline <= Instant::now());
            if !is_due || calls.written.iter().any(|(command, _)| command.is_unreported()) {
                return;
            }
            let Some(call) = calls.waiting.pop_front() else { return };
            drop(calls);
            self.report(call.key, CounterReply::NotAdded);
        }
    }

    fn expire_written(&self, all: bool) {
        let now = Instant::now();
        loop {
            let mut calls = self.queue.calls.borrow_mut();
            let oldest = calls.written.iter_mut().find_map(|(command, _)| command.unreported_mut());
            let Some(call) = oldest.filter(|call| all || call.deadline <= now) else { return };
            call.reported = true;
            let key = call.key;
            drop(calls);
            self.report(key, CounterReply::Unknown);
        }
    }

    /// A reply without a number says nothing of its call, and the connection is of no further use: what is read there
    /// next may belong to any call.
    fn received(&self, reply: Reply) -> Result<(), CounterError> {
        let command = self.queue.calls.borrow_mut().written.pop_front();
        let call = match command {
            Some((Command::Add(call), _)) => call,
            Some((Command::Ping, _)) if matches!(reply, Reply::Other) => return Ok(()),
            _ => return Err(CounterError::NoNumber),
        };
        let result = match reply {
            Reply::Other => None,
            _ if call.deadline < Instant::now() => Some(CounterReply::Unknown),
            Reply::Total(total) => Some(CounterReply::Total(total)),
            Reply::Rejected => Some(CounterReply::NotAdded),
        };
        if !call.reported {
            self.report(call.key, result.unwrap_or(CounterReply::Unknown));
        }
        result.map(drop).ok_or(CounterError::NoNumber)
    }

    /// Writes the waiting calls.
    async fn write(&self, connection: &mut Connection) -> Result<(), CounterError> {
        let now = Instant::now();
        loop {
            let mut calls = self.queue.calls.borrow_mut();
            if calls.written.len() >= MAX_UNANSWERED {
                return Err(CounterError::TooManyCalls);
            }
            let Some(call) = calls.waiting.pop_front() else { break };
            let command = Command::Add(call);
            buffer(connection, &command)?;
            calls.written.push_back((command, now));
        }
        let flushed = timeout(self.reply_timeout(), connection.flush()).await;
        if let Ok(Ok(())) = flushed {
            return Ok(());
        }
        self.requeue_unsent(connection)?;
        Err(io::ErrorKind::BrokenPipe.into())
    }

    /// The last calls, whose bytes did not all go, are known not to be added. They wait again, and are reported as not
    /// added after those before them.
    fn requeue_unsent(&self, connection: &mut Connection) -> Result<(), CounterError> {
        let mut unsent = connection.write_buffer().len();
        let mut calls = self.queue.calls.borrow_mut();
        while unsent > 0 {
            let Some((command, _)) = calls.written.pop_back() else { break };
            let mut bytes = BytesMut::new();
            connection.codec_mut().encode(&command, &mut bytes)?;
            unsent = unsent.saturating_sub(bytes.len());
            if let Command::Add(call) = command {
                calls.waiting.push_front(call);
            }
        }
        Ok(())
    }

    /// Serves one connection until it fails, times out or the address changes. `replied` is set by the first reply.
    async fn serve(&self, connection: &mut Connection, replied: &mut bool) -> CounterError {
        let (check, mut last_reply) = (sleep(self.queue.timeout), Instant::now());
        tokio::pin!(check);
        loop {
            if let Err(e) = self.write(connection).await {
                return e;
            }
            tokio::select! {
                biased;
                reply = connection.next() => {
                    let reply = reply.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()));
                    match reply.and_then(|reply| self.received(reply)) {
                        Ok(()) => (*replied, last_reply) = (true, Instant::now()),
                        Err(e) => return e,
                    }
                }
                _ = self.address_changed.notified() => return self.finish(connection).await,
                _ = self.queue.added.notified() => {}
                _ = &mut check => {
                    let now = Instant::now();
                    check.as_mut().reset(now + self.queue.timeout);
                    if let Err(e) = self.check_connection(connection, last_reply, now) {
                        return e;
                    }
                }
            }
        }
    }

    /// Gives up a connection whose oldest call waits for too long; pings an idle one.
    fn check_connection(
        &self,
        connection: &mut Connection,
        last_reply: Instant,
        now: Instant,
    ) -> Result<(), CounterError> {
        let oldest = self.queue.calls.borrow().written.front().map(|(_, at)| *at);
        match oldest {
            Some(at) if at.max(last_reply) + self.reply_timeout() <= now => {
                Err(io::ErrorKind::TimedOut.into())
            }
            None if last_reply + PING_AFTER <= now => {
                buffer(connection, &Command::Ping)?;
                self.queue.calls.borrow_mut().written.push_back((Command::Ping, now));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Awaits the replies still due from the old address, for as long as a call lives; new calls wait for the next
    /// connection.
    async fn finish(&self, connection: &mut Connection) -> CounterError {
        let deadline = Instant::now() + self.queue.timeout;
        while !self.queue.calls.borrow().written.is_empty() {
            let Ok(Some(Ok(reply))) = timeout_at(deadline, connection.next()).await else { break };
            if self.received(reply).is_err() {
                break;
            }
        }
        CounterError::AddressChanged
    }

    /// Written to a connection that ended: such calls may have been added. The waiting ones were not; they go to the next
    /// connection.
    fn abandon_written(&self) {
        self.expire_written(true);
        self.queue.calls.borrow_mut().written.clear();
    }

    /// Connects, serves, and connects again; never ends. `connect_timeout` in seconds.
    pub async fn run(self: Rc<CounterClient>, connect_timeout: f64) {
        let connect_timeout =
            Duration::from_secs_f64(connect_timeout.clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT));
        let mut backoff = Backoff::default();
        loop {
            self.abandon_written();
            let (started, address, mut replied) = (Instant::now(), self.address.get(), false);
            let connect = async {
                timeout(connect_timeout, TcpStream::connect(address)).await.map_err(io::Error::from)?
            };
            let connected = tokio::select! {
                biased;
                connected = connect => connected,
                _ = self.address_changed.notified() => continue,
            };
            let error = match connected {
                Ok(stream) => {
                    stream.set_nodelay(true).ok();
                    self.serve(&mut Framed::new(stream, RespCodec), &mut replied).await
                }
                Err(e) => e.into(),
            };
            log::debug!("counter: {error}");
            if replied {
                backoff.reset();
            } else if self.address.get() == address {
                self.expire(true);
                self.queue.calls.borrow_mut().written.clear();
                let delay = self.dispatcher.retry_delay(&mut backoff, FIRST_RETRY, MAX_RETRY);
                tokio::select! {
                    _ = sleep_until(started + delay) => {}
                    _ = self.address_changed.notified() => {}
                }
            }
        }
    }
}
