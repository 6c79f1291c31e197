//! The errors of the demo.

use std::fmt;

/// Why the system did not start or an expected condition was not met.
#[derive(Debug)]
pub enum DemoError {
    /// A stand-in cannot listen on loopback.
    Listen {
        /// The stand-in that can't listen.
        stand_in: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A node's settings were rejected.
    Settings {
        /// Name of the node.
        node: String,
        /// The error report of `archlink_config`.
        report: String,
    },
    /// A node's async runtime could not be started.
    Runtime {
        /// Name of the node.
        node: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A node ended with an error.
    Node {
        /// Name of the node.
        node: String,
        /// The node's error report.
        report: String,
    },
    /// A condition was not met in time.
    Timeout {
        /// The condition.
        condition: String,
    },
    /// A data node closed the connection without a response.
    NoResponse {
        /// Index of the data node.
        data_node: usize,
    },
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DemoError::Listen { stand_in, source } => {
                write!(f, "{stand_in} can't listen on loopback: {source}")
            }
            DemoError::Settings { node, report } => write!(f, "settings of {node} were rejected: {report}"),
            DemoError::Runtime { node, source } => write!(f, "{node} can't start its runtime: {source}"),
            DemoError::Node { node, report } => write!(f, "{node} failed: {report}"),
            DemoError::Timeout { condition } => write!(f, "timed out while waiting until {condition}"),
            DemoError::NoResponse { data_node } => write!(f, "no response from data node {data_node}"),
        }
    }
}

impl std::error::Error for DemoError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            DemoError::Listen { source, .. } | DemoError::Runtime { source, .. } => Some(source),
            _ => None,
        }
    }
}
