//! The operators' and clients' HTTP interface of a control node: calls, their answers, and what is checked before anything
//! is proposed.

pub mod calls;
pub mod commands;
pub mod configuration;
pub mod queries;
pub mod response_names;
pub mod responses;
pub mod server;
pub mod voters;
