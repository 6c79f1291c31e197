//! State updates for data nodes. The configuration and the host list are sent as patches against the revision
//! that the data node has, if that revision is stored here, and complete otherwise.

use crate::node::ControlNodeState;
use crate::patch_cache::PatchCache;
use archlink_messages::{AcceptedValue, HostList, Register, StateUpdate, VersionVector};

/// Recent configurations and host lists, which serve as bases of patches.
#[derive(Default)]
pub struct UpdateDelivery {
    /// By ordering key ([`AcceptedValue::ordering_key`]).
    configurations: PatchCache<u64>,
    /// By revision ([`HostList::revision`]): term and version.
    host_lists: PatchCache<(u64, u64)>,
}

impl UpdateDelivery {
    /// Records a newly committed configuration: the ordering key of its value and its decompressed text.
    pub fn configuration_learned(&mut self, ordering_key: u64, text: Vec<u8>) {
        self.configurations.insert(ordering_key, text);
    }

    /// Returns the updates that a data node with this version vector lacks, as patches where possible. `now`
    /// is local time in seconds.
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

    /// Returns a configuration as a patch against `base`; `base: 0` marks a complete configuration. It is
    /// sent complete also if the newest text stored here is not that of `value`, since patches lead to the
    /// newest text.
    fn configuration_patch(&mut self, value: AcceptedValue, base: u64) -> StateUpdate {
        let ordering_key = value.ordering_key();
        let is_newest = self.configurations.newest() == Some(ordering_key);
        match self.configurations.patch(base).filter(|_| is_newest) {
            Some(patch) => StateUpdate::ConfigurationPatch { ordering_key, base, patch },
            None => StateUpdate::ConfigurationPatch { ordering_key, base: 0, patch: value.value },
        }
    }

    /// Returns a host list as a patch against the revision `base`, or complete if that is not stored here.
    fn host_list_patch(&mut self, hosts: HostList, base: (u64, u64)) -> StateUpdate {
        let revision = hosts.revision();
        if self.host_lists.newest() != Some(revision) {
            self.host_lists.insert(revision, hosts.to_bytes());
        }
        match self.host_lists.patch(base) {
            Some(patch) => StateUpdate::HostListPatch { revision, base, patch },
            None => StateUpdate::HostList(hosts),
        }
    }
}
