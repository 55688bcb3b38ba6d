#!/usr/bin/env bash
# Failures of docs/OPERATIONS.md: each is made, and its cause is found from the request's id by the
# commands of the page. Guards against a failure that logs and metrics do not explain.
build=$1
net=75
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh
. tests/e2e/platform_lib.sh
ph () { "$build/pollenhitch" "$@"; }
admin_at () { echo "$(address "$1"):7381"; }
nodes=$(list admin_at 1 2 3 4 5 6)
line_of () { grep -h "$1" "$work"/node*.log; }                     # ID: lines of the logs
timeline_of () { ph timeline --nodes "$nodes" --call "$1" --limit 100000; } # ID
refusals () { # I REASON
  local count
  count=$(curl -s "http://$(admin_at "$1")/metrics" | sed -n "s/^pollenhitch_refusals_total{reason=\"$2\"} //p")
  echo "${count:-0}"
}

start_platform
write_config 00000001 "" POST
require "all nodes get ready" wait_until 10 everywhere is_ready @
require "upstreams answer" wait_until 10 everywhere is_by @ /read/x book

# Turned away under load: the upstreams of book run 7 calls each, of 20 ms; a wave of 300 at once is
# more than can start in time.
for n in $(seq 300); do
  echo "next"
  echo "url = http://$(address 1):8147/read/x"
  echo "header = \"Host: a.example\""
  echo "header = \"Attempt-Id: $(printf '%016x' $((0xabc00000 + n)))\""
  echo "header = \"Deadline-Ms: 120\""
  echo "output = /dev/null"
  echo "write-out = \"%{http_code} $(printf '%016x' $((0xabc00000 + n)))\\n\""
done >"$work/wave"
curl -s -Z --parallel-max 300 -K "$work/wave" >"$work/wave.out" 2>/dev/null
id=$(sed -n 's/^503 //p' "$work/wave.out" | while read -r i; do line_of "$i" | grep -q refused && echo "$i" && break; done)
check "a wave is more than the upstreams take: $(sort "$work/wave.out" | cut -c1-3 | uniq -c | tr '\n' ' ')" [ -n "$id" ]
check "the log says why, and that it was not run" \
  grep -qE 'refused: (limit|queue-time|deadline|objective), run no, service platform/book' <<<"$(line_of "$id")"
check "and what there was to choose from" grep -q '3 of 3 upstreams can be chosen' <<<"$(line_of "$id")"
check "the timeline shows its refusal" grep -q 'call-refused' <<<"$(timeline_of "$id")"
check "the metric moved" [ $(($(refusals 1 limit) + $(refusals 1 queue-time) + $(refusals 1 deadline))) -gt 0 ]
sleep 1
curl -s -Z --parallel-max 300 -K "$work/wave" >/dev/null 2>&1 # the next line of the kind tells
check "lines are left out and told" grep -q '"suppressed":' "$work/node1.log"

# Lost with its upstream: answers of VM 2 get lost after the request ran.
control "{\"upstream\":\"$(address 2)\",\"lose_answers\":5}"
id=
for n in $(seq 40); do
  request 2 /write/x -d 'hold a seat'
  [ "$status" = 502 ] && id=$(printf '%s' "$last_id") && break
done
check "an answer is lost" [ -n "$id" ]
check "the log says that it may have run" \
  grep -q 'refused: connection-lost, run unknown, service platform/book' <<<"$(line_of "$id")"
check "the timeline names the node and the reason" \
  grep -qE 'attempt-failed.*(connection-lost|vm-2)' <<<"$(timeline_of "$id")"
check "the log tells of the upstream that is kept away from" \
  grep -q 'suspended' "$work/node2.log"
check "the metric moved" [ "$(refusals 2 connection-lost)" -gt 0 ]

# Wrong through configuration: a route is dropped.
write_config 00000002 "$(extra added)" PUT /main
check "a route is added" wait_until 3 answers_with 4 /added/x 200
write_config 00000003 "" PUT /main
check "a route is dropped" wait_until 3 answers_with 4 /added/x 404
check "the log names the revision in force" \
  grep -q '/config/main: revision [0-9]* is in force' "$work/node4.log"
# A change is in force at all nodes within 2 s; node 4 is not always the last.
have_one_revision () {
  local revisions
  revisions=$(ph status --nodes "$nodes" --output json | grep -oE '"config_revision": ?[0-9]+' | sort -u)
  [ -n "$revisions" ] && [ "$(wc -l <<<"$revisions")" -eq 1 ]
}
check "all nodes have the same revision within 2 s" wait_until 2 have_one_revision
curl -sS -f -o /dev/null -X PUT "http://$store/objects/config/main" \
  -d '{"metadata":{"name":"main"},"spec":{"routes":{"r":{"host":"a.example"}},"services":{}}}'
check "an object that cannot be used is told with its field" \
  wait_until 3 grep -q 'route r: host, pathPrefix' "$work/node4.log"
check "and the last good one holds" answers_with 4 /read/x 200
finish
