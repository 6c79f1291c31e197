//! Keys of the shared counter.

/// A counter key, the same at every gateway: customer (33 bits), tier or mark (3 bits) and window (28 bits), mixed by a
/// bijection.
pub(crate) fn counter_key(customer: u64, kind: u64, index: u64) -> u64 {
    mix64((customer << 31) | (kind << 28) | (index & 0x0fff_ffff))
}

/// Mixes the bits of `x`; a bijection (the finalizer of SplitMix64).
pub(crate) fn mix64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
