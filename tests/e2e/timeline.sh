#!/usr/bin/env bash
# The timeline of several nodes. Guards against a response that comes before its request in the
# order of events, lost filters, and nodes that are left out without a word.
build=$1
net=62
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh
admin_at () { echo "$(address "$1"):7003"; }

start_store
for i in 1 2 3; do
  start_node $i kamloops
  start_upstream $i --service cascade/booking-desk --slots 3 --latency-us 1000
done
echo '{"path":"/teams/cascade/services/booking-desk","kind":"service","spec":{}}' >"$work/service.json"
"$build/pollenhitch" apply --store "$(store_url)" "$work/service.json" >/dev/null
for i in 1 2 3; do
  check "node $i takes calls" wait_until 10 answers $i
done
run_load --targets "$(list entry_at 1 2 3)" --ledger "$(list upstream_at 1 2 3)" --calls 200 --seed 3
nodes=$(list admin_at 1 2 3)
timeline () { "$build/pollenhitch" timeline --nodes "$nodes" "$@"; }

# Calls that went through two nodes. A call may have several attempts: one is refused as not run while
# the limit beside a new upstream still grows, and a slow one is hedged. Whatever their number, each
# step of an attempt comes after the step that causes it.
causes_first='{
  if ($1 != "call-opened") exit 1
  for (i = 1; i <= NF; i++) {
    n[$i]++
    if (n["call-opened"] > n["upstream-chosen"] + 1) exit 1
    if (n["attempt-started"] + n["upstream-chosen"] > n["call-opened"] + n["retry"] + n["hedge"]) exit 1
    if (n["response"] > 0 && n["attempt-started"] == 0) exit 1
    if (n["call-finished"] > n["response"]) exit 1
    if (n["retry"] > n["attempt-failed"]) exit 1
  }
}'
timeline --output json --limit 100000 >"$work/events"
remote=$(grep -o '"kind":"upstream-chosen","call":"[0-9a-f]*"' "$work/events" | cut -d'"' -f8 | sort -u)
check "calls go through two nodes" [ "$(wc -l <<<"$remote")" -gt 20 ]
bad=0
for call in $remote; do
  kinds=$(grep "\"call\":\"$call\"" "$work/events" | cut -d'"' -f14 | tr '\n' ' ')
  awk "$causes_first" <<<"$kinds" || { bad=$((bad + 1)) && echo "$call: $kinds"; }
done
check "the request is seen at the entry node, then at the other" [ $bad -eq 0 ]
call=$(head -1 <<<"$remote")
check "one call can be picked" [ "$(timeline --call "$call" | grep -vc "${call:0:8}")" -eq 0 ]
check "one VM can be picked" [ "$(timeline --vm vm-2 --limit 100000 | grep -vc vm-2)" -eq 0 ]
check "a kind can be picked" [ "$(timeline --kind revision-in-force | wc -l)" -eq 3 ]
check "the newest events are kept" [ "$(timeline --limit 7 | wc -l)" -eq 7 ]
check "the picture has a lane for each node" \
  [ "$(timeline --output html | grep -o 'class="lane' | wc -l)" -eq 3 ]
stop_process node3 KILL
timeline --limit 5 >/dev/null 2>"$work/err"
check "a dead node gives exit status 1" [ $? -eq 1 ]
check "and is named" grep -q "$(admin_at 3) does not respond" "$work/err"
finish
