//! The encoding of voter set generations in epochs and proposal rounds.
//!
//! An operator who forces a new generation (etcd: "force new cluster"; `docs/control.md`, section 3) skips all epochs
//! and rounds of the earlier generations, so that any state that their members bring back is older. The generation is
//! therefore in the upper bits of both numbers.

/// The number of bits of an epoch below its generation.
const EPOCH_BITS: u32 = 32;

/// The number of low bits of [`EPOCH_BITS`] that changes of the voter set count up. The bits above them are random for
/// each forced generation: two survivors that are both forced into a new generation by mistake then have different
/// epochs.
const CHANGE_BITS: u32 = 16;

/// The number of bits of a proposal round below its generation. 2^40 rounds in one generation are never reached.
const ROUND_BITS: u32 = 40;

/// Returns the first epoch of the generation after that of `epoch`; `nonce` distinguishes it from one forced elsewhere.
pub(crate) fn next_epoch(epoch: u64, nonce: u16) -> u64 {
    let generation = (epoch >> EPOCH_BITS) + 1;
    (generation << EPOCH_BITS) | (u64::from(nonce) << CHANGE_BITS)
}

/// Returns the generation of an epoch.
pub(crate) fn of_epoch(epoch: u64) -> u64 {
    epoch >> EPOCH_BITS
}

/// Returns the generation of a proposal round.
pub(crate) fn of_round(round: u64) -> u64 {
    round >> ROUND_BITS
}

/// Returns the lowest round of a generation.
pub(crate) fn first_round(generation: u64) -> u64 {
    generation << ROUND_BITS
}
