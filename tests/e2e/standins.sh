#!/usr/bin/env bash
# The load driver straight to upstream stand-ins. Guards against stand-ins that cannot fail: each
# misbehaviour must show in the driver's verdict and in the class it belongs to.
set -u
build=$1
net=10
. "$(dirname "$0")/lib.sh"

for i in 1 2 3; do start_upstream $i --latency-us 500; done
for i in 1 2 3; do wait_until 5 curl -sf "http://$(upstream_at $i)/control/stats"; done
all=$(list upstream_at 1 2 3)

control () { for i in 1 2 3; do put "http://$(upstream_at $i)/control" "$1"; done; }

# behaviour | class that must not be empty | exit status
# Bytes after the end of a body may break the next call of a connection or none: libcurl closes
# the connection when they come in time.
seed=100
while IFS='|' read -r behaviour class status; do
  seed=$((seed + 1))
  control "{\"$behaviour\": 0.1}"
  run_load --targets "$all" --ledger "$all" --calls 300 --concurrency 24 --deadline-ms 100 --seed $seed
  control "{\"$behaviour\": 0}"
  check "$behaviour shows as $class" [ "$(field "$result" "$class")" -gt 0 ]
  check "$behaviour ends with status $status" [ $verdict -eq "${status/any/$verdict}" ]
  check "$behaviour: every call has an outcome" [ "$(field "$result" calls)" -eq 300 ]
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

# The same seed again: the same request ids, so every POST call runs a second time.
run_load --targets "$all" --ledger "$all" --calls 200 --seed 7
check "first run of the ids is clean" [ $verdict -eq 0 ]
run_load --targets "$all" --ledger "$all" --calls 200 --seed 7
check "a second run of the same ids is noticed" [ "$(field "$result" run_twice)" -gt 50 ]
check "and changes the verdict" [ $verdict -eq 1 ]
# Sheds after the run: the ledger knows the ids already, so the refusals are false.
control '{"shed_rate": 0.5}'
run_load --targets "$all" --ledger "$all" --calls 200 --seed 7
control '{"shed_rate": 0}'
check "a false refusal is noticed" [ "$(field "$result" false_refusals)" -gt 0 ]
# Guards against a verdict on the node for what the caller did: a call is run and its response cut, the
# caller repeats it, and the repeat is refused as not run, which is true of the repeat only.
control '{"shed_rate": 0.5, "cut_rate": 0.3}'
run_load --targets "$all" --ledger "$all" --calls 200 --seed 8 --post-share 0 --cut-is-unknown
control '{"shed_rate": 0, "cut_rate": 0}'
check "a refused repeat of a cut call happened" [ "$(field "$result" refused_repeats)" -gt 0 ]
check "and is no false refusal" [ "$(field "$result" false_refusals)" -eq 0 ]
finish
