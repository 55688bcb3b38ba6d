#!/usr/bin/env bash
# Cold starts: the capacity of an upstream rises from one call to its slots, and calls over it fail.
# Guards against load over the capacity, whether the cold start is announced or not, and against a
# limit that stays low after the cold start.
build=$1
net=62
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh

slots=6
start_store
start_node 1 kamloops
echo '{"path":"/teams/cascade/services/booking-desk","kind":"service","spec":{"deadline_ms":2000}}' \
  >"$work_dir/service.json"
"$build/pollenhitch" apply --store "$(store_url)" "$work_dir/service.json" >/dev/null
start_upstream 1 --service cascade/booking-desk --slots $slots --latency-us 10000 --cold-seconds 4
check "the node takes calls" wait_until 10 takes_calls 1

load () { # SECONDS SEED
  run_load --targets "$(entry_address 1)" --ledger "$(upstream_address 1)" --calls 100000 --seconds "$1" \
    --concurrency 12 --seed "$2"
}
limit () { curl -sS -m 5 "http://$(address 1):7003/metrics" | grep '^pollenhitch_upstream_limit' | grep -oE '[0-9]+$'; }

load 8 1
echo "  announced: $load_result"
over_capacity=$(upstream_stat "$(upstream_address 1)" over_capacity)
check "no call over the capacity of an announced cold start: $over_capacity" [ "$over_capacity" -eq 0 ]

before=$(upstream_stat "$(upstream_address 1)" runs)
{ sleep 1; put_json "http://$(upstream_address 1)/control" '{"is_cold": 1}'; } &
load 9 2
echo "  not announced: $load_result"
over_capacity=$(upstream_stat "$(upstream_address 1)" over_capacity)
runs=$(($(upstream_stat "$(upstream_address 1)" runs) - before))
check "under 2% of the calls are over the capacity when it is not announced: $over_capacity of $runs" \
  [ $((over_capacity * 50)) -lt "$runs" ]
check "the limit returns to the slots: $(limit)" [ "$(limit)" -eq $slots ]
finish
