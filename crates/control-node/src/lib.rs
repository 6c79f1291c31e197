//! One control node as a whole, free of I/O: it is handed messages, ticks and disk results and gives back effects. `node`
//! shows its whole life; `registry` and `event_log` hold what it knows of other nodes, `update_delivery` what a data node is
//! sent of that.
#![forbid(unsafe_code)]

pub mod event_log;
pub mod node;
mod patch_cache;
pub mod registry;
pub mod update_delivery;
