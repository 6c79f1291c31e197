//! Datagrams to the other gateways. Sending never waits for the network: what cannot go at once is lost, as any datagram
//! may be. The admission module takes no messages from peers, so what arrives is read and dropped.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

/// Longest message that the protocol allows, in bytes.
const MAX_MESSAGE: usize = 256;
/// Wait after a failed read, so that a lasting error does not spin.
const READ_ERROR_PAUSE: Duration = Duration::from_secs(1);

/// The socket and the addresses of the other gateways.
pub struct Peers {
    socket: UdpSocket,
    addresses: Vec<SocketAddr>,
    broadcast: Option<SocketAddr>,
}

impl Peers {
    /// Binds the socket. `addresses` are in the order of the gateways' numbers; `broadcast` reaches all of them.
    pub async fn open(
        listen: SocketAddr,
        addresses: Vec<SocketAddr>,
        broadcast: Option<SocketAddr>,
    ) -> io::Result<Peers> {
        Ok(Peers { socket: UdpSocket::bind(listen).await?, addresses, broadcast })
    }

    /// Sends to one gateway, or to all. A message that is too long is dropped.
    pub fn send(&self, gateway: Option<u32>, payload: &[u8]) {
        let address = match gateway {
            Some(number) => self.addresses.get(number as usize).copied(),
            None => self.broadcast,
        };
        if let Some(address) = address.filter(|_| payload.len() <= MAX_MESSAGE) {
            self.socket.try_send_to(payload, address).ok();
        }
    }

    /// Reads and drops what arrives; never ends.
    pub async fn discard_received(&self) {
        let mut buffer = [0; MAX_MESSAGE];
        loop {
            if let Err(e) = self.socket.recv_from(&mut buffer).await {
                log::debug!("peers: {e}");
                tokio::time::sleep(READ_ERROR_PAUSE).await;
            }
        }
    }
}
