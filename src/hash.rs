//! Hashes that are the same at every router and after every restart.

/// FNV-1a with a finish: the same at every router and after every restart.
pub(crate) fn hash(text: &str, salt: u64) -> u64 {
    let step = |hash: u64, b: &u8| (hash ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3);
    mix(text.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325 ^ salt, step))
}

/// The finish: each bit of the result depends on each of `h`.
pub(crate) fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// A hash as a share of one.
pub(crate) fn share_of(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
