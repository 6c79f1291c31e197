//! State updates for data nodes: the configuration and the host list go out as patches against the revision
//! that the data node has, where that is known here, and complete otherwise.

use crate::node::ControlNodeState;
use crate::patch_cache::PatchCache;
use archlink_messages::{AcceptedValue, HostList, Register, StateUpdate, VersionVector};

/// Recent configurations and host lists, as bases of patches.
#[derive(Default)]
pub struct UpdateDelivery {
    /// By ordering key ([`AcceptedValue::ordering_key`]).
    configurations: PatchCache<u64>,
    /// By revision ([`HostList::revision`]): term and version.
    host_lists: PatchCache<(u64, u64)>,
}

impl UpdateDelivery {
    /// Records the configuration that was just learned: the ordering key of its value and its decompressed
    /// text.
    pub fn configuration_learned(&mut self, ordering_key: u64, text: Vec<u8>) {
        self.configurations.insert(ordering_key, text);
    }

    /// The updates that a data node with that version vector lacks, each as small as can be. `now` is local
    /// time in seconds.
    pub fn updates_for(
        &mut self,
        now: f64,
        control_node: &ControlNodeState,
        versions: &VersionVector,
    ) -> Vec<StateUpdate> {
        let updates = control_node.updates_for(now, versions, false);
        updates.into_iter().map(|update| self.as_patch(update, versions)).collect()
    }

    fn as_patch(&mut self, update: StateUpdate, versions: &VersionVector) -> StateUpdate {
        match update {
            StateUpdate::Chosen(Register::Configuration, value) => {
                self.configuration_patch(value, versions.configuration)
            }
            StateUpdate::HostList(hosts) => self.host_list_patch(hosts, versions.hosts),
            other => other,
        }
    }

    /// `base: 0` marks a complete configuration. That goes out also where the newest text stored here is
    /// another one than `value`, since patches lead to the newest text.
    fn configuration_patch(&mut self, value: AcceptedValue, base: u64) -> StateUpdate {
        let stamp = value.ordering_key();
        let is_newest = self.configurations.newest() == Some(stamp);
        match self.configurations.patch(base).filter(|_| is_newest) {
            Some(packed) => StateUpdate::ConfigurationPatch { ordering_key: stamp, base, patch: packed },
            None => StateUpdate::ConfigurationPatch { ordering_key: stamp, base: 0, patch: value.value },
        }
    }

    fn host_list_patch(&mut self, hosts: HostList, base: (u64, u64)) -> StateUpdate {
        let stamp = hosts.revision();
        if self.host_lists.newest() != Some(stamp) {
            self.host_lists.insert(stamp, hosts.to_bytes());
        }
        match self.host_lists.patch(base) {
            Some(packed) => StateUpdate::HostListPatch { revision: stamp, base, patch: packed },
            None => StateUpdate::HostList(hosts),
        }
    }
}
