//! One control node without I/O, above `archlink-consensus`: messages, ticks and completed disk writes go in,
//! effects come out. The caller reads the clock, owns the sockets and performs the effects.
//!
//! - [`node`]: [`node::ControlNodeState`], the whole life of a control node. Start reading here.
//! - [`registry`]: which control and data nodes exist, and the sessions between them.
//! - [`event_log`]: the events that change the registry and the host list, and the views folded from them.
//! - [`update_delivery`]: state updates for data nodes, as patches where possible.
//!
//! All times are `f64` seconds of one local monotonic clock; the cluster clock is the exception and is named
//! as such.

mod event;
pub mod event_log;
pub mod node;
mod patch_cache;
pub mod registry;
pub mod update_delivery;
