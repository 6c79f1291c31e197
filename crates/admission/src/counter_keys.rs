//! Names of the counter: 64 bits that are the same at every gateway. Must never hold a figure that steers a decision.

/// Same name at every gateway: customer, what is counted and window fill 64 bits; mixed one to one.
pub(crate) fn name(customer: u64, what: u64, index: u64) -> u64 {
    mix((customer << 31) | (what << 28) | (index & 0x0fff_ffff))
}

pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
