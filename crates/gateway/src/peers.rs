//! Datagrams to the other gateways. Sending never blocks: a datagram that cannot be sent at once is dropped, as any
//! datagram may be lost. The admission module accepts no messages from peers, so received ones are read and dropped.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Longest message that the protocol allows, in bytes.
const MAX_MESSAGE_BYTES: usize = 256;
/// Pause after a failed read, so that a persistent error does not cause a busy loop.
const READ_ERROR_PAUSE: Duration = Duration::from_secs(1);

/// The socket and the addresses of the other gateways.
pub struct Peers {
    socket: UdpSocket,
    addresses: Vec<SocketAddr>,
    broadcast: Option<SocketAddr>,
}

impl Peers {
    /// Binds the socket. `addresses` are in the order of the gateway numbers; `broadcast` reaches all gateways.
    pub async fn open(
        listen: SocketAddr,
        addresses: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
    ) -> io::Result<Peers> {
        Ok(Peers { socket: UdpSocket::bind(listen).await?, addresses, broadcast })
    }

    /// Sends a message to one gateway, or to all if `gateway` is `None`. A message that is too long is dropped.
    pub fn send(&self, gateway: Option<u32>, payload: &[u8]) {
        let address = match gateway {
            Some(number) => self.addresses.get(number as usize).copied(),
            None => self.broadcast,
        };
        if let Some(address) = address.filter(|_| payload.len() <= MAX_MESSAGE_BYTES) {
            self.socket.try_send_to(payload, address).ok();
        }
    }

    /// Reads and drops received datagrams; never returns.
    pub async fn discard_received(&self) {
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        loop {
            if let Err(error) = self.socket.recv_from(&mut buffer).await {
                log::debug!("peers: cannot receive: {error}");
                tokio::time::sleep(READ_ERROR_PAUSE).await;
            }
        }
    }
}
