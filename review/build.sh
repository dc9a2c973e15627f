#!/bin/sh
# Builds the stand-ins of the review's scripts, with the compiler alone and without any library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standins/main.rs
