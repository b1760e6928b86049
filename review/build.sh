#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/, into target/review. Needs no network if the
# packages of the repository's lock file are there.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/cases/Cargo.toml --target-dir target/review
