#!/usr/bin/env bash
# Builds the stand-ins of the cases that use review/standins-3: one program without libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc -O --edition 2024 -o target/review-3/lab review/standins-3/main.rs
