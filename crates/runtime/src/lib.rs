//! Operating system facilities that the control plane and the data plane share: logging, a monotonic clock, the
//! settings file, signals, random seeds, supervision of tasks, and connections between the system's own processes.
//!
//! This package takes no decisions. The cores get time and messages from the drivers, which use this package.

mod clock;
mod logging;
mod node_address;
mod peer_connection;
mod random_seed;
mod settings_file;
mod signals;
mod supervision;

pub use clock::Clock;
pub use logging::{log_to_stderr, report_line};
pub use node_address::{node_address, node_id};
pub use peer_connection::{MessageSender, configure_stream, connect, split_connection};
pub use random_seed::random_seed;
pub use settings_file::{SettingsFileError, settings_text};
pub use signals::until_terminated;
pub use supervision::restart_on_panic;
