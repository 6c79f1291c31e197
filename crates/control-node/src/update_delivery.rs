//! What a data gateway is told of what it lacks, in as few bytes as can be: the configuration and the list of hosts as
//! patches on those that it holds. Owns the texts that patches are made on. Must never leave out what was lacking.

use crate::node::ControlNodeState;
use crate::patch_cache::PatchCache;
use archlink_messages::{Register, StateUpdate, VersionVector};

#[derive(Default)]
pub struct UpdateDelivery {
    configurations: PatchCache<u64>,
    lists: PatchCache<(u64, u64)>,
}

impl UpdateDelivery {
    /// A configuration came into force; the order of its value (`Held::order`) and its text, unpacked.
    pub fn configuration_learned(&mut self, stamp: u64, text: Vec<u8>) {
        self.configurations.insert(stamp, text);
    }

    /// What a data gateway with that vector lacks of what is held here.
    pub fn updates_for(
        &mut self,
        now: f64,
        control: &ControlNodeState,
        theirs: &VersionVector,
    ) -> Vec<StateUpdate> {
        let pieces = control.updates_for(now, theirs, false);
        pieces.into_iter().map(|piece| self.narrowed(piece, theirs)).collect()
    }

    fn narrowed(&mut self, piece: StateUpdate, theirs: &VersionVector) -> StateUpdate {
        match piece {
            StateUpdate::Chosen(Register::Configuration, held) => {
                let (stamp, base) = (held.ordering_key(), theirs.configuration);
                let newest = self.configurations.newest() == Some(stamp);
                match self.configurations.patch(base).filter(|_| newest) {
                    Some(packed) => StateUpdate::ConfigurationPatch { stamp, base, packed },
                    None => StateUpdate::ConfigurationPatch { stamp, base: 0, packed: held.value },
                }
            }
            StateUpdate::HostList(hosts) => {
                let (stamp, base) = (hosts.revision(), theirs.hosts);
                if self.lists.newest() != Some(stamp) {
                    self.lists.insert(stamp, hosts.to_bytes());
                }
                match self.lists.patch(base) {
                    Some(packed) => StateUpdate::HostListPatch { stamp, base, packed },
                    None => StateUpdate::HostList(hosts),
                }
            }
            other => other,
        }
    }
}
