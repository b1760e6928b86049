#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. Needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
