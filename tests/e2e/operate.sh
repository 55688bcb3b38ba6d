#!/usr/bin/env bash
# Planned operations while calls run: an upstream drains, a node stops, a data centre is taken out of
# service and back in. Guards against calls that fail because of the operation, and against calls that
# still reach the upstreams 2 s later.
build=$1
net=64
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh
nodes='1 2 3 4 5 6'
targets=$(join_addresses entry_address $nodes)
ledgers=$(join_addresses upstream_address $nodes)

runs () { # I...: prints how many calls these upstreams have run
  local i all=0
  for i; do all=$((all + $(upstream_stat "$(upstream_address "$i")" runs))); done
  echo $all
}
set_out () { # true|false: takes the data centre squamish out of service or back in
  apply /teams/cascade/data-centres/squamish data-centre "{\"region\":\"bc-south\",\"out\":$1}"
}
get_calls () { local before; before=$(runs "$@"); sleep 0.3; [ "$(runs "$@")" -gt "$before" ]; }

drain () { control_upstream 4 '{"is_draining":true}'; }
undrain () { control_upstream 4 '{"is_draining":false}'; }
take_out () { set_out true || check "the object is written" false; }
take_in () { set_out false || check "the object is written" false; }
# The upstream keeps running while its node stops; restart_pair ends both and starts them again.
stop_node () { kill -TERM "${pid[node3]}"; }
restart_pair () {
  stop_process node3
  check "the planned stop ends with status 0" [ $stop_status -eq 0 ]
  stop_process upstream3
  start_node 3 revelstoke
  start_upstream 3 --latency-us 100000 --slots 40
}

require "the fleet starts" start_fleet 6 --latency-us 100000 --slots 40

# operation | action | reversal | upstreams without calls 2 s after it | entry nodes
# Calls take 100 ms, so that several are in flight at the upstreams concerned at each action. Nodes
# prefer the upstreams of their own data centre, so calls also enter at the nodes of squamish only.
seed=400
while IFS='|' read -r name action reversal affected entries; do
  seed=$((seed + 1))
  # The limit of a new or returned upstream grows with its calls; calls may be refused before that.
  run_load --targets "$targets" --rate 120 --calls 600 --concurrency 100 --deadline-ms 5000 \
    --seed 2$seed
  check "$name: no call is lost before the operation" [ $load_status -eq 0 ]
  # shellcheck disable=SC2086
  load_in_background --targets "$(join_addresses entry_address $entries)" --ledger "$ledgers" --calls 100000 \
    --seconds 9 --rate 60 --concurrency 200 --post-share 0.7 --large-share 0.05 \
    --large-bytes 300000 --deadline-ms 5000 --seed $seed
  sleep 1.5
  # shellcheck disable=SC2086
  check "$name: the upstreams get calls before" wait_until 3 get_calls $affected
  $action
  sleep 2
  # shellcheck disable=SC2086
  before=$(runs $affected)
  sleep 1
  # shellcheck disable=SC2086
  check "$name: no new calls 2 s after" [ "$(runs $affected)" -eq "$before" ]
  wait_load
  check "$name: every call gets its complete response" all_complete
  $reversal
  load_in_background --targets "$(join_addresses entry_address $entries)" --calls 100000 --seconds 8 --rate 60 \
    --concurrency 200 --post-share 0.7 --deadline-ms 5000 --seed 1$seed
  # shellcheck disable=SC2086
  check "$name: the upstreams get calls again" wait_until 8 get_calls $affected
  kill "${pid[load]}" 2>/dev/null
  wait_load
done <<'CASES'
upstream drains|drain|undrain|4|1 2 3 4 5 6
data centre out|take_out|take_in|2 5|1 2 3 4 5 6
data centre out, calls enter there|take_out|take_in|2 5|2 5
node stops|stop_node|restart_pair|3|1 2 4 5 6
CASES
finish
