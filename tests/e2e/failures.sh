#!/usr/bin/env bash
# Processes that die, pause or restart while calls run. Guards against calls that never get an
# outcome, that run twice or that are refused as not run after they ran, and against a fleet that does
# not recover completely.
build=$1
net=62
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh
nodes='1 2 3 4 5 6'
targets=$(join_addresses entry_address $nodes)
ledgers=$(join_addresses upstream_address $nodes)

kill_node () { stop_process node3 KILL; }
restart_node () { stop_process node3 KILL; sleep 0.3; start_node 3 revelstoke; }
pause () { kill -STOP "${pid[$1]}"; sleep 2.5; kill -CONT "${pid[$1]}"; }
pause_node () { pause node2; }
pause_upstream () { pause upstream4; }
store_down () { put_json "$(store_url)/control" '{"down":true}'; }
store_up () { put_json "$(store_url)/control" '{"down":false}'; }
start_node_while_down () { store_down; stop_process node5 KILL; start_node 5 squamish; }
nothing () { :; }

require "the fleet starts" start_fleet 6 --latency-us 5000

# failure | action | repair | share of POST calls | outcomes allowed besides "whole"
seed=200
while IFS='|' read -r name action repair posts allowed; do
  seed=$((seed + 1))
  load_in_background --targets "$targets" --ledger "$ledgers" --calls 100000 --seconds 5 \
    --rate 300 --concurrency 400 --post-share "$posts" --large-share 0.02 --seed $seed \
    --cut-is-unknown
  sleep 1
  $action
  wait_load
  check "$name: nothing lost, mixed, run twice or falsely refused" [ $load_status -eq 0 ]
  check "$name: calls continue" is_at_least whole 750
  for class in refused unknown failed; do
    case " $allowed " in *" $class "*) ;; *) check "$name: no $class outcome" are_all_zero $class ;; esac
  done
  $repair
  check "$name: node 3 takes calls again" wait_until 15 takes_calls 3
  # Only waits for the other nodes; the result is not checked.
  for i in $nodes; do wait_until 15 takes_calls $i; done
  run_load --targets "$targets" --ledger "$ledgers" --calls 600 --concurrency 12 --seed 1$seed
  check "$name: afterwards every response is complete" all_complete
done <<'CASES'
node killed, idempotent calls|kill_node|restart_node|0|refused unknown
node killed, other calls|kill_node|restart_node|1|refused unknown
node restarted under its name|restart_node|nothing|0.5|refused unknown
node paused|pause_node|nothing|0.5|refused unknown
upstream paused|pause_upstream|nothing|0.5|refused unknown
store down|store_down|store_up|0.5|
node started while the store is down|start_node_while_down|store_up|0.5|refused unknown
CASES

# The store is down when all nodes start: the fleet must refuse calls until the store is up.
for i in $nodes; do stop_process node$i KILL; done
store_down
for i in $nodes; do start_node $i kamloops; done
sleep 2
run_load --targets "$targets" --ledger "$ledgers" --calls 60 --seed 298
check "store down from the start: every call is refused as not run" \
  [ "$(json_field "$load_result" refused)" -eq 60 ]
store_up
for i in $nodes; do
  check "store down from the start: node $i takes calls when it is up" wait_until 20 takes_calls $i
done
finish
