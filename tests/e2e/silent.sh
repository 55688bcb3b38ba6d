#!/usr/bin/env bash
# An upstream whose responses fall silent, or go on without end, past the deadline of the call. Guards
# against callers that wait for a silent one, a part that passes as complete, also for a caller of HTTP/1.0,
# and a response that moves and is ended. Floods before the head of a response are in flood.sh.
build=$1
net=96
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh

deadline_ms=1000
memory_max_kb=$((64 * 1024)) # with sanitizers a node takes several times its usual memory
[ -n "${SANITIZED:-}" ] && memory_max_kb=$((512 * 1024))

announce () { # renews the announcement of the flooding upstream
  while sleep 0.5; do
    put_json "http://$(address 1):7003/v1/upstream" \
      '{"service":"cascade/flood","version":"1","port":7090,"slots":8,"connections":100,"state":"ready"}'
  done
}
# Calls the flooding service through a node with 8 connections at once; prints exit status, HTTP status
# and seconds.
flood_calls () { # ENTRY-NODE [CURL FLAG...]
  local i jobs=() entry=$1
  shift
  for i in 1 2 3 4 5 6 7 8; do
    { local code; code=$(curl -sS -m 4 -o /dev/null -w '%{http_code} %{time_total}' \
        -H 'Pollenhitch-Service: cascade/flood' -H "Pollenhitch-Deadline-Ms: $deadline_ms" \
        "$@" "http://$(entry_address "$entry")/x" 2>/dev/null); echo "$? $code"; } &
    jobs+=($!)
  done
  wait "${jobs[@]}"
}
other_calls () { # calls of another service through the same node; prints how many of 20 got status 200
  local i ok=0
  for i in $(seq 20); do takes_calls 1 cascade/booking-desk && ok=$((ok + 1)); done
  echo $ok
}
resident_kb () { grep VmHWM "/proc/${pid[node1]}/status" | grep -oE '[0-9]+'; }

start_store
start_node 1 kamloops
start_node 2 kamloops
start_upstream 2 --service cascade/booking-desk --latency-us 2000
apply /teams/cascade/services/booking-desk service '{"deadline_ms":5000}'
apply /teams/cascade/services/flood service '{"deadline_ms":5000,"retry_percent":0}'
require "the other service takes calls" wait_until 10 takes_calls 1 cascade/booking-desk
run_in_background announce announce

# mode | slow | what the caller sees: moves, bytes until it leaves after 4 s; ended, a closed connection
# within 0.5 s after the deadline | entry node | flag of the caller
while IFS='|' read -r mode slow sees entry flag; do
  run_in_background flood "$build/standin-flood" "$(upstream_address 1)" $mode $slow checked
  sleep 0.6
  flood_calls "$entry" $flag >"$work_dir/flood.out" &
  calls=$!
  others=$(other_calls)
  wait $calls
  name="$mode${slow:+, one byte at a time}, node $entry${flag:+, $flag}"
  complete=$(grep -cE '^0 2' "$work_dir/flood.out")
  check "$name: no response passes as complete: $complete" [ "$complete" -eq 0 ]
  # The upstream is cold: calls that it has no slot for are refused, and count as failed by the deadline.
  if [ "$sees" = ended ]; then
    late=$(awk -v min=$deadline_ms -v max=$((deadline_ms + 500)) '{ ms = $3 * 1000 }
      $2 == 200 && ($1 == 0 || $1 == 28 || ms < min || ms > max) || $2 != 200 && ($2 < 500 || ms > max)' "$work_dir/flood.out" | wc -l)
    check "$name: all connections end within 0.5 s after the deadline: $late do not" [ "$late" -eq 0 ]
    [ "$late" -eq 0 ] || cat "$work_dir/flood.out"
    check "$name: a response has begun" grep -q ' 200 ' "$work_dir/flood.out"
  fi
  if [ "$sees" = moves ]; then
    ended=$(awk '$2 == 200 && $1 != 28' "$work_dir/flood.out" | wc -l)
    check "$name: responses that move go on: $ended do not" [ "$ended" -eq 0 ]
    check "$name: a response has begun" grep -q '^28 200 ' "$work_dir/flood.out"
  fi
  check "$name: other calls succeed: $others of 20" [ "$others" -eq 20 ]
  sleep 0.5
  stop_process flood
  open=$(grep -oE 'open [0-9]+' "$work_dir/flood.log" | tail -1)
  check "$name: all connections are closed: $open" [ "$open" = "open 0" ]
  check "$name: memory is bounded: $(resident_kb) KB" [ "$(resident_kb)" -le $memory_max_kb ]
done <<'CASES'
chunked-body||moves|1
chunked-body|slow|moves|1
chunked-body|slow|moves|2
silent-length||ended|1
silent-length||ended|2
silent-chunked||ended|1
silent-chunked||ended|2
silent-chunked||ended|1|--http1.0
silent-chunked||ended|2|--http1.0
silent-chunked||ended|1|-HConnection:close
silent-head||ended|1
silent-head||ended|2
chunk-extension|slow|ended|1
trailers|slow|ended|2
CASES
finish
