//! Connections to hosts and their bound, kept between hand-offs by host and not by address: a new host at an old address
//! is another one. Must never try twice, choose another host or wait longer than it was told.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tokio_util::codec::Framed;

/// One place among the bounded sockets to hosts, given back when dropped.
struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection to a host, spoken over with the codec `C`.
pub struct Connection<C> {
    pub framed: Framed<TcpStream, C>,
    to: SocketAddr,
    since: Instant,
    /// When the host may close it at the latest, where it said so.
    until: Option<Instant>,
    _place: Place,
}

/// What a connection on which nothing was asked since the last reply has to say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleState {
    Quiet,
    Ended,
    /// Bytes that nobody asked for: they would be taken for the answer to the next question.
    Spoke,
}

/// Asks the socket itself, and what was read of it.
pub fn idle_state<C>(framed: &Framed<TcpStream, C>) -> IdleState {
    let mut byte = [MaybeUninit::uninit()];
    match socket2::SockRef::from(framed.get_ref()).peek(&mut byte) {
        _ if !framed.read_buffer().is_empty() => IdleState::Spoke,
        Err(e) if e.kind() == io::ErrorKind::WouldBlock => IdleState::Quiet,
        Ok(0) | Err(_) => IdleState::Ended,
        Ok(_) => IdleState::Spoke,
    }
}

pub struct ConnectionPool<C> {
    lines: RefCell<HashMap<u64, Vec<Connection<C>>>>,
    used: Rc<Cell<usize>>,
    most: usize,
    idle: Duration,
    connect: Duration,
    codec: Box<dyn Fn() -> C>,
}

impl<C> ConnectionPool<C> {
    /// Given up at this part of the time after which hosts close: far more than a message is under way.
    const SAFE: f64 = 0.8;

    /// `idle`: the time after which hosts close a connection at the latest; `codec` makes a new connection's.
    pub fn new(
        most: usize,
        idle: f64,
        connect: f64,
        codec: impl Fn() -> C + 'static,
    ) -> Rc<ConnectionPool<C>> {
        let seconds = |s: f64| Duration::from_secs_f64(s.clamp(0.0, 3600.0));
        let (idle, connect) = (seconds(idle * Self::SAFE), seconds(connect));
        let (lines, used, codec) = (RefCell::default(), Rc::default(), Box::new(codec));
        Rc::new(ConnectionPool { lines, used, most, idle, connect, codec })
    }

    /// The longest wait for a new connection.
    pub fn connect(&self) -> Duration {
        self.connect
    }

    fn fresh(&self, line: &Connection<C>) -> bool {
        line.since.elapsed() < self.idle && line.until.is_none_or(|until| Instant::now() < until)
    }

    /// Closes what stood idle for long; called now and then.
    pub fn close_idle(&self) {
        let mut lines = self.lines.borrow_mut();
        lines.values_mut().for_each(|kept| kept.retain(|line| self.fresh(line)));
        lines.retain(|_, kept| !kept.is_empty());
    }

    pub fn take(&self, host: u64, address: SocketAddr) -> Option<Connection<C>> {
        let mut lines = self.lines.borrow_mut();
        let kept = lines.get_mut(&host)?;
        // The one used last comes first, so that spare ones grow old and close.
        let fit = |line: &Connection<C>| {
            line.to == address && self.fresh(line) && idle_state(&line.framed) == IdleState::Quiet
        };
        std::iter::from_fn(|| kept.pop()).find(fit)
    }

    /// A host that is gone, has moved, or is silent: nothing kept to it is of use.
    pub fn forget(&self, host: u64) {
        self.lines.borrow_mut().remove(&host);
    }

    /// Keeps a connection for the next hand-off; `idle` is how long the host said that it keeps it.
    pub fn put(&self, host: u64, line: Connection<C>, idle: Option<f64>) {
        let now = Instant::now();
        let until = idle.map(|s| now + Duration::from_secs_f64(s.clamp(0.0, 3600.0) * Self::SAFE));
        self.lines.borrow_mut().entry(host).or_default().push(Connection { since: now, until, ..line });
    }

    /// Gives back a connection on which nothing was said: it is kept for no longer than before.
    pub fn put_back(&self, host: u64, line: Connection<C>) {
        self.lines.borrow_mut().entry(host).or_default().push(line);
    }

    pub async fn open(&self, address: SocketAddr) -> io::Result<Connection<C>> {
        if self.used.get() >= self.most {
            self.lines.borrow_mut().clear();
        }
        if self.used.get() >= self.most {
            return Err(io::Error::other("all sockets to hosts are in use"));
        }
        self.used.set(self.used.get() + 1);
        let _place = Place(self.used.clone());
        let stream = timeout(self.connect, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let framed = Framed::new(stream, (self.codec)());
        Ok(Connection { framed, to: address, since: Instant::now(), until: None, _place })
    }
}
