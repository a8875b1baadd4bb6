#!/usr/bin/env bash
# Runs the formatter check, the linter, the docs build and all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo fmt --check
cargo clippy --workspace --all-targets --locked -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --quiet
scripts/known_red.sh
