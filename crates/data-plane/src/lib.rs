//! The data plane: receives clients' requests, enforces quotas, selects hosts, sends the requests to them and relays the
//! responses.
//!
//! [`serve`] runs one data node. `request` has the stages of a request in their order and calls the other modules:
//!
//! | concern | module |
//! | --- | --- |
//! | client connections | `listener`, `client_connection`, `client_server`, `client_presence` |
//! | stages of a request | `request`, `routing`, `host_selection`, `quota_enforcement`, `dispatch`, `local_reply` |
//! | decisions on attempts, without I/O | `attempts`, `attempt_progress`, `hedge`, `deadline` |
//! | attempts at hosts | `attempt_task`, `upstream` |
//! | header names and values | `protocol` |
//! | state that all requests share | `data_plane`, `quota_state`, `view_changes` |
//! | sessions with control nodes and the quota counter | `control_session`, `session_connections`, `counter_session` |
//! | readiness and metrics | `status`, `metrics` |
//! | start and shutdown | `server` |

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
mod local_reply;
mod metrics;
mod protocol;
mod quota_enforcement;
mod quota_state;
mod request;
mod routing;
mod server;
mod session_connections;
mod status;
mod upstream;
mod view_changes;

#[cfg(test)]
mod tests;

pub use error::{DataPlaneError, DataPlaneResult};
pub use server::{read_settings, serve};
