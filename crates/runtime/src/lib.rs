//! What both programs of the system start with: the log, the steady clock, and sockets between the system's own processes.
//! Must never decide anything.
#![forbid(unsafe_code)]

use archlink_messages::{Message, MessageCodec};
use futures_util::SinkExt;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};
use tokio_util::codec::{Framed, FramedParts};

/// JSON lines on standard error: `at` in seconds since the start, `node`, `level`, `from`, `what`.
pub fn log_to_stderr(node: &str, level: log::LevelFilter) {
    let (node, started) = (node.to_string(), Instant::now());
    let format = move |to: &mut env_logger::fmt::Formatter, record: &log::Record| {
        let at = (started.elapsed().as_secs_f64() * 1e3).round() / 1e3;
        let line = serde_json::json!({"at": at, "node": node, "level": record.level().as_str(),
            "from": record.target(), "what": record.args().to_string()});
        writeln!(to, "{line}")
    };
    env_logger::Builder::new().filter_level(level).format(format).init();
    std::panic::set_hook(Box::new(|panic| log::error!("{panic}")));
}

/// An error on one line: what each layer says, and what was noted beside it.
pub fn report_line<C>(report: &error_stack::Report<C>) -> String {
    let noted = report.frames().filter_map(|frame| frame.downcast_ref::<String>());
    noted.fold(format!("{report:#}"), |line, note| format!("{line}; {note}"))
}

/// Seconds on the steady clock since the process started.
#[derive(Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    pub fn now(&self) -> f64 {
        self.0.elapsed().as_secs_f64()
    }

    pub fn instant_at(&self, at: f64) -> Instant {
        self.0 + Duration::from_secs_f64(at.clamp(0.0, 1e6))
    }
}

/// The text of the settings file that `ARCHLINK_CONFIG` names; an error names the file.
pub fn settings_text() -> io::Result<String> {
    let usual = || PathBuf::from("/etc/archlink/settings.json");
    let path = std::env::var_os("ARCHLINK_CONFIG").map_or_else(usual, PathBuf::from);
    let named = |e: io::Error| io::Error::new(e.kind(), format!("{}: {e}", path.display()));
    std::fs::read_to_string(&path).map_err(named)
}

/// Ends with SIGTERM; SIGHUP calls `again`.
pub fn until_terminated(again: impl Fn()) -> io::Result<impl Future<Output = ()>> {
    let mut term = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    Ok(async move {
        loop {
            tokio::select! {
                _ = term.recv() => return,
                _ = hangup.recv() => again(),
            }
        }
    })
}

/// A number that differs from start to start.
pub fn random_seed() -> u64 {
    RandomState::new().build_hasher().finish()
}

pub fn node_id(ip: Ipv4Addr) -> archlink_messages::NodeId {
    u32::from(ip)
}

pub fn node_address(node: archlink_messages::NodeId, port: u16) -> SocketAddr {
    SocketAddrV4::new(Ipv4Addr::from(node), port).into()
}

/// How long a peer may be silent to what was sent it before the connection counts as dead: a machine without power says
/// nothing, and what is kept for it would only come late.
const UNHEARD: Duration = Duration::from_millis(1500);
const CONNECT: Duration = Duration::from_millis(300);
/// A connection on which neither side has anything to say is asked after this whether the other end is there at all: the
/// ends of machines that lost power would fill the places of connections one by one.
const IDLE: Duration = Duration::from_secs(30);

pub fn configure_stream(stream: &TcpStream) {
    stream.set_nodelay(true).ok();
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNHEARD)).ok();
    socket.set_tcp_keepalive(&socket2::TcpKeepalive::new().with_time(IDLE)).ok();
}

/// Calls another process of the system.
pub async fn connect(to: SocketAddr) -> io::Result<Framed<TcpStream, MessageCodec>> {
    let stream = timeout(CONNECT, TcpStream::connect(to)).await??;
    configure_stream(&stream);
    Ok(Framed::new(stream, MessageCodec::default()))
}

/// Words on their way out of one connection; bounded, and full means that the peer doesn't read.
pub type MessageSender = mpsc::Sender<Message>;

/// Gives a connection's writing to a task of its own, which gathers what is there into one write; ends with either side.
pub fn split_connection(
    framed: Framed<TcpStream, MessageCodec>,
    most: usize,
) -> (MessageSender, impl futures_util::Stream<Item = io::Result<Message>>) {
    let FramedParts { io, read_buf, .. } = framed.into_parts();
    let (read, write) = io.into_split();
    let mut sink = tokio_util::codec::FramedWrite::new(write, MessageCodec::default());
    let mut source = tokio_util::codec::FramedRead::new(read, MessageCodec::default());
    *source.read_buffer_mut() = read_buf;
    let (out, mut words) = mpsc::channel::<Message>(most);
    spawn_local(async move {
        while let Some(word) = words.recv().await {
            let mut sent = sink.feed(&word).await;
            while let (Ok(()), Ok(word)) = (&sent, words.try_recv()) {
                sent = sink.feed(&word).await;
            }
            if sent.is_err() || sink.flush().await.is_err() {
                return;
            }
        }
    });
    (out, source)
}
