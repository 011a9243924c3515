#!/bin/bash
# Builds the stand-ins of the cases. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -D warnings -o target/review/standin review/standin/main.rs
