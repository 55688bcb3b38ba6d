#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start: the project's own stand-in of
# the platform and its raw client. The node comes from the build of the deploy file (target/).
set -eu
cd "$(dirname "$0")/.."
make --no-print-directory -j4 BUILD=build build/standin-platform build/standin-raw
mkdir -p build/review-2
${CC:-cc} -std=gnu11 -O1 -Wall -Wextra -pthread -o build/review-2/store-proxy review/standin-2/store-proxy.c
