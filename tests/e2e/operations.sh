#!/usr/bin/env bash
# The failures of docs/OPERATIONS.md. Each one is caused, and its cause is then found from the id of
# the request with the commands of that page. Guards against failures that logs, timeline and metrics
# do not explain.
build=$1
net=75
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh
. tests/e2e/platform_lib.sh
ph () { "$build/pollenhitch" "$@"; }
admin_address () { echo "$(address "$1"):7381"; }
nodes=$(join_addresses admin_address 1 2 3 4 5 6)
log_lines_of () { grep -h "$1" "$work_dir"/node*.log; }                     # ID
timeline_of () { ph timeline --nodes "$nodes" --call "$1" --limit 100000; } # ID
refusals () { # I REASON: prints a counter of node I
  local count
  count=$(curl -s "http://$(admin_address "$1")/metrics" | sed -n "s/^pollenhitch_refusals_total{reason=\"$2\"} //p")
  echo "${count:-0}"
}

start_platform
write_config 00000001 "" POST
require "all nodes get ready" wait_until 10 everywhere is_ready @
require "upstreams answer" wait_until 10 everywhere is_served_by @ /read/x book

# Refused under load: each upstream of book runs 7 calls of 20 ms at a time, so that a burst of 300
# calls cannot all start within their deadline.
for n in $(seq 300); do
  echo "next"
  echo "url = http://$(address 1):8147/read/x"
  echo "header = \"Host: a.example\""
  echo "header = \"Attempt-Id: $(printf '%016x' $((0xabc00000 + n)))\""
  echo "header = \"Deadline-Ms: 120\""
  echo "output = /dev/null"
  echo "write-out = \"%{http_code} $(printf '%016x' $((0xabc00000 + n)))\\n\""
done >"$work_dir/wave"
curl -s -Z --parallel-max 300 -K "$work_dir/wave" >"$work_dir/wave.out" 2>/dev/null
id=$(sed -n 's/^503 //p' "$work_dir/wave.out" | while read -r i; do log_lines_of "$i" | grep -q refused && echo "$i" && break; done)
check "a burst exceeds the capacity of the upstreams: $(sort "$work_dir/wave.out" | cut -c1-3 | uniq -c | tr '\n' ' ')" [ -n "$id" ]
check "the log has the reason of the refusal, and that the call was not run" \
  grep -qE 'request refused: (limit|queue-time|deadline|objective), run by an upstream: no, service platform/book' <<<"$(log_lines_of "$id")"
check "the log has the number of upstreams that could be chosen" grep -q '3 of 3 upstreams can be chosen' <<<"$(log_lines_of "$id")"
check "the timeline shows the refusal" grep -q 'call-refused' <<<"$(timeline_of "$id")"
check "the metric of refusals under load increased" [ $(($(refusals 1 limit) + $(refusals 1 queue-time) + $(refusals 1 deadline))) -gt 0 ]
sleep 1
curl -s -Z --parallel-max 300 -K "$work_dir/wave" >/dev/null 2>&1 # the next line of the same kind has the count
check "the log has the number of suppressed lines" grep -q '"suppressed":' "$work_dir/node1.log"

# Lost response: the upstream of VM 2 runs requests and does not respond.
control_platform "{\"upstream\":\"$(address 2)\",\"lose_answers\":5}"
id=
for n in $(seq 40); do
  request 2 /write/x -d 'hold a seat'
  [ "$status" = 502 ] && id=$(printf '%s' "$last_id") && break
done
check "a response is lost" [ -n "$id" ]
check "the log says that the call may have run" \
  grep -q 'request refused: connection-lost, run by an upstream: unknown, service platform/book' <<<"$(log_lines_of "$id")"
check "the timeline names the node and the reason" \
  grep -qE 'attempt-failed.*(connection-lost|vm-2)' <<<"$(timeline_of "$id")"
check "the log has the upstream that is suspended" \
  grep -q 'suspended' "$work_dir/node2.log"
check "the metric of lost connections increased" [ "$(refusals 2 connection-lost)" -gt 0 ]

# Configuration error: a route is removed.
write_config 00000002 "$(extra_route added)" PUT /main
check "a route is added" wait_until 3 answers_with 4 /added/x 200
write_config 00000003 "" PUT /main
check "a route is removed" wait_until 3 answers_with 4 /added/x 404
check "the log has the revision in force" \
  grep -q '/config/main: revision [0-9]* is in force' "$work_dir/node4.log"
# The change must be in force at all nodes within 2 s; node 4 is not always the last one.
have_one_revision () {
  local revisions
  revisions=$(ph status --nodes "$nodes" --output json | grep -oE '"config_revision": ?[0-9]+' | sort -u)
  [ -n "$revisions" ] && [ "$(wc -l <<<"$revisions")" -eq 1 ]
}
check "all nodes have the same revision within 2 s" wait_until 2 have_one_revision
# An entry that cannot be decoded is left out alone, and reported until a later version is whole.
left_out_is () { [ "$(curl -s "http://$(address "$1"):7381/metrics" | awk '$1 == "pollenhitch_config_left_out" { print $2 }')" = "$2" ]; }
check "nothing is left out" left_out_is 4 0
write_config 00000004 ",\"bad\":{\"host\":\"a.example\",\"pathPrefix\":\"/bad/\",\"kind\":\"safe\"},\"worse\":{\"host\":\"a.example\"}$(extra_route added)" PUT /main
check "the other routes of the version are in force" wait_until 3 answers_with 4 /added/x 200
check "an entry that is left out is reported with its field" \
  wait_until 3 grep -q 'routes.worse.pathPrefix: 0 bytes' "$work_dir/node4.log"
check "a route without a service is refused as not run" answers_with 4 /bad/x 503
check "the refusal names its reason" grep -qi 'route-left-out' "$work_dir/body"
check "the metric counts what is left out" wait_until 2 everywhere left_out_is @ 2
check "status shows what is left out" grep -q 'leaves out or adjusts routes.worse.pathPrefix' <<<"$(ph status --nodes "$nodes")"
write_config 00000005 "" PUT /main
check "a version that is whole ends the report" wait_until 3 everywhere left_out_is @ 0
# An object of which nothing can be decoded leaves the last one in force.
curl -sS -f -o /dev/null -X PUT "http://$store/objects/config/main" \
  -d '{"metadata":{"name":"main"},"spec":{"routes":["r"],"services":{}}}'
check "an invalid object is reported with its field" \
  wait_until 3 grep -q '/config/main: routes or services is missing or invalid' "$work_dir/node4.log"
check "the last valid configuration stays in force" answers_with 4 /read/x 200
check "the metric counts an invalid object" wait_until 2 everywhere left_out_is @ 1
finish
