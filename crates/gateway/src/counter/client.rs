//! The connection to the counter: writes waiting calls, reports replies and timeouts to the admission module, and
//! reconnects. Invariant: the results for a key are reported in the order of its calls.

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

/// Idle time after which a connection is pinged. The counter closes idle connections after ten seconds or less, so this
/// leaves room for several pings.
const PING_AFTER_IDLE: Duration = Duration::from_secs(2);
/// A connection is closed if no reply arrives for this multiple of the call timeout while a call is unanswered. A
/// multiple above 1, because a busy counter's replies are late but do arrive.
const REPLY_TIMEOUT_FACTOR: u32 = 2;
/// Bounds of the reply timeout.
const MIN_REPLY_TIMEOUT: Duration = Duration::from_millis(50);
const MAX_REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// First and longest delay between connections on which no reply arrived: long enough that a recovering counter does
/// not face a connection storm, and short enough that it is used again within seconds.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of unanswered commands on the connection.
const MAX_UNANSWERED: usize = 4096;
/// Bounds of the connect timeout, in seconds.
const MIN_CONNECT_TIMEOUT: f64 = 0.01;
const MAX_CONNECT_TIMEOUT: f64 = 10.0;

type Connection = Framed<TcpStream, RespCodec>;

/// Encodes a command into the connection's write buffer; the next flush writes it.
fn buffer_command(connection: &mut Connection, command: &Command) -> Result<(), CounterError> {
    let mut bytes = std::mem::take(connection.write_buffer_mut());
    let encoded = connection.codec_mut().encode(command, &mut bytes);
    *connection.write_buffer_mut() = bytes;
    encoded
}

/// Sends the queued calls to the counter and reports their results.
pub struct CounterClient {
    dispatcher: Rc<Dispatcher>,
    queue: Rc<CallQueue>,
    address: Cell<SocketAddr>,
    address_changed: Notify,
}

impl CounterClient {
    /// Creates a client that is not connected yet.
    pub fn new(dispatcher: Rc<Dispatcher>, queue: Rc<CallQueue>, address: SocketAddr) -> Rc<CounterClient> {
        let address = Cell::new(address);
        Rc::new(CounterClient { dispatcher, queue, address, address_changed: Notify::new() })
    }

    /// Changes the counter's address. Replies that are still due from the old address are awaited first.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.address_changed.notify_one();
        }
    }

    fn reply_timeout(&self) -> Duration {
        (self.queue.timeout * REPLY_TIMEOUT_FACTOR).clamp(MIN_REPLY_TIMEOUT, MAX_REPLY_TIMEOUT)
    }

    /// Reports a result to the admission module. No borrow of the calls may be held, because the module may add a call.
    fn report(&self, key: u64, reply: CounterReply) {
        self.dispatcher.call(|admission, now, driver| admission.counter_replied(now, driver, key, reply));
    }

    /// Reports the calls that have timed out, oldest first. Called on each expiry of the admission module's timer,
    /// because a timer per call would double the cost of a request.
    pub fn expire_calls(&self) {
        self.expire(false);
    }

    /// Reports the calls that are due, or all calls. Waiting calls are reported after the written calls before them.
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

    /// Reports the written calls that are due, or all written calls.
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

    /// Matches a reply to the oldest written command and reports it. A reply without a number is an error that ends the
    /// connection: the replies after it can no longer be matched to calls with certainty.
    fn handle_reply(&self, reply: Reply) -> Result<(), CounterError> {
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
    async fn write_waiting(&self, connection: &mut Connection) -> Result<(), CounterError> {
        let now = Instant::now();
        loop {
            let mut calls = self.queue.calls.borrow_mut();
            if calls.written.len() >= MAX_UNANSWERED {
                return Err(CounterError::TooManyCalls);
            }
            let Some(call) = calls.waiting.pop_front() else { break };
            let command = Command::Add(call);
            buffer_command(connection, &command)?;
            calls.written.push_back((command, now));
        }
        let flushed = timeout(self.reply_timeout(), connection.flush()).await;
        if let Ok(Ok(())) = flushed {
            return Ok(());
        }
        self.requeue_unsent(connection)?;
        Err(io::ErrorKind::BrokenPipe.into())
    }

    /// Moves the last calls, whose bytes were not all sent and which are therefore certainly not added, back to the
    /// waiting ones. They are reported as not added after the calls before them.
    fn requeue_unsent(&self, connection: &mut Connection) -> Result<(), CounterError> {
        let mut unsent_bytes = connection.write_buffer().len();
        let mut calls = self.queue.calls.borrow_mut();
        while unsent_bytes > 0 {
            let Some((command, _)) = calls.written.pop_back() else { break };
            let mut bytes = BytesMut::new();
            connection.codec_mut().encode(&command, &mut bytes)?;
            unsent_bytes = unsent_bytes.saturating_sub(bytes.len());
            if let Command::Add(call) = command {
                calls.waiting.push_front(call);
            }
        }
        Ok(())
    }

    /// Serves one connection until it fails, times out or the address changes. The first reply sets `replied`.
    async fn serve(&self, connection: &mut Connection, replied: &mut bool) -> CounterError {
        let (check_timer, mut last_reply) = (sleep(self.queue.timeout), Instant::now());
        tokio::pin!(check_timer);
        loop {
            if let Err(error) = self.write_waiting(connection).await {
                return error;
            }
            tokio::select! {
                biased;
                reply = connection.next() => {
                    let reply = reply.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()));
                    match reply.and_then(|reply| self.handle_reply(reply)) {
                        Ok(()) => (*replied, last_reply) = (true, Instant::now()),
                        Err(error) => return error,
                    }
                }
                _ = self.address_changed.notified() => return self.await_due_replies(connection).await,
                _ = self.queue.added.notified() => {}
                _ = &mut check_timer => {
                    let now = Instant::now();
                    check_timer.as_mut().reset(now + self.queue.timeout);
                    if let Err(error) = self.check_connection(connection, last_reply, now) {
                        return error;
                    }
                }
            }
        }
    }

    /// Fails if the oldest command on the connection has waited for too long; pings an idle connection.
    fn check_connection(
        &self,
        connection: &mut Connection,
        last_reply: Instant,
        now: Instant,
    ) -> Result<(), CounterError> {
        let oldest = self.queue.calls.borrow().written.front().map(|(_, written_at)| *written_at);
        match oldest {
            Some(written_at) if written_at.max(last_reply) + self.reply_timeout() <= now => {
                Err(io::ErrorKind::TimedOut.into())
            }
            None if last_reply + PING_AFTER_IDLE <= now => {
                buffer_command(connection, &Command::Ping)?;
                self.queue.calls.borrow_mut().written.push_back((Command::Ping, now));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Awaits the replies that are still due from the old address, for at most the call timeout. New calls wait for the
    /// next connection.
    async fn await_due_replies(&self, connection: &mut Connection) -> CounterError {
        let deadline = Instant::now() + self.queue.timeout;
        while !self.queue.calls.borrow().written.is_empty() {
            let Ok(Some(Ok(reply))) = timeout_at(deadline, connection.next()).await else { break };
            if self.handle_reply(reply).is_err() {
                break;
            }
        }
        CounterError::AddressChanged
    }

    /// Reports the calls that were written to a connection that has ended: they may have been added. The waiting
    /// calls were not added and go to the next connection.
    fn abandon_written(&self) {
        self.expire_written(true);
        self.queue.calls.borrow_mut().written.clear();
    }

    /// Connects, serves the connection and reconnects; never returns. `connect_timeout` is in seconds.
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
                Err(error) => error.into(),
            };
            log::debug!("counter: connection to {address} ended: {error}");
            if replied {
                backoff.reset();
            } else if self.address.get() == address {
                self.expire(true);
                self.queue.calls.borrow_mut().written.clear();
                let delay = self.dispatcher.retry_delay(&mut backoff, FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
                tokio::select! {
                    _ = sleep_until(started + delay) => {}
                    _ = self.address_changed.notified() => {}
                }
            }
        }
    }
}
