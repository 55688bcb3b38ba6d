#!/usr/bin/env bash
# Large bodies and slow readers. Guards against nodes that buffer whole bodies in memory, and against
# a caller that reads slowly and delays other callers.
build=$1
net=67
export ASAN_OPTIONS=quarantine_size_mb=1 # freed memory that the sanitizer keeps would count as growth
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh
# A node may grow by this over its idle size; it forwards bodies of 1 GiB.
growth_max_kb=65536
large_bytes=$((1024 * 1024 * 1024))

peak_kb () { awk '/VmHWM/ { print $2 }' "/proc/${pid[node$1]}/status"; }
is_bounded () { # I IDLE-KB
  grown=$(($(peak_kb "$1") - $2))
  echo "  node $1 grew by $grown KiB"
  [ $grown -lt $growth_max_kb ]
}
targets=$(join_addresses entry_address 1 2 3)
ledgers=$(join_addresses upstream_address 1 2 3)

require "the fleet starts" start_fleet 3 --latency-us 1000 --slots 40
warm_up warm 8 # each upstream can serve all 8 slow readers below
idle1=$(peak_kb 1) idle2=$(peak_kb 2) idle3=$(peak_kb 3)

# Calls enter at node 1 while only the upstreams of nodes 2 and 3 are available, so that each body
# passes through two nodes.
control_upstream 1 '{"is_draining":true}'
sleep 2
run_load --targets "$(entry_address 1)" --ledger "$ledgers" --calls 2 --concurrency 2 --post-share 1 \
  --large-share 1 --large-bytes $large_bytes --exact --deadline-ms 120000 --seconds 120 --seed 501
check "bodies of 1 GiB in each direction are complete" all_complete
check "all bytes were received" [ "$(json_field "$load_result" bytes)" -eq $((2 * large_bytes)) ]
for i in 1 2 3; do
  idle=idle$i
  check "memory of node $i is bounded" is_bounded $i "${!idle}"
done

for i in {1..8}; do
  run_in_background slow$i curl -s --limit-rate 200k -o /dev/null -H 'Pollenhitch-Service: cascade/booking-desk' \
    -H "X-Want-Bytes: $large_bytes" "http://$(entry_address 1)/slow"
done
sleep 1
run_load --targets "$(entry_address 1)" --ledger "$ledgers" --calls 2000 --concurrency 8 --seed 502
check "calls during 8 slow readers are complete" all_complete
for i in {1..8}; do
  check "slow reader $i is still running" kill -0 "${pid[slow$i]}"
  stop_process slow$i KILL
done
for i in 1 2 3; do
  idle=idle$i
  check "memory of node $i is bounded with slow readers" is_bounded $i "${!idle}"
done
finish
