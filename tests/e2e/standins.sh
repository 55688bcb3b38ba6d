#!/usr/bin/env bash
# The load generator calls the stand-in upstreams directly. Guards against end-to-end tests that cannot
# fail: each misbehaviour of an upstream must be counted in its class of outcomes, and must change the
# exit status of the load generator where it breaks a call.
set -u
build=$1
net=10
. "$(dirname "$0")/lib.sh"

for i in 1 2 3; do start_upstream $i --latency-us 500; done
for i in 1 2 3; do wait_until 5 curl -sf "http://$(upstream_address $i)/control/stats"; done
upstreams=$(join_addresses upstream_address 1 2 3)

control_all () { for i in 1 2 3; do put_json "http://$(upstream_address $i)/control" "$1"; done; }

# misbehaviour | class of outcomes that must not be empty | exit status
# Bytes after the end of a body may break the next call on the connection, or none: libcurl closes the
# connection when it receives them in time.
seed=100
while IFS='|' read -r behaviour class status; do
  seed=$((seed + 1))
  control_all "{\"$behaviour\": 0.1}"
  run_load --targets "$upstreams" --ledger "$upstreams" --calls 300 --concurrency 24 --deadline-ms 100 --seed $seed
  control_all "{\"$behaviour\": 0}"
  check "$behaviour is counted as $class" [ "$(json_field "$load_result" "$class")" -gt 0 ]
  check "$behaviour gives exit status $status" [ $load_status -eq "${status/any/$load_status}" ]
  check "$behaviour: every call has an outcome" [ "$(json_field "$load_result" calls)" -eq 300 ]
done <<'CASES'
shed_rate|refused|0
fail_rate|failed|0
fail_fast_rate|failed|0
reset_rate|lost|1
cut_rate|lost|1
short_rate|lost|1
long_rate|whole|any
crossed_rate|mixed|1
CASES

# The same seed gives the same request ids, so that every POST call runs a second time.
run_load --targets "$upstreams" --ledger "$upstreams" --calls 200 --seed 7
check "first run of the ids is clean" [ $load_status -eq 0 ]
run_load --targets "$upstreams" --ledger "$upstreams" --calls 200 --seed 7
check "a second run of the same ids is detected" [ "$(json_field "$load_result" run_twice)" -gt 50 ]
check "a second run gives exit status 1" [ $load_status -eq 1 ]
# The ids are already in the ledger, so that refusals of the same ids count as false.
control_all '{"shed_rate": 0.5}'
run_load --targets "$upstreams" --ledger "$upstreams" --calls 200 --seed 7
control_all '{"shed_rate": 0}'
check "a false refusal is detected" [ "$(json_field "$load_result" false_refusals)" -gt 0 ]
# A call is run and its response is truncated; the caller repeats it, and the repeat is refused as not
# run. Guards against counting that as a false refusal: the refusal is true of the repeat.
control_all '{"shed_rate": 0.5, "cut_rate": 0.3}'
run_load --targets "$upstreams" --ledger "$upstreams" --calls 200 --seed 8 --post-share 0 --cut-is-unknown
control_all '{"shed_rate": 0, "cut_rate": 0}'
check "a repeat of a truncated call was refused" [ "$(json_field "$load_result" refused_repeats)" -gt 0 ]
check "a refused repeat is not a false refusal" [ "$(json_field "$load_result" false_refusals)" -eq 0 ]
finish
