//! Generates keys and computes their digests.

use std::path::PathBuf;

use anyhow::Context;
use clap::ArgMatches;
use sesamebarrow_rules::KeyDigest;

/// Number of random bytes in a key.
const KEY_BYTES: usize = 32;

/// Runs `key`.
pub fn run(args: &ArgMatches) -> anyhow::Result<bool> {
    match args.subcommand() {
        Some(("new", _)) => {
            let bytes: [u8; KEY_BYTES] = rand::random();
            let key = format!("sbk-{}", blake3::Hash::from(bytes).to_hex());
            println!("key    {key}");
            println!("digest blake3={}", KeyDigest::of(key.as_bytes()));
        }
        Some(("digest", args)) => {
            let path = args.get_one::<PathBuf>("file").cloned().unwrap_or_default();
            let key = read_key(&path)?;
            println!("blake3={}", KeyDigest::of(key.as_bytes()));
        }
        _ => {}
    }
    Ok(true)
}

/// Reads a key from a file, without surrounding white space.
pub fn read_key(path: &std::path::Path) -> anyhow::Result<String> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    Ok(text.trim().to_owned())
}
