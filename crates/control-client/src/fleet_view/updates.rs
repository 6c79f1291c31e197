//! State updates applied to a fleet view. An update that is not newer than what is present changes nothing.

use super::{FleetView, InvalidUpdate, MAX_KNOWN_CONTROL_NODES, ViewChange};
use archlink_config::Configuration;
use archlink_messages::{
    ControlNode, HostList, NodeId, Register, StateUpdate, decode_evacuated_zones, node_set_fingerprint, patch,
};
use std::io;
use std::rc::Rc;

/// `base` of a configuration that is packed against no other.
const NO_BASE: u64 = 0;
/// Version of a list of hosts that is not present.
const NO_HOST_LIST: (u64, u64) = (0, 0);

impl FleetView {
    pub(super) fn apply_update(&mut self, now: f64, update: StateUpdate) -> Option<ViewChange> {
        match update {
            StateUpdate::ConfigurationPatch { ordering_key: stamp, base, patch: packed }
                if stamp > self.versions.configuration =>
            {
                self.patch_configuration(now, stamp, base, &packed)
            }
            StateUpdate::Chosen(Register::Evacuations, accepted)
                if accepted.ordering_key() > self.versions.evacuations =>
            {
                self.versions.evacuations = accepted.ordering_key();
                Some(ViewChange::EvacuatedZones(decode_evacuated_zones(&accepted.value)))
            }
            StateUpdate::HostList(hosts) if hosts.revision() > self.versions.hosts => {
                (self.host_list, self.versions.hosts) = (hosts.to_bytes(), hosts.revision());
                Some(ViewChange::HostList(hosts))
            }
            // A patch against another list than the present one was made for an earlier request: the next heartbeat has the
            // list requested again.
            StateUpdate::HostListPatch { revision: stamp, base, patch: packed }
                if stamp > self.versions.hosts && base == self.versions.hosts =>
            {
                Some(self.patch_hosts(stamp, &packed))
            }
            StateUpdate::ControlNodes(control_nodes) => Some(self.set_control_nodes(control_nodes)),
            StateUpdate::DataNodes(data_nodes) => Some(self.set_data_nodes(data_nodes)),
            _ => None,
        }
    }

    /// Unpacks, parses and takes up a configuration. `base` is the version that it is packed against.
    fn patch_configuration(
        &mut self,
        now: f64,
        version: u64,
        base: u64,
        packed: &[u8],
    ) -> Option<ViewChange> {
        if base != NO_BASE && base != self.versions.configuration {
            // Made for the version of an earlier request: the next heartbeat has it requested again.
            return None;
        }
        let base_text: &[u8] = if base == NO_BASE { b"" } else { &self.configuration_text };
        let text = match patch::decompress(packed, base_text) {
            Ok(text) => text,
            Err(e) => return Some(InvalidUpdate::PackedConfiguration(e.to_string()).into()),
        };
        match Configuration::read(&text) {
            Ok(configuration) => {
                self.configuration_text = text;
                self.versions.configuration = version;
                self.configuration = Some(Rc::new(configuration));
                self.configuration_change(now)
            }
            Err(e) => Some(InvalidUpdate::Configuration(e.current_context().clone()).into()),
        }
    }

    /// Unpacks and takes up a list of hosts that is packed against the present one.
    fn patch_hosts(&mut self, version: (u64, u64), packed: &[u8]) -> ViewChange {
        match self.unpack_hosts(packed) {
            Ok((hosts, bytes)) if hosts.revision() == version => {
                (self.host_list, self.versions.hosts) = (bytes, version);
                ViewChange::HostList(hosts)
            }
            // Without a version the whole list is requested.
            _ => {
                self.versions.hosts = NO_HOST_LIST;
                InvalidUpdate::HostListPatch.into()
            }
        }
    }

    /// A list of hosts and its bytes.
    fn unpack_hosts(&self, packed: &[u8]) -> io::Result<(HostList, Vec<u8>)> {
        let bytes = patch::decompress(packed, &self.host_list)?;
        Ok((HostList::from_bytes(&bytes)?, bytes))
    }

    fn set_control_nodes(&mut self, control_nodes: Vec<ControlNode>) -> ViewChange {
        let is_listed = |node: NodeId| control_nodes.iter().any(|listed| listed.node == node);
        self.known_control_nodes.retain(|known| !is_listed(*known));
        self.known_control_nodes.extend(control_nodes.iter().map(|listed| listed.node));
        let excess = self.known_control_nodes.len().saturating_sub(MAX_KNOWN_CONTROL_NODES);
        self.known_control_nodes.drain(..excess);
        self.versions.control_nodes = node_set_fingerprint(control_nodes.iter().map(|listed| listed.node));
        self.control_nodes = control_nodes;
        ViewChange::ControlNodes
    }

    fn set_data_nodes(&mut self, data_nodes: Vec<NodeId>) -> ViewChange {
        self.versions.data_nodes = node_set_fingerprint(data_nodes.iter().copied());
        self.data_nodes = data_nodes;
        ViewChange::DataNodes
    }
}
