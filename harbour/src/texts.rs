//! The last texts of the configuration that were in force, and patches between them: what a data gateway is sent is the
//! change on the text that it holds, packed once for all that hold the same. Must never make a patch on a text that it does
//! not know whole.

use bytes::Bytes;
use signal::{Held, Piece, pack};
use std::collections::{HashMap, VecDeque};

/// Texts kept to make patches on: a data gateway is rarely further behind.
const MOST: usize = 8;

#[derive(Default)]
pub struct Texts {
    /// By stamp, the newest at the back.
    texts: VecDeque<(u64, Vec<u8>)>,
    /// Patches to the newest, by the stamp of the text that they are made on.
    patches: HashMap<u64, Bytes>,
}

impl Texts {
    /// A text came into force.
    pub fn learned(&mut self, stamp: u64, text: Vec<u8>) {
        self.texts.push_back((stamp, text));
        if self.texts.len() > MOST {
            self.texts.pop_front();
        }
        self.patches.clear();
    }

    fn text(&self, stamp: u64) -> Option<&[u8]> {
        self.texts.iter().find(|(known, _)| *known == stamp).map(|(_, text)| text.as_slice())
    }

    /// What brings a reader that holds the text of stamp `base` to `held`: a patch, or the whole where that is not known.
    pub fn piece(&mut self, held: &Held, base: u64) -> Piece {
        let stamp = held.stamp;
        if let Some(packed) = self.patches.get(&base) {
            return Piece::Chart { stamp, base, packed: packed.clone() };
        }
        let packed = match (self.text(stamp), self.text(base)) {
            (Some(new), Some(old)) => pack::pack(new, old).ok(),
            _ => None,
        };
        match packed.map(Bytes::from) {
            Some(packed) => {
                self.patches.insert(base, packed.clone());
                Piece::Chart { stamp, base, packed }
            }
            None => Piece::Chart { stamp, base: 0, packed: held.value.clone() },
        }
    }
}
