#!/bin/bash
# Builds the stand-ins of the cases from 11 on. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/kit-3/Cargo.toml --target-dir target/review-3
