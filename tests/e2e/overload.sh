#!/usr/bin/env bash
# Overload: more calls than the upstreams have slots. Guards against refusals between nodes that do
# not carry the id of their call: the entry node took them for mismatched responses, and the caller
# was told that the outcome is unknown.
build=$1
net=61
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh

start_store
for i in 1 2 3; do
  start_node $i kamloops
  start_upstream $i --service cascade/booking-desk --slots 3 --latency-us 20000
done
echo '{"path":"/teams/cascade/services/booking-desk","kind":"service","spec":{"deadline_ms":5000}}' \
  >"$work/service.json"
"$build/pollenhitch" apply --store "$(store_url)" "$work/service.json" >/dev/null
for i in 1 2 3; do
  check "node $i takes calls" wait_until 10 answers $i
done

run_load --targets "$(list entry_at 1 2 3)" --ledger "$(list upstream_at 1 2 3)" \
  --calls 2000 --concurrency 100 --post-share 0.5 --large-share 0.1 --seed 11
check "no call is lost, mixed, run twice or falsely refused" [ $verdict -eq 0 ]
check "no outcome is unknown" [ "$(field "$result" unknown)" -eq 0 ]
check "calls over the slots are refused" [ "$(field "$result" refused)" -gt 0 ]
check "no response is taken for that of another call" \
  [ "$(grep -l 'does not carry the id of this call' "$work"/node*.log | wc -l)" -eq 0 ]
finish
