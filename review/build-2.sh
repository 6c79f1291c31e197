#!/bin/bash
# Builds the stand-ins of the second review (review/standins-2). They need the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
