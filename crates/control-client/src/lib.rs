//! A data node's side of the control protocol: its view of the fleet, and its session with one control node.
//!
//! - [`fleet_view::FleetView`] holds what the data node knows: configuration, hosts, nodes, lease holders, cluster clock.
//! - [`session::Session`] decides which control node to connect to, when to send heartbeats, what to request, and when to
//!   switch to another control node.
//!
//! Neither does I/O nor reads a clock. A driver passes in the time and the messages, and performs the actions that are
//! returned. Tests run a hundred data nodes against the control nodes' own code in simulated time.

pub mod fleet_view;
pub mod session;
