//! Keys on the counter: 64 bits that are the same at every gateway.

/// The same key at every gateway: customer (33 bits), what is counted (3 bits) and window (28 bits), mixed one to one.
pub(crate) fn counter_key(customer: u64, what: u64, index: u64) -> u64 {
    mix64((customer << 31) | (what << 28) | (index & 0x0fff_ffff))
}

pub(crate) fn mix64(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
