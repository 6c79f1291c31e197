//! Notices that a client has disconnected while its request is processed.
//!
//! The connection is read ahead meanwhile, up to a limit. Invariant: no byte that was sent early is lost; what is read ahead
//! stays in the read buffer, for the codec.

use std::io;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_util::codec::Framed;

/// Time between two checks of a connection of which no more may be read ahead: its socket stays readable, so there is
/// nothing to wait for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// How the client disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// It closed its sending side. A client that still reads and one that closed the whole connection look the same until
    /// something is written to them.
    Closed,
    /// It reset the connection: nothing written to it arrives any more.
    Reset,
}

/// Waits until the client has disconnected; cancel safe.
///
/// Reads ahead until `max_buffered` bytes are buffered. From then on only a close is noticed that the system itself reports
/// beside unread bytes (`EPOLLRDHUP`), at ten checks a second.
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

/// Moves bytes that have arrived to the read buffer.
fn read_ahead<C>(framed: &mut Framed<TcpStream, C>) -> io::Result<usize> {
    let mut buffer = std::mem::take(framed.read_buffer_mut());
    let read = framed.get_ref().try_read_buf(&mut buffer);
    *framed.read_buffer_mut() = buffer;
    read
}
