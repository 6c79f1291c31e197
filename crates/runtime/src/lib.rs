//! What both programs of the system need from the operating system at their start: logging, a monotonic clock, the
//! settings file, signals, and connections between the system's own processes.
//!
//! Nothing is decided here; the cores get time and messages from the drivers that use this package.

mod clock;
mod logging;
mod node_address;
mod peer_connection;
mod random_seed;
mod settings_file;
mod signals;

pub use clock::Clock;
pub use logging::{log_to_stderr, report_line};
pub use node_address::{node_address, node_id};
pub use peer_connection::{MessageSender, configure_stream, connect, split_connection};
pub use random_seed::random_seed;
pub use settings_file::{SettingsFileError, settings_text};
pub use signals::until_terminated;
