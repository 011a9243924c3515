#!/bin/sh
# Builds the stand-ins of the cases 4 to 6: the project's own store. The others are Python scripts.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline -p gradeloft_soak
