//! The last revisions of a text, and patches from each to the newest. A data node is sent the patch from the
//! revision that it has; a patch is compressed once for all data nodes that have the same revision.
//!
//! Invariant: a patch is only made against a text that is stored here completely.

use archlink_messages::patch;
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// The number of texts that are kept as bases of patches. A data node is rarely further behind; if it is, it
/// receives the complete text.
const MAX_TEXTS: usize = 8;

/// The last texts and the patches to the newest of them, by revision `R`.
pub struct PatchCache<R> {
    /// Oldest first.
    texts: VecDeque<(R, Vec<u8>)>,
    /// Patches to the newest text by the revision of their base, at most one for each text.
    patches: HashMap<R, Bytes>,
}

impl<R> Default for PatchCache<R> {
    fn default() -> PatchCache<R> {
        PatchCache { texts: VecDeque::new(), patches: HashMap::new() }
    }
}

impl<R: Copy + Eq + Hash> PatchCache<R> {
    /// Adds the newest text.
    pub fn insert(&mut self, revision: R, text: Vec<u8>) {
        self.texts.push_back((revision, text));
        if self.texts.len() > MAX_TEXTS {
            self.texts.pop_front();
        }
        self.patches.clear();
    }

    /// Returns the revision of the newest text.
    pub fn newest(&self) -> Option<R> {
        self.texts.back().map(|(revision, _)| *revision)
    }

    /// Returns the patch from the text of revision `base` to the newest one; `None` if that text is not
    /// stored here.
    pub fn patch(&mut self, base: R) -> Option<Bytes> {
        if let Some(patch) = self.patches.get(&base) {
            return Some(patch.clone());
        }
        let (_, newest_text) = self.texts.back()?;
        let (_, base_text) = self.texts.iter().find(|(revision, _)| *revision == base)?;
        let compressed = Bytes::from(patch::compress(newest_text, base_text).ok()?);
        self.patches.insert(base, compressed.clone());
        Some(compressed)
    }
}
