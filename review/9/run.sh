#!/bin/sh
# All machines lose power, and the store comes back from a copy; its eras count from 0.
# From the repository's root, after the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/lab era-from-zero "review/9"
