//! What a data gateway is told of what it lacks, in as few bytes as can be: the configuration and the list of hosts as
//! patches on those that it holds. Owns the texts that patches are made on. Must never leave out what was lacking.

use crate::control::Control;
use crate::texts::Texts;
use archlink_messages::{Piece, Register, Vector};

#[derive(Default)]
pub struct News {
    charts: Texts<u64>,
    lists: Texts<(u64, u64)>,
}

impl News {
    /// A configuration came into force; the order of its value (`Held::order`) and its text, unpacked.
    pub fn learned_chart(&mut self, stamp: u64, text: Vec<u8>) {
        self.charts.learned(stamp, text);
    }

    /// What a data gateway with that vector lacks of what is held here.
    pub fn lacking(&mut self, now: f64, control: &Control, theirs: &Vector) -> Vec<Piece> {
        let pieces = control.lacking(now, theirs, false);
        pieces.into_iter().map(|piece| self.narrowed(piece, theirs)).collect()
    }

    fn narrowed(&mut self, piece: Piece, theirs: &Vector) -> Piece {
        match piece {
            Piece::Chosen(Register::Chart, held) => {
                let (stamp, base) = (held.order(), theirs.chart);
                let newest = self.charts.newest() == Some(stamp);
                match self.charts.patch(base).filter(|_| newest) {
                    Some(packed) => Piece::Chart { stamp, base, packed },
                    None => Piece::Chart { stamp, base: 0, packed: held.value },
                }
            }
            Piece::Hosts(hosts) => {
                let (stamp, base) = (hosts.stamp(), theirs.hosts);
                if self.lists.newest() != Some(stamp) {
                    self.lists.learned(stamp, hosts.to_bytes());
                }
                match self.lists.patch(base) {
                    Some(packed) => Piece::HostsPatch { stamp, base, packed },
                    None => Piece::Hosts(hosts),
                }
            }
            other => other,
        }
    }
}
