//! Stable hashes: the same at every conductor and after every restart.

/// Salt for hashes of servers and prefixes, and for the spread of retries.
pub(crate) const DEFAULT_SALT: u64 = 0;
/// Salt for a session's choice between a mixed server and a prefill server.
pub(crate) const MIXED_CHOICE_SALT: u64 = 1;
/// Salt for a session's choice among the servers to which its prefix hash leads.
pub(crate) const SESSION_AFFINITY_SALT: u64 = 2;

/// FNV-1a hash of a text with a salt and a final mix.
pub(crate) fn hash(text: &str, salt: u64) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    mix(text.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325 ^ salt, step))
}

/// Final mix: each bit of the result depends on each bit of `hash`.
pub(crate) fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// Maps a hash to the range from 0 to 1.
pub(crate) fn share_of(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
