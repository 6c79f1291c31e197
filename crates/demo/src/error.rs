//! Why the demo fails.

use std::fmt;

/// Why the system did not start, or did not do what was waited for.
#[derive(Debug)]
pub enum DemoError {
    /// A stand-in cannot listen on loopback.
    Listen {
        /// Which stand-in.
        stand_in: String,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// A node's settings were rejected.
    Settings {
        /// Name of the node.
        node: String,
        /// The report of `archlink_config`.
        report: String,
    },
    /// A node's thread has no runtime.
    Runtime {
        /// Name of the node.
        node: String,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// A node ended by itself.
    Node {
        /// Name of the node.
        node: String,
        /// The node's report.
        report: String,
    },
    /// What was waited for did not happen in time.
    Timeout {
        /// What was waited for.
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
            DemoError::Settings { node, report } => write!(f, "settings of {node}: {report}"),
            DemoError::Runtime { node, source } => write!(f, "{node} has no runtime: {source}"),
            DemoError::Node { node, report } => write!(f, "{node} ended: {report}"),
            DemoError::Timeout { condition } => write!(f, "not in time: {condition}"),
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
