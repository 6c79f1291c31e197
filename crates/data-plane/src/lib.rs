//! The data plane: takes clients' requests in, checks them against quotas, selects a host, carries the attempts and
//! relays the response.
//!
//! [`serve`] runs one data node. A request's way is in `request`, stage by stage; the modules that it calls:
//!
//! | concern | module |
//! | --- | --- |
//! | clients' sockets | `listener`, `client_connection`, `client_server` |
//! | stages of a request | `request`, `routing`, `admission`, `host_selection`, `dispatch` |
//! | decisions on attempts, without I/O | `attempts`, `attempt_progress`, `hedge`, `deadline` |
//! | attempts on hosts' connections | `attempt_task`, `upstream` |
//! | state for all requests | `data_plane`, `quota_state`, `view_changes`, `client_presence` |
//! | other nodes of the system | `control_session`, `counter_session` |
//! | operators and the platform | `status`, `metrics` |

mod admission;
mod attempt_progress;
mod attempt_task;
mod attempts;
mod client_connection;
mod client_presence;
mod client_server;
mod control_session;
mod counter_session;
mod data_plane;
mod deadline;
mod dispatch;
mod error;
mod hedge;
mod host_selection;
mod listener;
mod metrics;
mod protocol;
mod quota_state;
mod rejection;
mod request;
mod routing;
mod server;
mod status;
mod upstream;
mod view_changes;

#[cfg(test)]
mod tests;

pub use error::{DataPlaneError, DataPlaneResult};
pub use server::{read_settings, serve};
