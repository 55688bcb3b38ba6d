#!/usr/bin/env bash
# Large bodies and slow readers. Guards against nodes that keep bodies in memory, and against a slow
# caller that holds up others.
build=$1
net=67
export ASAN_OPTIONS=quarantine_size_mb=1 # memory that the sanitizer keeps does not count
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh
bound_kb=65536 # a node may grow by this over its idle size, far below the 1 GiB that it passes on
large=$((1024 * 1024 * 1024))

peak () { awk '/VmHWM/ { print $2 }' "/proc/${pid[node$1]}/status"; }
is_bounded () { # I IDLE-SIZE
  grown=$(($(peak "$1") - $2))
  echo "  node $1 grew by $grown KiB"
  [ $grown -lt $bound_kb ]
}
targets=$(list entry_at 1 2 3)
ledgers=$(list upstream_at 1 2 3)

require "the fleet starts" start_fleet 3 --latency-us 1000 --slots 40
warm_up warm 8 # each upstream takes the slow readers below, should they all come to it
idle1=$(peak 1) idle2=$(peak 2) idle3=$(peak 3)

# Node 1 enters, and nodes 2 and 3 are beside the only upstreams, so that each body passes two nodes.
control 1 '{"is_draining":true}'
sleep 2
run_load --targets "$(entry_at 1)" --ledger "$ledgers" --calls 2 --concurrency 2 --post-share 1 \
  --large-share 1 --large-bytes $large --exact --deadline-ms 120000 --seconds 120 --seed 501
check "bodies of 1 GiB in each direction are whole" all_whole
check "all of them came" [ "$(field "$result" bytes)" -eq $((2 * large)) ]
for i in 1 2 3; do
  idle=idle$i
  check "memory of node $i is bounded" is_bounded $i "${!idle}"
done

for i in {1..8}; do
  run_bg slow$i curl -s --limit-rate 200k -o /dev/null -H 'Pollenhitch-Service: cascade/booking-desk' \
    -H "X-Want-Bytes: $large" "http://$(entry_at 1)/slow"
done
sleep 1
run_load --targets "$(entry_at 1)" --ledger "$ledgers" --calls 2000 --concurrency 8 --seed 502
check "calls beside 8 slow readers are whole" all_whole
for i in {1..8}; do
  check "slow reader $i still reads" kill -0 "${pid[slow$i]}"
  stop_process slow$i KILL
done
for i in 1 2 3; do
  idle=idle$i
  check "memory of node $i is bounded with slow readers" is_bounded $i "${!idle}"
done
finish
