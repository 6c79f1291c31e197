//! The HTTP interface of a control node for operators and clients: calls, their responses, and the validation before anything
//! is proposed.

pub mod calls;
pub mod commands;
pub mod configuration;
pub mod queries;
pub mod response_names;
pub mod responses;
pub mod server;
pub mod voters;
