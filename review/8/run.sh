#!/bin/sh
# The store loses one answer, which tells a machine of a new configuration.
# From the repository's root, after the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/lab lost-config-answer "review/8"
