//! Datagrams to the other gateways of the tier. Owns their addresses and the bound on a message. Must never wait for
//! the network: what cannot go at once is lost, as any datagram may be. The module asks for no words from others, so
//! what arrives is taken off the socket and dropped.

use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// The longest message that the protocol allows.
const MOST_BYTES: usize = 256;

pub struct Peers {
    socket: UdpSocket,
    each: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl Peers {
    pub async fn open(
        own: SocketAddr,
        each: Vec<SocketAddr>,
        all: Option<SocketAddr>,
    ) -> std::io::Result<Peers> {
        Ok(Peers { socket: UdpSocket::bind(own).await?, each, all })
    }

    pub fn tell(&self, gateway: Option<u32>, words: &[u8]) {
        let to = match gateway {
            Some(number) => self.each.get(number as usize).copied(),
            None => self.all,
        };
        if let Some(to) = to.filter(|_| words.len() <= MOST_BYTES) {
            self.socket.try_send_to(words, to).ok();
        }
    }

    pub async fn drain(&self) {
        let mut buffer = [0; MOST_BYTES];
        loop {
            if let Err(e) = self.socket.recv_from(&mut buffer).await {
                log::debug!("peers: {e}");
                tokio::time::sleep(std::time::Duration::from_secs(1)).await;
            }
        }
    }
}
