//! The changes that an event makes to a fleet view, for the code that acts on them.

use archlink_config::{ConfigError, Configuration};
use archlink_messages::HostList;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

/// A change that an event made to a fleet view.
#[derive(Clone, Debug)]
pub enum ViewChange {
    /// This configuration is in force.
    Configuration(Rc<Configuration>),
    /// These zones are evacuated.
    EvacuatedZones(BTreeSet<String>),
    /// This is the host list.
    HostList(HostList),
    /// The set of data nodes changed.
    DataNodes,
    /// The set of control nodes changed.
    ControlNodes,
    /// A singleton role has a new lease.
    Leases,
    /// The result of `FleetView::is_confirmed` changed.
    ConfirmationChanged,
    /// An update was rejected.
    InvalidUpdate(InvalidUpdate),
}

impl ViewChange {
    /// Describes the change in one line for the log.
    pub fn describe(&self) -> String {
        match self {
            ViewChange::Configuration(configuration) => {
                format!("configuration {:08x} is in force", configuration.version)
            }
            ViewChange::EvacuatedZones(zones) => format!("evacuated zones: {zones:?}"),
            ViewChange::HostList(hosts) => {
                format!("list {}.{}: {} hosts", hosts.term, hosts.version, hosts.instances.len())
            }
            ViewChange::DataNodes => "data nodes changed".to_string(),
            ViewChange::ControlNodes => "control nodes changed".to_string(),
            ViewChange::Leases => "lease granted".to_string(),
            ViewChange::ConfirmationChanged => "confirmation gained or expired".to_string(),
            ViewChange::InvalidUpdate(reason) => reason.to_string(),
        }
    }
}

impl From<InvalidUpdate> for ViewChange {
    fn from(reason: InvalidUpdate) -> ViewChange {
        ViewChange::InvalidUpdate(reason)
    }
}

/// Why an update was rejected. The configuration or host list in the view stays as it is.
#[derive(Clone, Debug)]
pub enum InvalidUpdate {
    /// The patch of the host list is damaged or results in another revision; the complete list is requested.
    HostListPatch,
    /// The configuration can't be decompressed, for this reason.
    ConfigurationPatch(String),
    /// The configuration is not valid, although it was chosen by the control nodes.
    Configuration(ConfigError),
}

impl fmt::Display for InvalidUpdate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidUpdate::HostListPatch => {
                f.write_str("the host list patch can't be applied; the complete list is requested")
            }
            InvalidUpdate::ConfigurationPatch(reason) => {
                write!(f, "the configuration can't be decompressed: {reason}")
            }
            InvalidUpdate::Configuration(error) => {
                write!(f, "the chosen configuration is not valid: {error}")
            }
        }
    }
}

impl std::error::Error for InvalidUpdate {}
