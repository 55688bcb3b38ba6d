# Helper functions of the review's scripts. A script sets $net and $trouble and sources this file.
# Processes are ended by their ids only; everything but record.txt is in a temporary folder.

set -u
case_dir=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
cd "$root" || exit 2
node_program=${NODE_PROGRAM:-target/pollenhitch}
standin=build/review/standin
work_dir=$(mktemp -d)
record=$case_dir/record.txt
: >"$record"
declare -A pid
export POLLENHITCH_CLUSTER_KEY=6b1f0c7a92d34e58b7c5e8a10f2d4963 # that of the deploy file
export POLLENHITCH_CONFIG=$work_dir/settings
cp deploy/settings.template "$POLLENHITCH_CONFIG"
zones=(kamloops squamish revelstoke)

for program in $node_program $standin build/standin-platform; do
  [ -x "$program" ] || { echo "cannot run: $program is missing; see review/build.sh"; exit 2; }
done

address () { echo "127.${block:-77}.$net.$1"; }
store=$(address 250):8142

run_in_background () { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work_dir/$name.log" 2>&1 &
  pid[$name]=$!
}
clean_up () {
  local status=$? name
  exec 2>/dev/null
  for name in "${!pid[@]}"; do
    kill -CONT "${pid[$name]}"
    kill -KILL "${pid[$name]}"
  done
  wait
  [ -n "${KEEP:-}" ] && echo "logs in $work_dir" || rm -rf "$work_dir"
  exit $status
}
trap clean_up EXIT
trap 'exit 2' INT TERM
wait_until () { # SECONDS COMMAND...
  local end=$(($(date +%s%N) + $1 * 1000000000))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s%N)" -lt $end ] || return 1
    sleep 0.05
  done
}
cannot_run () { echo "cannot run: $1"; exit 2; }
note () { echo "note $(date +%s.%3N) $*" >>"$record"; }

start_store () {
  run_in_background store build/standin-platform --address "$(address 250)" --port 8142
  wait_until 5 $standin call "$store" GET /control/stats store 0 "" || cannot_run "the store does not start"
}
start_node () { # I SERVICE: the run line of deploy/system.toml
  local at
  at=$(address "$1")
  run_in_background "node$1" $node_program platform --name "sidecar-$1" --address "$at" \
    --data-centre "${zones[$((($1 - 1) % 3))]}" --region bc-south --outbound "$at:8147" \
    --inbound "$at:8146" --ready "$at:8141" --heartbeats "$at:8144" --upstream "$at:8145" \
    --service "$2" --store-address "${store_of_nodes:-$store}" --port-control 7380 --port-admin 7395
}
start_backend () { # I SERVICE: a backend of 9 slots beside node I
  run_in_background "backend$1" $standin backend "$(address "$1"):8145" "$(address "$1"):8144" "$2" \
    "i-0000000$1" 9 "$work_dir/ran$1"
}
write_config () { # VERSION ROUTES [METHOD PATH]
  local service='"healthPath":"/health","maxConnections":220,"protocol":"h1","tls":false,"cold":"3s","coldPerS":19.0'
  $standin call "$store" "${3:-POST}" "/objects/config${4:-}" store 0 "{\"metadata\":{\"name\":\"main\"},
    \"spec\":{\"version\":\"$1\",\"routes\":{$2},\"services\":{\"book\":{$service},\"lib\":{$service}},
    \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}}" \
    || cannot_run "the configuration is not written"
}
is_ready () { $standin call "$(address "$1"):8141" GET /readiness node 0 ""; }
is_served () { # I PATH
  $standin call "$(address "$1"):8147" POST "$2" a.example "$(printf '%08x%08x' $RANDOM $RANDOM)" ""
}
