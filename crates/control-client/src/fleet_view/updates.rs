//! Application of state updates to a fleet view. An update that is not newer than what is present changes nothing.

use super::{FleetView, InvalidUpdate, MAX_KNOWN_CONTROL_NODES, ViewChange};
use archlink_config::Configuration;
use archlink_messages::{
    ControlNode, HostList, NodeId, Register, StateUpdate, decode_evacuated_zones, node_set_fingerprint, patch,
};
use std::io;
use std::rc::Rc;

/// The `base` of a complete configuration, which is not compressed against another one.
const NO_BASE: u64 = 0;
/// The revision that stands for no host list in a version vector.
const NO_HOST_LIST: (u64, u64) = (0, 0);

impl FleetView {
    pub(super) fn apply_update(&mut self, now: f64, update: StateUpdate) -> Option<ViewChange> {
        match update {
            StateUpdate::ConfigurationPatch { ordering_key, base, patch }
                if ordering_key > self.versions.configuration =>
            {
                self.patch_configuration(now, ordering_key, base, &patch)
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
            // A patch against another list than the present one was made for an earlier request; the list is requested
            // again on the next heartbeat.
            StateUpdate::HostListPatch { revision, base, patch }
                if revision > self.versions.hosts && base == self.versions.hosts =>
            {
                Some(self.patch_host_list(revision, &patch))
            }
            StateUpdate::ControlNodes(control_nodes) => Some(self.set_control_nodes(control_nodes)),
            StateUpdate::DataNodes(data_nodes) => Some(self.set_data_nodes(data_nodes)),
            _ => None,
        }
    }

    /// Decompresses and parses a configuration and replaces the present one. `base` is the ordering key of the
    /// configuration that the patch is compressed against.
    fn patch_configuration(
        &mut self,
        now: f64,
        ordering_key: u64,
        base: u64,
        patch: &[u8],
    ) -> Option<ViewChange> {
        if base != NO_BASE && base != self.versions.configuration {
            // Made for an earlier request; the configuration is requested again on the next heartbeat.
            return None;
        }
        let base_text: &[u8] = if base == NO_BASE { b"" } else { &self.configuration_text };
        let text = match patch::decompress(patch, base_text) {
            Ok(text) => text,
            Err(error) => return Some(InvalidUpdate::ConfigurationPatch(error.to_string()).into()),
        };
        match Configuration::read(&text) {
            Ok(configuration) => {
                self.configuration_text = text;
                self.versions.configuration = ordering_key;
                self.configuration = Some(Rc::new(configuration));
                self.configuration_change(now)
            }
            Err(report) => Some(InvalidUpdate::Configuration(report.current_context().clone()).into()),
        }
    }

    /// Replaces the host list by the one that results from a patch against it.
    fn patch_host_list(&mut self, revision: (u64, u64), patch: &[u8]) -> ViewChange {
        match self.decompress_host_list(patch) {
            Ok((hosts, bytes)) if hosts.revision() == revision => {
                (self.host_list, self.versions.hosts) = (bytes, revision);
                ViewChange::HostList(hosts)
            }
            // Without a revision here, the complete list is requested.
            _ => {
                self.versions.hosts = NO_HOST_LIST;
                InvalidUpdate::HostListPatch.into()
            }
        }
    }

    /// Returns the host list that results from a patch against the present one, and its encoding.
    fn decompress_host_list(&self, patch: &[u8]) -> io::Result<(HostList, Vec<u8>)> {
        let bytes = patch::decompress(patch, &self.host_list)?;
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
