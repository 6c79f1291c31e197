//! Idle connections to hosts, and the limit of open ones.
//!
//! Connections are pooled by host instance and not by address: a new host at an old address is another one. The pool does
//! not connect a second time, choose another host or wait longer than it was told.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;

/// A connection is closed after this part of the time for which the host keeps it idle: the rest is far more than the way
/// of a request that meets the close.
const USABLE_IDLE_FRACTION: f64 = 0.8;
/// Limit in seconds of times that are handed in, which may be any number.
const MAX_SECONDS: f64 = 3600.0;

fn duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS))
}

/// Why no connection could be opened, beside what the system says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolError {
    /// As many connections are open and in use as there may be.
    ConnectionsExhausted {
        /// The limit of open connections.
        limit: usize,
    },
}

impl Display for PoolError {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let PoolError::ConnectionsExhausted { limit } = self;
        write!(f, "all {limit} connections to hosts are in use")
    }
}

impl std::error::Error for PoolError {}

/// One of the bounded number of open connections, returned when dropped.
struct Permit(Rc<Cell<usize>>);

impl Permit {
    fn acquire(open: &Rc<Cell<usize>>, limit: usize) -> Result<Permit, PoolError> {
        if open.get() >= limit {
            return Err(PoolError::ConnectionsExhausted { limit });
        }
        open.set(open.get() + 1);
        Ok(Permit(open.clone()))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection to a host with the codec `C`.
pub struct Connection<C> {
    /// The stream and its codec.
    pub framed: Framed<TcpStream, C>,
    address: SocketAddr,
    idle_since: Instant,
    /// Until when it may be used, by what the host said about idle connections.
    expires_at: Option<Instant>,
    _permit: Permit,
}

/// The state of a connection on which no request is pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// It can be used.
    Quiet,
    /// The other end closed or reset it.
    Closed,
    /// There are bytes that nobody asked for: they would be taken for the response to the next request.
    UnexpectedBytes,
}

/// Checks a connection on which no request is pending: its read buffer, and its socket by one system call.
pub fn idle_state<C>(framed: &Framed<TcpStream, C>) -> IdleState {
    let mut byte = [MaybeUninit::uninit()];
    match socket2::SockRef::from(framed.get_ref()).peek(&mut byte) {
        _ if !framed.read_buffer().is_empty() => IdleState::UnexpectedBytes,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Quiet,
        Ok(0) | Err(_) => IdleState::Closed,
        Ok(_) => IdleState::UnexpectedBytes,
    }
}

/// The connections of one thread. Hosts are named by keys of the user's.
pub struct ConnectionPool<C> {
    /// Idle connections of each host, the one used last at the end.
    idle: RefCell<HashMap<u64, Vec<Connection<C>>>>,
    /// Connections that are open, idle ones included.
    open: Rc<Cell<usize>>,
    max_open: usize,
    idle_timeout: Duration,
    connect_timeout: Duration,
    new_codec: Box<dyn Fn() -> C>,
}

impl<C> ConnectionPool<C> {
    /// A pool of `max_open` connections at most. `idle`: seconds after which hosts close an idle connection; `connect`:
    /// longest wait for a new one in seconds; `codec` makes its codec.
    pub fn new(
        max_open: usize,
        idle: f64,
        connect: f64,
        codec: impl Fn() -> C + 'static,
    ) -> Rc<ConnectionPool<C>> {
        Rc::new(ConnectionPool {
            idle: RefCell::default(),
            open: Rc::default(),
            max_open,
            idle_timeout: duration(idle * USABLE_IDLE_FRACTION),
            connect_timeout: duration(connect),
            new_codec: Box::new(codec),
        })
    }

    /// The longest wait for a new connection.
    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    /// Closes connections that were idle for too long; to be called now and then.
    pub fn close_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        idle.values_mut().for_each(|connections| connections.retain(|connection| self.is_usable(connection)));
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// An idle connection to a host, checked by [`idle_state`]. The one used last comes first, so that spare ones grow old
    /// and are closed.
    pub fn take(&self, host: u64, address: SocketAddr) -> Option<Connection<C>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&host)?;
        let can_be_used = |connection: &Connection<C>| {
            connection.address == address
                && self.is_usable(connection)
                && idle_state(&connection.framed) == IdleState::Quiet
        };
        std::iter::from_fn(|| connections.pop()).find(can_be_used)
    }

    /// Closes the idle connections to a host that was removed, has moved or does not answer.
    pub fn forget(&self, host: u64) {
        self.idle.borrow_mut().remove(&host);
    }

    /// Keeps a connection after a response; `idle` is for how many seconds the host said that it keeps it.
    pub fn put(&self, host: u64, connection: Connection<C>, idle: Option<f64>) {
        let now = Instant::now();
        let expires_at = idle.map(|seconds| now + usable_idle_time(seconds));
        self.put_back(host, Connection { idle_since: now, expires_at, ..connection });
    }

    /// Gives back a connection on which nothing was sent: it is kept for no longer than before.
    pub fn put_back(&self, host: u64, connection: Connection<C>) {
        self.idle.borrow_mut().entry(host).or_default().push(connection);
    }

    /// Opens a connection. Where too many are open all idle ones are closed first.
    ///
    /// # Errors
    ///
    /// What the system says, a timeout, or [`PoolError`] as the inner error.
    pub async fn open(&self, address: SocketAddr) -> io::Result<Connection<C>> {
        if self.open.get() >= self.max_open {
            self.idle.borrow_mut().clear();
        }
        let permit = Permit::acquire(&self.open, self.max_open).map_err(io::Error::other)?;
        let stream = timeout(self.connect_timeout, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let framed = Framed::new(stream, (self.new_codec)());
        Ok(Connection { framed, address, idle_since: Instant::now(), expires_at: None, _permit: permit })
    }

    fn is_usable(&self, connection: &Connection<C>) -> bool {
        connection.idle_since.elapsed() < self.idle_timeout
            && connection.expires_at.is_none_or(|expires_at| Instant::now() < expires_at)
    }
}

/// How long a connection is used of the time for which its host said that it keeps it.
fn usable_idle_time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS) * USABLE_IDLE_FRACTION)
}
