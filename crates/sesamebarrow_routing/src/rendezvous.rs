//! Rendezvous hashing: every instance ranks the same names the same way for a key.

/// Returns the rank weight of `name` for `key`; the highest weight wins.
pub fn weight(key: &[u8], name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key);
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    let mut out = [0; 8];
    hasher.finalize_xof().fill(&mut out);
    u64::from_le_bytes(out)
}

/// Returns a cheap mixed weight of two hashed values, for hot paths.
pub fn mix(key: u64, name: u64) -> u64 {
    let mut x = key ^ name.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
