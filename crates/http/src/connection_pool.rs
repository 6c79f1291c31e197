//! Idle connections to hosts, and the limit on open connections.
//!
//! Connections are pooled by host instance and not by address, because an address may be reassigned to a new instance.
//! The pool does not retry a failed connect, select another host or wait longer than the connect timeout.

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

/// A connection is closed after this fraction of the time for which the host keeps it idle. The rest is far longer than
/// the transit of a request, so that no request is sent while the host closes the connection.
const USABLE_IDLE_FRACTION: f64 = 0.8;
/// Upper bound in seconds of times passed by callers, which may be any number.
const MAX_SECONDS: f64 = 3600.0;

fn duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS))
}

/// Why no connection could be opened, apart from errors of the operating system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolError {
    /// The limit of open connections is reached, and none of them is idle.
    ConnectionsExhausted {
        /// The limit of open connections.
        limit: usize,
    },
}

impl Display for PoolError {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let PoolError::ConnectionsExhausted { limit } = self;
        write!(f, "connection limit reached: all {limit} connections to hosts are in use")
    }
}

impl std::error::Error for PoolError {}

/// Permission for one open connection, returned when dropped.
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

/// A connection to a host, with the codec `C`.
pub struct Connection<C> {
    /// The stream and its codec.
    pub framed: Framed<TcpStream, C>,
    address: SocketAddr,
    idle_since: Instant,
    /// When it expires according to the host's `Keep-Alive` header.
    expires_at: Option<Instant>,
    _permit: Permit,
}

/// The state of a connection on which no request is pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    /// The connection can be used.
    Quiet,
    /// The peer closed or reset the connection.
    Closed,
    /// There are unsolicited bytes, which would be taken for the response to the next request.
    UnexpectedBytes,
}

/// Checks a connection on which no request is pending: its read buffer, and its socket by a single system call.
pub fn idle_state<C>(framed: &Framed<TcpStream, C>) -> IdleState {
    let mut byte = [MaybeUninit::uninit()];
    match socket2::SockRef::from(framed.get_ref()).peek(&mut byte) {
        _ if !framed.read_buffer().is_empty() => IdleState::UnexpectedBytes,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Quiet,
        Ok(0) | Err(_) => IdleState::Closed,
        Ok(_) => IdleState::UnexpectedBytes,
    }
}

/// The connections of one thread. Hosts are identified by keys that the caller assigns.
pub struct ConnectionPool<C> {
    /// Idle connections of each host, the most recently used one last.
    idle: RefCell<HashMap<u64, Vec<Connection<C>>>>,
    /// Number of open connections, including idle ones.
    open: Rc<Cell<usize>>,
    max_open: usize,
    idle_timeout: Duration,
    connect_timeout: Duration,
    new_codec: Box<dyn Fn() -> C>,
}

impl<C> ConnectionPool<C> {
    /// Creates a pool of at most `max_open` connections. `idle_timeout` is the time in seconds after which hosts close
    /// an idle connection, `connect_timeout` the longest wait in seconds for a new one; `new_codec` creates its codec.
    pub fn new(
        max_open: usize,
        idle_timeout: f64,
        connect_timeout: f64,
        new_codec: impl Fn() -> C + 'static,
    ) -> Rc<ConnectionPool<C>> {
        Rc::new(ConnectionPool {
            idle: RefCell::default(),
            open: Rc::default(),
            max_open,
            idle_timeout: duration(idle_timeout * USABLE_IDLE_FRACTION),
            connect_timeout: duration(connect_timeout),
            new_codec: Box::new(new_codec),
        })
    }

    /// The longest wait for a new connection.
    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout
    }

    /// Closes connections that were idle for too long; to be called periodically.
    pub fn close_idle(&self) {
        let mut idle = self.idle.borrow_mut();
        idle.values_mut().for_each(|connections| connections.retain(|connection| self.is_usable(connection)));
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Takes an idle connection to a host, checked by [`idle_state`]. The most recently used one is taken first, so
    /// that surplus connections expire and are closed.
    pub fn take(&self, host: u64, address: SocketAddr) -> Option<Connection<C>> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&host)?;
        let is_reusable = |connection: &Connection<C>| {
            connection.address == address
                && self.is_usable(connection)
                && idle_state(&connection.framed) == IdleState::Quiet
        };
        std::iter::from_fn(|| connections.pop()).find(is_reusable)
    }

    /// Closes the idle connections to a host that was removed, has moved or does not respond.
    pub fn forget(&self, host: u64) {
        self.idle.borrow_mut().remove(&host);
    }

    /// Returns a connection to the pool after a response; `host_idle_timeout` is the time in seconds for which the host
    /// keeps the connection idle, if it said so.
    pub fn put(&self, host: u64, connection: Connection<C>, host_idle_timeout: Option<f64>) {
        let now = Instant::now();
        let expires_at = host_idle_timeout.map(|seconds| now + usable_idle_time(seconds));
        self.put_back(host, Connection { idle_since: now, expires_at, ..connection });
    }

    /// Returns a connection on which nothing was sent, without extending the time for which it is kept.
    pub fn put_back(&self, host: u64, connection: Connection<C>) {
        self.idle.borrow_mut().entry(host).or_default().push(connection);
    }

    /// Opens a connection. If the limit is reached, all idle connections are closed first.
    ///
    /// # Errors
    ///
    /// An error of the operating system, a timeout, or an error with [`PoolError`] as the inner error.
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

/// How long an idle connection may be used if its host keeps it for `seconds`.
fn usable_idle_time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_SECONDS) * USABLE_IDLE_FRACTION)
}
