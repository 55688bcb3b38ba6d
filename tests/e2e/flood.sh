#!/usr/bin/env bash
# An upstream that answers with bytes that never end. Guards against a node whose memory grows, calls
# that stay open past their deadline, a truncated response that passes as a complete one, connections
# that are kept, and other calls of the node that have to wait.
build=$1
net=64
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
# Calls the flooding service with 8 connections at once; prints exit status, HTTP status and seconds.
flood_calls () {
  local i jobs=()
  for i in 1 2 3 4 5 6 7 8; do
    { local code; code=$(curl -sS -m 4 -o /dev/null -w '%{http_code} %{time_total}' \
        -H 'Pollenhitch-Service: cascade/flood' -H "Pollenhitch-Deadline-Ms: $deadline_ms" \
        "http://$(entry_address 1)/x" 2>/dev/null); echo "$? $code"; } &
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

# mode | slow | what the caller sees: failed, a status of 500 or above by the deadline; open, no
# complete response
while IFS='|' read -r mode slow sees; do
  run_in_background flood "$build/standin-flood" "$(upstream_address 1)" $mode $slow
  sleep 0.6
  flood_calls >"$work_dir/flood.out" &
  calls=$!
  others=$(other_calls)
  wait $calls
  name="$mode${slow:+, one byte at a time}"
  complete=$(grep -cE '^0 2' "$work_dir/flood.out")
  check "$name: no response passes as complete: $complete" [ "$complete" -eq 0 ]
  if [ "$sees" = failed ]; then
    late=$(awk -v max=$((deadline_ms + 1000)) '$1 != 0 || $2 < 500 || $3 * 1000 > max' "$work_dir/flood.out" | wc -l)
    check "$name: all calls fail by their deadline: $late do not" [ "$late" -eq 0 ]
  fi
  check "$name: other calls succeed: $others of 20" [ "$others" -eq 20 ]
  sleep 0.5
  stop_process flood
  open=$(grep -oE 'open [0-9]+' "$work_dir/flood.log" | tail -1)
  check "$name: all connections are closed: $open" [ "$open" = "open 0" ]
  check "$name: memory is bounded: $(resident_kb) KB" [ "$(resident_kb)" -le $memory_max_kb ]
done <<'CASES'
garbage||failed
field||failed
field|slow|failed
fields||failed
fields|slow|failed
interim||failed
interim|slow|failed
chunk-size||open
chunk-extension||open
trailers||open
trailers|slow|open
body||open
chunked-body||open
CASES
finish
