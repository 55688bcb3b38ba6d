#!/usr/bin/env bash
# The commands of the operators against the stand-in store. Argument: the build folder. Guards
# against commands that overwrite a change of another operator, that report a write as failed although
# it took effect, and that exit with a wrong status or without the cause. The last line is
# "N passed, N failed".
set -u
build=$1
net=40
. "$(dirname "$0")/lib.sh"

start_store
store=$(store_url)
export POLLENHITCH_STORE=$store POLLENHITCH_TIMEOUT_MS=2000 POLLENHITCH_ATTEMPTS=3

ph () { "$build/pollenhitch" "$@"; }
control_store () { put_json "$store/control" "$1"; } # JSON
expect () { # NAME STATUS TEXT COMMAND...: checks the exit status and a text of both output streams
  local name=$1 status=$2 text=$3 actual
  shift 3
  "$@" >"$work_dir/out" 2>"$work_dir/err"
  actual=$?
  if [ $actual -eq "$status" ] && { [ -z "$text" ] || grep -qF -- "$text" "$work_dir/out" "$work_dir/err"; }; then
    check "$name" true
  else
    check "$name" false
    echo "  status $actual, expected $status and \"$text\""
    head -20 "$work_dir/out" "$work_dir/err"
  fi
}
object () { # NAME SPEC [REVISION]: prints a service object for apply
  printf '{"path":"/teams/cascade/services/%s","kind":"service","spec":%s%s}' "$1" "$2" "${3:+,\"revision\":$3}"
}
# NAME SPEC [REVISION [FLAG...]]: applies a service object
write_service () { object "$1" "$2" "${3:-}" >"$work_dir/$1.json"; ph apply "$work_dir/$1.json" "${@:4}"; }


# Conflicts are detected and reported with the path and both revisions.
desk=/teams/cascade/services/booking-desk
expect "apply creates" 0 "$desk written at revision 1" write_service booking-desk '{"queue_ms":5}'
expect "apply of an equal object writes nothing" 0 "unchanged at revision 1" write_service booking-desk '{"queue_ms":5}'
expect "conflict names path and revisions" 3 "$desk: conflict: expected revision 7, but it is at revision 1" \
  write_service booking-desk '{"queue_ms":6}' "" --if-revision 7
expect "a revision in the file is a condition" 3 "expected revision 9" write_service booking-desk '{"queue_ms":6}' 9
expect "an equal object at another revision is a conflict" 3 "expected revision 9" write_service booking-desk '{"queue_ms":5}' 9
expect "revision 0 does not replace an object" 3 "expected no object, but it is at revision 1" \
  write_service booking-desk '{"queue_ms":6}' "" --if-revision 0
expect "the right revision is written" 0 "written at revision 2" write_service booking-desk '{"queue_ms":6}' "" --if-revision 1
expect "delete checks the revision" 3 "expected revision 1, but it is at revision 2" ph delete "$desk" --if-revision 1
expect "--if-revision is for one object" 2 "--if-revision: \"2\" is not allowed with 2 objects" \
  ph apply --if-revision 2 "$work_dir/booking-desk.json" "$work_dir/booking-desk.json"
expect "delete" 0 "$desk deleted at revision 3" ph delete "$desk" --if-revision 2
expect "get of a missing object" 4 "$desk: no such object in the store" ph get "$desk"
expect "delete of a missing object" 4 "$desk: no such object" ph delete "$desk"
expect "apply --check needs no store" 0 "$desk is valid" \
  env -u POLLENHITCH_STORE "$build/pollenhitch" apply --check "$work_dir/booking-desk.json"

# diff shows each field that apply would change.
write_service booking-desk '{"queue_ms":5,"retry_percent":10}' >/dev/null
object booking-desk '{"queue_ms":6,"deadline_ms":900}' >"$work_dir/changed.json"
expect "diff of an equal object" 0 "" ph diff "$work_dir/booking-desk.json"
expect "diff shows a field that is changed" 1 "$desk: spec.queue_ms: 5 -> 6" ph diff "$work_dir/changed.json"
expect "diff shows a field that is removed" 1 "spec.retry_percent: 10 -> (not set)" ph diff "$work_dir/changed.json"
expect "diff shows a field that is added" 1 "spec.deadline_ms: (not set) -> 900" ph diff "$work_dir/changed.json"
expect "table" 0 'PATH                                  REVISION  KIND     SPEC' ph get "$desk" --output table
expect "unknown output" 2 '--output: "xml" is not allowed; allowed: json, table' ph get "$desk" --output xml
ph delete "$desk" >/dev/null
expect "diff of a new object" 1 "$desk: not in the store" ph diff "$work_dir/changed.json"

# A write that took effect is not reported as failed when its response is lost.
control_store '{"lose_next_responses":1}'
expect "apply survives a lost response" 0 "$desk written at revision" write_service booking-desk '{"queue_ms":7}'
control_store '{"lose_next_responses":1}'
expect "delete survives a lost response" 0 "$desk deleted at revision" ph delete "$desk"

# A store that is down is distinguished from a failed write.
control_store '{"down":true}'
expect "store down" 5 "no conclusive response from the store in 3 attempts" write_service booking-desk '{"queue_ms":8}'
expect "store down for reads" 5 "no conclusive response from the store in 3 attempts" ph get "$desk"
control_store '{"down":false}'
expect "no store at the address" 5 "no conclusive response from the store in 1 attempts" ph get "$desk" --store "http://$(address 1):1" --attempts 1
expect "nothing was written while the store was down" 4 "no such object" ph get "$desk"

# Two operators change one object at the same time. Each adds 1 to its own field 12 times, and no
# increment may be lost. After status 7 (a response was lost and the object has changed since) the
# operator reads the object to find out whether the write took effect.
operator () { # FIELD
  local field=$1 done=0 text= last status=0
  while [ $done -lt 12 ]; do
    last=$text
    ph get /teams/cascade/services/race >"$work_dir/$field.in"
    text=$(sed -n "s/.*\"$field\": \([0-9]*\).*/\1/p" "$work_dir/$field.in")
    if [ $status -eq 7 ] && [ "$text" -gt "$last" ]; then done=$((done + 1)) status=0; continue; fi
    sed "s/\"$field\": $text/\"$field\": $((text + 1))/" "$work_dir/$field.in" >"$work_dir/$field.json"
    ph apply "$work_dir/$field.json" >/dev/null 2>>"$work_dir/$field.err"
    status=$?
    case $status in
      0) done=$((done + 1)) ;;
      3 | 7) echo $status >>"$work_dir/conflicts" ;;
      *) return ;;
    esac
  done
}
race () { # [JSON]: runs both operators, with failures of the store
  : >"$work_dir/conflicts"
  write_service race '{"queue_ms":0,"deadline_ms":1}' >/dev/null
  operator queue_ms & local first=$!
  operator deadline_ms & local second=$!
  while kill -0 $first 2>/dev/null || kill -0 $second 2>/dev/null; do
    [ -z "$1" ] || control_store "$1"
    sleep 0.05
  done
  wait $first $second
  ph get /teams/cascade/services/race >"$work_dir/out" 2>"$work_dir/err"
  grep -q '"queue_ms": 12' "$work_dir/out" && grep -q '"deadline_ms": 13' "$work_dir/out"
}
check "racing operators overwrite nothing unseen" race ""
check "the race had conflicts" grep -q 3 "$work_dir/conflicts"
check "racing operators overwrite nothing unseen when responses are lost" race '{"lose_next_responses":1}'

control_store '{"lose_next_responses":0}'

full () { "$@" >/dev/full; }
expect "output that cannot be written" 1 "standard output cannot be written" full ph get /teams/

# Data centres.
centre=/teams/cascade/data-centres/kamloops
export POLLENHITCH_TEAM=cascade
expect "dc out" 0 "$centre written" ph dc out kamloops
expect "dc out twice" 0 "$centre unchanged" ph dc out kamloops
expect "dc out needs a name" 2 "NAME is not set; allowed: one NAME" ph dc out
expect "dc out checks the name" 2 "the name is not allowed" ph dc out Kamloops
expect "dc needs out or in" 2 'unknown command "off"' ph dc off kamloops
ph dc out kamloops --team instituto >/dev/null
echo "{\"path\":\"$centre\",\"kind\":\"data-centre\",\"spec\":{\"region\":\"bc-south\",\"out\":true}}" | ph apply - >/dev/null
expect "dc in names the other teams" 0 "kamloops is still out: out is true in /teams/instituto/data-centres/kamloops" ph dc in kamloops
expect "dc in keeps the other fields" 0 '"region": "bc-south"' ph get "$centre"
control_store '{"lose_next_responses":1}'
expect "dc survives a lost response" 0 "$centre written" ph dc out kamloops

# dc changes one field repeatedly while another operator changes another field. Neither change may be
# lost, and dc may not fail.
other_field () {
  local i=0
  while [ $i -lt 8 ]; do
    ph get $centre | sed "s/\"region\": \"[a-z0-9-]*\"/\"region\": \"region-$((i + 1))\"/" >"$work_dir/region.json"
    ph apply "$work_dir/region.json" >/dev/null 2>&1
    case $? in
      0) i=$((i + 1)) ;;
      3) echo conflict >>"$work_dir/region.conflicts" ;;
      *) return 1 ;;
    esac
  done
}
dc_race () {
  : >"$work_dir/region.conflicts"
  other_field &
  local other=$!
  while kill -0 $other 2>/dev/null; do
    ph dc in kamloops >/dev/null && ph dc out kamloops >/dev/null || { wait $other; return 1; }
  done 2>>"$work_dir/dc.err"
  wait $other && ph get $centre >"$work_dir/out" && grep -q '"region": "region-8"' "$work_dir/out" && grep -q '"out": true' "$work_dir/out"
}
check "dc and apply keep each other's fields" dc_race

# Odd objects of another writer. Guards against one that makes a list unreadable, ends a command, or can
# neither be replaced nor deleted.
deep=$(printf '[%.0s' {1..5000})$(printf ']%.0s' {1..5000})
put_odd () { put_json "$store/v1/objects$1" "$2"; } # PATH TEXT
control_store '{"takes_any_text":true}'
odd_count=0
while IFS='|' read -r name text; do
  odd_count=$((odd_count + 1))
  odd=/teams/cascade/services/odd$odd_count
  put_odd "$odd" "$text"
  expect "list with $name" 0 "/teams/cascade/data-centres/kamloops" ph get /teams/
  expect "get of $name" 0 "$odd" ph get "$odd"
  expect "dc beside $name" 0 "$centre written" ph dc in kamloops
  expect "dc out beside $name" 0 "$centre written" ph dc out kamloops
  expect "move status beside $name" 0 "" ph move status
  if [ $((odd_count % 2)) -eq 0 ]; then
    expect "apply replaces $name" 0 "$odd written" write_service odd$odd_count '{"queue_ms":1}'
  else
    expect "delete of $name" 0 "$odd deleted" ph delete "$odd"
  fi
done <<CASES
an object nested 5,000 deep|{"kind":"service","spec":$deep}
a second one|{"kind":"service","spec":{"x":$deep}}
a number over 64 bits|{"kind":"service","spec":{"queue_ms":99999999999999999999}}
a number out of range|{"kind":"service","spec":{"queue_ms":1e999}}
a NUL character|{"kind":"service","spec":{"a":"\\u0000"}}
another type|[1,"a",null]
wrong types|{"kind":7,"spec":"none"}
no value|null
CASES
put_odd /teams/cascade/moves/odd '{"kind":[],"spec":{"service":7,"from":{},"to":null,"deadline":-1,"cancelled":"x"}}'
expect "a move of wrong types" 0 "odd" ph move status
put_odd /status/moves/cascade/odd '{"kind":[],"spec":{"outcome":7,"reason":{}}}'
expect "a status of wrong types" 0 "odd" ph move status
ph delete /teams/cascade/moves/odd >/dev/null
control_store '{"takes_any_text":false}'

# Moves.
start_move () { ph move start friday --service booking-desk --from 1.0 --to 1.1 --deadline "${1:-2199-01-01T00:00:00Z}" "${@:2}"; }
expect "deadline in the past" 2 '--deadline: "2020-01-01T00:00:00Z" is not allowed' start_move 2020-01-01T00:00:00Z
expect "deadline that is not a time" 2 '--deadline: "soon" is not allowed; allowed: a time in UTC' start_move soon
expect "start after the deadline" 2 'spec.deadline' start_move "" --start 2199-02-01T00:00:00Z
expect "move start" 0 "/teams/cascade/moves/friday written" start_move
expect "move start with the name of a running move" 3 "expected no object" start_move
expect "move status" 0 "running" ph move status friday
expect "move cancel" 0 "/teams/cascade/moves/friday written" ph move cancel friday
expect "move cancel twice" 0 "unchanged" ph move cancel friday
expect "cancelled move" 0 '"state": "cancelling"' ph move status --output json
put_json "$store/v1/objects/status/moves/cascade/friday" '{"kind":"move-status","spec":{"outcome":"taken-back","reason":"cancelled","move_revision":1}}'
expect "final status" 0 "taken-back" ph move status
expect "no cancel after the final status" 3 "the move has ended (taken-back)" ph move cancel friday
ph delete /teams/cascade/moves/friday >/dev/null
expect "no new move under the name of an ended one" 3 "choose another name" start_move
expect "cancel of a missing move" 4 "no such object" ph move cancel monday
expect "status of a missing move" 4 "no such object" ph move status monday

# Nodes. They start after the cases above because they write the final status of moves.
start_node 1 kamloops
start_node 2 squamish
nodes=$(address 1):7003,$(address 2):7003
dead_node=$(address 3):7003
two_nodes () { [ "$(ph status --nodes "$nodes" | grep -c 'alive 2')" -eq 2 ]; }
check "nodes have joined" wait_until 10 two_nodes
expect "status" 0 "vm-2" ph status --nodes "$nodes"
expect "status shows a node that does not respond" 1 "does not respond" ph status --nodes "$nodes,$dead_node"
expect "status as JSON" 1 '"responds": false' ph status --nodes "$nodes,$dead_node" --output json
put_json "$store/v1/objects/teams/cascade/services/bad" '{"kind":"service","spec":{"queue_ms":-1}}'
# Column 5 is the number of rejected objects.
is_rejected () { [ "$(ph status --nodes "$nodes" | awk '$5 == 1' | wc -l)" -eq 2 ]; }
check "status shows a rejected object" wait_until 10 is_rejected
expect "nodes are checked" 2 '--nodes: "vm-1:7003" is not allowed' ph status --nodes vm-1:7003
expect "--wait needs --nodes" 2 "--nodes (or POLLENHITCH_NODES) is not set" write_service wait '{}' "" --wait
expect "without --nodes nothing is written" 4 "no such object" ph get /teams/cascade/services/wait
expect "--wait-nodes is checked" 2 '--wait-nodes: "3" is not allowed' write_service wait '{}' "" --wait --nodes "$nodes" --wait-nodes 3
expect "apply --wait" 0 "is in force at 2 of 2 nodes" write_service wait '{}' "" --wait --nodes "$nodes"
expect "apply --wait of an unchanged object" 0 "is in force at 2 of 2" write_service wait '{}' "" --wait --nodes "$nodes"
expect "delete --wait" 0 "is in force at 2 of 2" ph delete /teams/cascade/services/wait --wait --nodes "$nodes"
expect "dc --wait" 0 "is in force at 2 of 2" ph dc in kamloops --wait --nodes "$nodes"
ph move start monday --service booking-desk --from 1.0 --to 1.1 --deadline 2199-01-01T00:00:00Z >/dev/null
expect "move cancel --wait" 0 "is in force at 2 of 2" ph move cancel monday --wait --nodes "$nodes"
is_taken_back () { ph move status monday | grep -q 'taken-back  cancelled'; }
check "the nodes write the final status of a cancelled move" wait_until 15 is_taken_back
expect "--wait ends after --wait-seconds" 6 "in force at only 2 of 3 nodes after 1 s" ph dc out kamloops --wait --nodes "$nodes,$dead_node" --wait-seconds 1
expect "--wait names the late nodes" 6 "$dead_node does not respond" ph dc out kamloops --wait --nodes "$nodes,$dead_node" --wait-seconds 1
expect "--wait-nodes" 0 "in force at 2 of 3" ph dc in kamloops --wait --nodes "$nodes,$dead_node" --wait-nodes 2

# A node that accepts connections and does not respond delays status by --timeout-ms only, also when
# many nodes are asked.
many=$(for i in $(seq 3 150); do printf '%s:7003,' "$(address "$i")"; done)$nodes
kill -STOP "${pid[node2]}"
start=$SECONDS
expect "status with a paused node" 1 "does not respond: Timeout" ph status --nodes "$many" --timeout-ms 300
check "status shows each of 150 nodes" [ "$(wc -l <"$work_dir/out")" -eq 151 ]
check "status with a paused node takes at most 5 s" [ $((SECONDS - start)) -le 5 ]
kill -CONT "${pid[node2]}"

finish
