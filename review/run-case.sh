#!/bin/sh
# Runs a case's stand-ins from the repository's root: run-case.sh NAME FOLDER
cd "$2/../.." || exit 2
[ -x target/review/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/standin "$1" "$2"
