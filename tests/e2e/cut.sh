#!/usr/bin/env bash
# A store and a node whose responses to the operators' commands break off. Argument: the build folder.
# Guards against a part of a response that counts as a whole one: a write or an absence that nothing
# confirms, a conflict with a wrong revision, and a read that fails without being repeated. The last
# line is "N passed, N failed".
set -u
build=$1
net=94
. "$(dirname "$0")/lib.sh"

start_store
start_node 1 kamloops
wait_until 5 curl -sf "http://$(address 1):7003/v1/status"
relay=$(address 240):7080
export POLLENHITCH_TIMEOUT_MS=2000 POLLENHITCH_ATTEMPTS=3
export POLLENHITCH_STORE=http://$relay
binary=${binary:-$build/pollenhitch}
ph () { "$binary" "$@"; }
cut_responses () { # SERVER PLACE METHOD COUNT
  run_in_background cut "$build/standin-cut" "$relay" "$@"
  wait_until 2 bash -c ": <>/dev/tcp/${relay/://}"
}
object () { printf '{"path":"%s","kind":"service","spec":%s}' "$path" "$1" >"$work_dir/object.json"; }
# Prepares the store for a command: an object at a revision, or none.
prepare () { # ABSENT|PRESENT
  n=$((n + 1))
  path=/teams/cascade/services/s$n
  [ "$1" = absent ] && return
  object '{"queue_ms":5}'
  POLLENHITCH_STORE=$(store_url) ph apply "$work_dir/object.json" >"$work_dir/out"
  revision=$(grep -oE '[0-9]+$' "$work_dir/out")
}
stored () { POLLENHITCH_STORE=$(store_url) ph get "$path" 2>&1; }
runs () { # STATUS TEXT COMMAND...
  local status=$1 text=$2 actual
  shift 2
  ph "$@" >"$work_dir/out" 2>&1
  actual=$?
  [ $actual -eq "$status" ] && grep -qF -- "$text" "$work_dir/out" && return
  echo "  status $actual, expected $status and \"$text\": $(head -3 "$work_dir/out")"
  return 1
}

reads_again () { prepare present; runs 0 '"queue_ms": 5' get "$path"; }
reads_absence_again () { prepare absent; runs 4 'no such object' get "$path"; }
lists_again () { prepare present; runs 0 "$path" get /teams/; }
shows_diff_again () { prepare present; object '{"queue_ms":6}'; runs 1 'spec.queue_ms: 5 -> 6' diff "$work_dir/object.json"; }
# A read that breaks off each time is neither an absence nor a damaged object.
knows_nothing () { prepare "$1"; runs 5 'no conclusive response from the store in 3 attempts' get "$path"; }
knows_nothing_of_absent () { knows_nothing absent; }
knows_nothing_of_present () { knows_nothing present; }
writes_once () { # the revision that is reported is that of the object
  prepare absent
  object '{"queue_ms":7}'
  runs 0 "$path written at revision" apply "$work_dir/object.json" || return
  stored | grep -q "\"revision\": $(grep -oE '[0-9]+$' "$work_dir/out")\\b"
}
deletes_once () { prepare present; runs 0 "$path deleted at revision" delete "$path" && stored | grep -q 'no such object'; }
# The revision of a conflict comes with its body. Status 7 (unknown) is right as well: the write may have
# been applied as far as the command knows.
reports_conflict () {
  n=$((n + 1))
  local status start=(move start "m$n" --team cascade --service booking-desk --from 1.0 --to 1.1 --deadline 2199-01-01T00:00:00Z)
  POLLENHITCH_STORE=$(store_url) ph "${start[@]}" >"$work_dir/out" 2>&1
  revision=$(grep -oE 'at revision [0-9]+' "$work_dir/out")
  ph "${start[@]}" --deadline 2198-01-01T00:00:00Z >"$work_dir/out" 2>&1
  status=$?
  { [ $status -eq 3 ] || [ $status -eq 7 ]; } && grep -qF "${revision#at }" "$work_dir/out" && return
  echo "  status $status, the object is $revision: $(head -3 "$work_dir/out")"
  return 1
}
shows_no_answer () { runs 1 "does not respond: $reason" status --nodes "$relay"; }

n=0
# test | method | responses that are cut
while IFS='|' read -r test method count; do
  for place in within-status after-status within-field before-empty-line after-head within-body; do
    cut_responses "$(address 250):7080" $place $method $count
    check "$test: response to $method cut $place" $test
    stop_process cut
  done
done <<'CASES'
reads_again|GET|1
reads_absence_again|GET|1
lists_again|GET|1
shows_diff_again|GET|1
knows_nothing_of_present|GET|9
knows_nothing_of_absent|GET|9
writes_once|PUT|1
deletes_once|DELETE|1
reports_conflict|PUT|1
CASES
# place | what status shows
while IFS='|' read -r place reason; do
  cut_responses "$(address 1):7003" $place any 9
  check "status: response cut $place" shows_no_answer
  stop_process cut
done <<'CASES'
within-status|Server returned nothing
after-status|the response ended within its head
within-field|the response ended within its head
before-empty-line|Transferred a partial file
after-head|Transferred a partial file
within-body|Transferred a partial file
CASES
finish
