#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases; needs the Rust compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -A dead_code -o target/review-2/case review/standins-2/platform/main.rs
