#!/usr/bin/env bash
# The timeline of several nodes. Guards against events that are ordered before their cause, such as a
# response before its request, against filters without effect, and against nodes that do not respond
# and are left out without an error.
build=$1
net=62
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh
admin_address () { echo "$(address "$1"):7003"; }

start_store
for i in 1 2 3; do
  start_node $i kamloops
  start_upstream $i --service cascade/booking-desk --slots 3 --latency-us 1000
done
echo '{"path":"/teams/cascade/services/booking-desk","kind":"service","spec":{}}' >"$work_dir/service.json"
"$build/pollenhitch" apply --store "$(store_url)" "$work_dir/service.json" >/dev/null
for i in 1 2 3; do
  check "node $i takes calls" wait_until 10 takes_calls $i
done
run_load --targets "$(join_addresses entry_address 1 2 3)" --ledger "$(join_addresses upstream_address 1 2 3)" --calls 200 --seed 3
nodes=$(join_addresses admin_address 1 2 3)
timeline () { "$build/pollenhitch" timeline --nodes "$nodes" "$@"; }

# Calls that went through two nodes. A call may have several attempts: one is refused as not run while
# the limit of a new upstream still grows, and a slow one is hedged. In any case each event of an
# attempt comes after the event that causes it.
check_order='{
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
timeline --output json --limit 100000 >"$work_dir/events"
remote=$(grep -o '"kind":"upstream-chosen","call":"[0-9a-f]*"' "$work_dir/events" | cut -d'"' -f8 | sort -u)
check "calls go through two nodes" [ "$(wc -l <<<"$remote")" -gt 20 ]
misordered=0
for call in $remote; do
  kinds=$(grep "\"call\":\"$call\"" "$work_dir/events" | cut -d'"' -f14 | tr '\n' ' ')
  awk "$check_order" <<<"$kinds" || { misordered=$((misordered + 1)) && echo "$call: $kinds"; }
done
check "each event follows its cause, across both nodes" [ $misordered -eq 0 ]
call=$(head -1 <<<"$remote")
check "--call selects one call" [ "$(timeline --call "$call" | grep -vc "${call:0:8}")" -eq 0 ]
check "--vm selects one VM" [ "$(timeline --vm vm-2 --limit 100000 | grep -vc vm-2)" -eq 0 ]
check "--kind selects one kind" [ "$(timeline --kind revision-in-force | wc -l)" -eq 3 ]
check "--limit keeps the newest events" [ "$(timeline --limit 7 | wc -l)" -eq 7 ]
check "the HTML output has a lane for each node" \
  [ "$(timeline --output html | grep -o 'class="lane' | wc -l)" -eq 3 ]
stop_process node3 KILL
timeline --limit 5 >/dev/null 2>"$work_dir/err"
check "a node that does not respond gives exit status 1" [ $? -eq 1 ]
check "a node that does not respond is named" grep -q "$(admin_address 3) does not respond" "$work_dir/err"
finish
