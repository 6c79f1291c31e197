//! The list of hosts as host discovery publishes it.

use crate::CodecError;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddrV4;

/// One host in one incarnation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostInstance {
    /// The platform's id of this incarnation.
    pub id: String,
    /// The service that the host runs.
    pub service: String,
    /// The address at which it serves requests.
    pub address: SocketAddrV4,
    /// The zone in which it runs.
    pub zone: String,
    /// Its capacity as stated by the platform.
    pub capacity: u32,
    /// Whether it is draining and gets no new requests.
    pub draining: bool,
    /// The remaining seconds of its warm-up.
    pub warm_up_seconds: f32,
}

/// One revision of the list of hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// The lease term of the host discovery that produced the list.
    pub term: u64,
    /// Grows with each change within the term.
    pub version: u64,
    /// The hosts.
    pub instances: Vec<HostInstance>,
}

impl HostList {
    /// Returns term and version, which order each list before the next one, also across terms.
    pub fn revision(&self) -> (u64, u64) {
        (self.term, self.version)
    }

    /// Returns the encoded list. Invariant: equal lists have equal bytes, since patches are made between encoded lists.
    pub fn to_bytes(&self) -> Vec<u8> {
        // Cannot fail: the vector grows as needed, and postcard rejects only sequences of unknown length, of which the
        // list has none.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the output of [`to_bytes`](Self::to_bytes).
    ///
    /// # Errors
    /// [`io::ErrorKind::InvalidData`] with a [`CodecError`] inside, if the bytes are not an encoded list.
    pub fn from_bytes(bytes: &[u8]) -> io::Result<HostList> {
        postcard::from_bytes(bytes).map_err(|error| CodecError::Decode(error).into())
    }
}
