#!/usr/bin/env bash
# Three fixed seeds of tests/soak/platform.sh with a short time of faults; see there. Guards against a
# response of another request or status (issue 33), lost calls and a service that does not recover.
cd "$(dirname "$0")/../.." || exit 1
FAULT_SECONDS=4 exec tests/soak/platform.sh "$1" 1 2 3
