#!/usr/bin/env bash
# Nodes with upstreams that misbehave. Guards against responses that are truncated, late or of another
# call and reach a caller as complete ones, and against calls that run twice because of them.
build=$1
net=63
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh
nodes='1 2 3 4'
targets=$(join_addresses entry_address $nodes)
ledgers=$(join_addresses upstream_address $nodes)
control_all () { for i in $nodes; do control_upstream $i "$1"; done; }
misbehaved () { # prints how many calls the upstreams mishandled or shed
  local i all=0
  for i in $nodes; do all=$((all + $(upstream_stat "$(upstream_address $i)" misbehaved) + $(upstream_stat "$(upstream_address $i)" shed))); done
  echo $all
}

require "the fleet starts" start_fleet 4 --latency-us 2000 --cold-seconds 2
sleep 2

# misbehaviour on | off | share of POST calls | flags | outcomes that must occur | others allowed besides
# "whole"
seed=300
while IFS='|' read -r behaviour reset posts flags needed allowed; do
  seed=$((seed + 1))
  before=$(misbehaved)
  control_all "{$behaviour}"
  # shellcheck disable=SC2086
  run_load --targets "$targets" --ledger "$ledgers" --calls 600 --concurrency 12 --seed $seed \
    --post-share $posts $flags
  control_all "{$reset}"
  name="$behaviour with $posts POST"
  check "$name: nothing lost, mixed, run twice or falsely refused" [ $load_status -eq 0 ]
  case $behaviour in *_rate*) check "$name: the upstreams misbehaved" [ "$(misbehaved)" -gt "$before" ] ;; esac
  for class in $needed; do check "$name: at least one $class outcome" is_at_least "$class" 1; done
  for class in refused unknown failed; do
    case " $allowed $needed " in *" $class "*) ;; *) check "$name: no $class outcome" are_all_zero $class ;; esac
  done
  sleep 1.2
done <<'CASES'
"reset_rate":0.1|"reset_rate":0|1||unknown whole|refused
"reset_rate":0.1|"reset_rate":0|0||whole|unknown refused
"cut_rate":0.1|"cut_rate":0|0.5|--cut-is-unknown|cut whole|unknown refused
"long_rate":0.1|"long_rate":0|0.5||whole|unknown refused
"crossed_rate":0.1|"crossed_rate":0|1||unknown whole|refused
"crossed_rate":0.1|"crossed_rate":0|0||whole|unknown refused
"head_delay_ms":700|"head_delay_ms":0|0.5|--deadline-ms 300 --calls 60||unknown failed refused
"fail_rate":0.2|"fail_rate":0|0.5||failed whole|refused
"fail_fast_rate":0.2|"fail_fast_rate":0|0.5||failed whole|refused
"shed_rate":0.2|"shed_rate":0|1||whole|refused
"is_cold":true|"is_cold":false|0.5||whole|refused failed unknown
CASES

# A body that stops before its end while the connection stays open: only the caller's time limit ends
# the call. The truncated body may not pass as a complete one.
control_all '{"short_rate":1}'
run_load --targets "$targets" --ledger "$ledgers" --calls 8 --concurrency 8 --deadline-ms 300 --seed 399
control_all '{"short_rate":0}'
check "short bodies: none passes as complete" are_all_zero whole mixed run_twice
finish
