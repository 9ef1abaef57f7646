#!/bin/sh
# Builds the stand-ins and scripts of the second review; they use the standard library only. Run from anywhere, after the
# build of the deploy file.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
CARGO_TARGET_DIR="$root/target/review-2" cargo build --release --locked --offline \
    --manifest-path "$root/review/kit-2/Cargo.toml"
