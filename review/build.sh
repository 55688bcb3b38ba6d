#!/usr/bin/env bash
# Builds what the scripts of the review start: the project's stand-in of the platform and the
# review's own stand-ins, in build/ and build/review/. The nodes are those of the deploy file's
# build, target/pollenhitch.
set -eu
cd "$(dirname "$0")/.."
make -j4 BUILD=build build/standin-platform >/dev/null
mkdir -p build/review
cc -std=gnu11 -O2 -Wall -Wextra -pthread review/standin/standin.c -o build/review/standin
