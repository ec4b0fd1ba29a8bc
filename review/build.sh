#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases; needs no network and no dependency. The programs of the deploy file are built beside it.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/rig/Cargo.toml --target-dir target/review
