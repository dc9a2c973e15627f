#!/bin/sh
# A machine loses power, then a release begins; its streams are taken up again.
# From the repository's root, after the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/lab streams-of-a-lost-machine "review/9"
