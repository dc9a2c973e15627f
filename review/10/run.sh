#!/bin/sh
# Clients read streams slowly.
# From the repository's root, after the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/lab slow-reader "review/10"
