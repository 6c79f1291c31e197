//! The complete system in one process on loopback addresses: control nodes and data nodes on separate threads, and stand-ins
//! for the platform and the hosts, which implement only the public protocol.
//!
//! Invariant: no code accesses the internals of a node; everything is observed on sockets.

mod configuration;
mod error;
mod host;
pub mod http;
mod node_thread;
mod platform;
mod system;

pub use configuration::configuration;
pub use error::DemoError;
pub use host::{Host, HostBehavior, ReceivedRequest};
pub use platform::Platform;
pub use system::{DemoSystem, FirstStart, NodeKind};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, even a poisoned one: each critical section leaves the data consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
