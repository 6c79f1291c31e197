//! A data gateway's core beside its requests: what it knows of configuration, hosts, gateways and duties (`views`, folded
//! from a journal of what happened), and the session with a control gateway from which it hears all that (`session`). Each
//! is handed time and words and gives back what to do; neither does I/O or reads a clock, so that a hundred of them can be
//! played against the control plane's cores.
#![forbid(unsafe_code)]

pub mod fleet_view;
pub mod session;
