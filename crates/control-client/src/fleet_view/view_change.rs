//! What an event changed in a fleet view, for those who act on it.

use archlink_config::{ConfigError, Configuration};
use archlink_messages::HostList;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

/// What an event changed in a fleet view.
#[derive(Clone, Debug)]
pub enum ViewChange {
    /// This configuration is in force.
    Configuration(Rc<Configuration>),
    /// These zones are evacuated.
    EvacuatedZones(BTreeSet<String>),
    /// These are the hosts.
    HostList(HostList),
    /// The set of data nodes changed.
    DataNodes,
    /// The set of control nodes changed.
    ControlNodes,
    /// A singleton role has a new lease.
    Leases,
    /// `FleetView::is_confirmed` changed.
    ConfirmationChanged,
    /// An update can't be used.
    InvalidUpdate(InvalidUpdate),
}

impl ViewChange {
    /// The change as one line for the log.
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

/// Why an update can't be used. The view keeps what it has.
#[derive(Clone, Debug)]
pub enum InvalidUpdate {
    /// The patch for the list of hosts is damaged or yields another version; the whole list is requested.
    HostListPatch,
    /// The configuration can't be unpacked, for this reason.
    PackedConfiguration(String),
    /// The configuration is not valid, though control nodes chose it.
    Configuration(ConfigError),
}

impl fmt::Display for InvalidUpdate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidUpdate::HostListPatch => {
                f.write_str("a change of the list of hosts can't be read; the whole is asked for")
            }
            InvalidUpdate::PackedConfiguration(reason) => {
                write!(f, "a configuration can't be unpacked: {reason}")
            }
            InvalidUpdate::Configuration(error) => {
                write!(f, "a configuration that was chosen can't be read: {error}")
            }
        }
    }
}

impl std::error::Error for InvalidUpdate {}
