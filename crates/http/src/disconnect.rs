//! Notices that the other end of a connection has gone while a request of its own is at work. Owns how far is read ahead
//! meanwhile. Never loses a byte of a request that was sent early: what is read ahead stays in the connection's buffer, for
//! the codec.

use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_util::codec::Framed;

/// Between two looks at a connection of which no more may be read ahead.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// How the other end went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    /// It ended its sending side. A peer that still reads, and one that closed the whole connection, look the same until
    /// something is written to them.
    Closed,
    /// It reset the connection: nothing written to it arrives any more.
    Reset,
}

/// Ends once the other end has gone. Reads ahead until `most` bytes are buffered; from then on only a close that the
/// system itself reports beside unread bytes is seen, and looked for ten times a second. May be dropped at any point.
pub async fn wait_for_disconnect<C>(framed: &mut Framed<TcpStream, C>, most: usize) -> Disconnect {
    loop {
        let Ok(ready) = framed.get_ref().ready(Interest::READABLE).await else { return Disconnect::Reset };
        if framed.read_buffer().len() >= most {
            if ready.is_read_closed() {
                return Disconnect::Closed;
            }
            sleep(LOOK_EVERY).await;
            continue;
        }
        let mut buffer = std::mem::take(framed.read_buffer_mut());
        let read = framed.get_ref().try_read_buf(&mut buffer);
        *framed.read_buffer_mut() = buffer;
        match read {
            Ok(0) => return Disconnect::Closed,
            Ok(_) => {}
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return Disconnect::Reset,
        }
    }
}
