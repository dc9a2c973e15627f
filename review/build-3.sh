#!/bin/sh
# Builds the stand-ins of the third review. They use only the standard library.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3 || exit 2
exec rustc --edition 2024 -O -o target/review-3/cases review/standins-4/main.rs
