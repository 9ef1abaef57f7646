//! Rendezvous hashing: for a given key, all instances rank the same names in the same
//! order.

/// Returns the weight of `name` for `key`. The name with the highest weight is selected.
pub fn weight(key: &[u8], name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key);
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    let mut output = [0; 8];
    hasher.finalize_xof().fill(&mut output);
    u64::from_le_bytes(output)
}

/// Returns the weight of a name for a key, both given as hashes. It is cheaper to compute
/// than [`weight`], for frequent use (the finalizer of SplitMix64).
pub fn weight_of_hashes(key: u64, name: u64) -> u64 {
    let mut mixed = key ^ name.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
