//! The state machine of one control node, without I/O, built on `archlink-consensus`. The input is messages,
//! ticks, operators' changes and the completion of disk writes, which arrives as a message of the node to
//! itself; the output is effects. The caller reads the clock, owns the sockets and the disk, and performs the
//! effects.
//!
//! - [`node`]: [`node::ControlNodeState`], the control node as a whole. Start reading here.
//! - [`registry`]: which control and data nodes exist, and the sessions between them.
//! - [`event_log`]: the events that change the registry and the host list, and the views folded from them.
//! - [`update_delivery`]: state updates for data nodes, as patches where possible.
//!
//! All times are `f64` seconds of one local monotonic clock, except for the cluster clock, which is named as
//! such.

mod event;
pub mod event_log;
pub mod node;
mod patch_cache;
pub mod registry;
pub mod update_delivery;
