//! Detects that a client has disconnected while its request is processed.
//!
//! Meanwhile the connection is read ahead, up to a limit. Invariant: no byte that the client sent early is lost; bytes
//! that are read ahead stay in the read buffer for the codec.

use std::io;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_util::codec::Framed;

/// Interval of checks while the read-ahead limit is reached: the socket stays readable then, so waiting for readability
/// returns at once.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How the client disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// The client closed its sending side. Whether it still reads or has closed the whole connection shows only when
    /// something is written to it.
    Closed,
    /// The client reset the connection, so that nothing written to it arrives any more.
    Reset,
}

/// Waits until the client has disconnected. This function is cancel safe.
///
/// Reads ahead until `max_buffered` bytes are buffered. From then on it detects a close only if the operating system
/// reports it despite unread bytes (`EPOLLRDHUP`), and checks ten times a second.
pub async fn wait_for_disconnect<C>(framed: &mut Framed<TcpStream, C>, max_buffered: usize) -> Disconnect {
    loop {
        let Ok(ready) = framed.get_ref().ready(Interest::READABLE).await else { return Disconnect::Reset };
        if framed.read_buffer().len() >= max_buffered {
            if ready.is_read_closed() {
                return Disconnect::Closed;
            }
            sleep(POLL_INTERVAL).await;
            continue;
        }
        match read_ahead(framed) {
            Ok(0) => return Disconnect::Closed,
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return Disconnect::Reset,
        }
    }
}

/// Moves bytes that have arrived to the read buffer, without waiting; returns their number.
fn read_ahead<C>(framed: &mut Framed<TcpStream, C>) -> io::Result<usize> {
    let mut buffer = std::mem::take(framed.read_buffer_mut());
    let read = framed.get_ref().try_read_buf(&mut buffer);
    *framed.read_buffer_mut() = buffer;
    read
}
