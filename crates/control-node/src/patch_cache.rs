//! The last texts of one kind that were in force, by stamp, and patches between them: what a data gateway is sent is the
//! change on the text that it holds, packed once for all that hold the same. Must never make a patch on a text that it does
//! not know whole.

use archlink_messages::patch;
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Texts kept to make patches on: a data gateway is rarely further behind.
const MOST: usize = 8;

pub struct PatchCache<S> {
    /// The newest at the back.
    texts: VecDeque<(S, Vec<u8>)>,
    /// Patches to the newest, by the stamp of the text that they are made on.
    patches: HashMap<S, Bytes>,
}

impl<S> Default for PatchCache<S> {
    fn default() -> PatchCache<S> {
        PatchCache { texts: VecDeque::new(), patches: HashMap::new() }
    }
}

impl<S: Copy + Eq + Hash> PatchCache<S> {
    /// A text came into force.
    pub fn insert(&mut self, stamp: S, text: Vec<u8>) {
        self.texts.push_back((stamp, text));
        if self.texts.len() > MOST {
            self.texts.pop_front();
        }
        self.patches.clear();
    }

    /// The stamp of the newest.
    pub fn newest(&self) -> Option<S> {
        self.texts.back().map(|(stamp, _)| *stamp)
    }

    /// What brings a reader that holds the text of stamp `base` to the newest; none where that text is not known here.
    pub fn patch(&mut self, base: S) -> Option<Bytes> {
        if let Some(packed) = self.patches.get(&base) {
            return Some(packed.clone());
        }
        let (_, new) = self.texts.back()?;
        let (_, old) = self.texts.iter().find(|(known, _)| *known == base)?;
        let packed = Bytes::from(patch::compress(new, old).ok()?);
        self.patches.insert(base, packed.clone());
        Some(packed)
    }
}
