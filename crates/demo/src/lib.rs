//! The complete system in one process, on loopback addresses: control nodes and data nodes on threads of their own, and
//! stand-ins for the platform and for hosts, written from the public protocol alone.
//!
//! Invariant: nothing reaches into a node; what is observed is observed on sockets.

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

/// Locks, also after a thread panicked: each critical section leaves the data consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
