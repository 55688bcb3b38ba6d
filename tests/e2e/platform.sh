#!/usr/bin/env bash
# The node on the object platform, against a stand-in of its store and upstreams: the path of a
# request, configuration, leaves, a store that is down, forgets or turns a node away, restarts,
# settings that change, a data centre out of service, a version move.
build=$1
net=73
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh
. tests/e2e/platform_lib.sh

start_platform
check "no node is ready without a configuration" [ "$(is_ready 1 && echo ready)" = "" ]
check "without one a request is refused as not run, never 404" \
  wait_until 5 answers_with 1 /read/x 503
check "the configuration is written" write_config 00000001 "" POST
require "all nodes get ready without seeds" wait_until 10 everywhere is_ready @
require "upstreams of both services answer at all nodes" \
  wait_until 10 everywhere is_by @ /read/x book
check "the longest prefix wins" everywhere is_by @ /read/deep/x lib
check "an unknown path is 404" answers_with 2 /none/x 404
check "an unknown host is 404" [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Host: b.example' -H 'Attempt-Id: 0123456789abcdef' "http://$(address 1):8147/read/x")" = 404 ]
request 1 /read/x
check "the upstream's signature comes through" grep -qi '^Response-Seal: i-' "$work/head"
check "the service of the caller's VM is told" [ "${body##* }" = book ]
request 5 /read/x -H 'Caller-Service: forged'
check "and is the node's word" [ "${body##* }" = lib ]
# Guards against upstreams that work on for a caller that waits no more.
check "an upstream is handed the route's time where it is shorter" is_handed 1 /read/x 1000 1500
deadline=700
check "and the caller's where that is shorter" is_handed 1 /read/x 200 700
deadline=
head -c 100000 /dev/zero | tr '\0' x >"$work/large"
request 4 /write/x --data-binary @"$work/large" -H 'Transfer-Encoding: chunked'
check "a body in chunks gets through" [ "$status" = 200 ]
head -c 1100000 /dev/zero >"$work/larger"
request 4 /write/x --data-binary @"$work/larger"
check "a body over the limit is refused" [ "$status" = 413 ]

counts=0
for n in $(seq 40); do is_by 2 /split/x lib && counts=$((counts + 1)); done
check "a split holds its weights ($counts of 40)" [ $counts -eq 10 ]

check "a change is written" write_config 00000002 "$(extra added)" PUT /main
check "and is in force at every node within 2 s" wait_until 2 everywhere answers_with @ /added/x 200
control '{"forget":true}'
check "a change after the store forgot" write_config 00000003 "$(extra later)" PUT /main
check "is in force, and what was dropped is gone" wait_until 2 everywhere answers_with @ /later/x 200
check "no node goes back" everywhere answers_with @ /added/x 404
control "{\"refuse\":\"$(address 1)\"}"
check "a change while the store turns one node away" write_config 00000004 "$(extra third)" PUT /main
check "reaches that node by the others" wait_until 2 answers_with 1 /third/x 200
control '{"refuse":""}'

control '{"down":true}'
check "calls go on while the store is down" everywhere answers_with @ /read/x 200
stop_process node2 KILL
start_platform_node 2
check "a node that restarts then gets the configuration from others" wait_until 15 is_ready 2
check "the newest version" answers_with 2 /third/x 200
control '{"down":false}'
check "and its upstream is in use again" wait_until 10 is_by 2 /read/x book
# Guards against watchers that are back and do not say so (docs/incidents/mix-672108647001.md).
is_read_again () { sed '1,/"warning".*"store-read"/d' "$work/node2.log" | grep -q '/config/: list read at'; }
check "a watcher tells that it read the configuration again" wait_until 5 is_read_again

printf 'log-level=debug\nstop-grace-ms=1500\n' >"$work/settings"
stop_process node6 TERM
check "a planned stop ends with status 0" [ $stopped -eq 0 ]
start_platform_node 6 --config "$work/settings"
wait_until 10 is_ready 6
# A function: an expression would be expanded once, before the node had time to read them.
has_read_twice () { [ "$(grep -c 'the settings file was read' "$work/node6.log")" -ge 2 ]; }
kill -HUP "${pid[node6]}"
check "SIGHUP reads the settings again" wait_until 3 has_read_twice
echo 'log-level=loud' >"$work/settings"
check "a wrong value in a silent change is told once and changes nothing" \
  wait_until 4 grep -q 'settings stay as they were' "$work/node6.log"
check "and the node goes on" is_ready 6
# Guards against a stop that keeps to the settings of the start (fleetbench inc-b3cd: 2.0 s, not 3.2).
begin=$(date +%s%3N)
stop_process node6 TERM
check "a stop takes calls for as long as the file says" [ $(($(date +%s%3N) - begin)) -ge 1500 ]
start_platform_node 6
wait_until 10 is_ready 6

control "{\"upstream\":\"$(address 1)\",\"drain\":true}"
sleep 1.5
before=$(curl -s "http://$(address 1):7381/v1/status" | grep -c draining)
check "a draining upstream is known beside it" [ "$before" -ge 1 ]
check "its service goes on" everywhere is_by @ /read/x book
control "{\"upstream\":\"$(address 1)\",\"restart\":true}"
check "a new start at the same address is taken up" \
  wait_until 5 eval "! curl -s http://$(address 1):7381/v1/status | grep -q draining"

misdirected=$(stats misdirected)
control "{\"upstream\":\"$(address 2)\",\"lose_answers\":3}"
unknown=0
for n in $(seq 30); do
  request 2 /write/x -d 'hold a seat'
  [ "$status" = 502 ] && unknown=$((unknown + 1))
  [ "$status" = 200 ] || [ "$status" = 502 ] || check "a lost answer is not a refusal: $status" false
done
check "answers that are lost are told as unknown ($unknown)" [ $unknown -ge 1 ]
# Guards against writes that take a second longer (fleetbench quiet-1: each POST took 1.007 s).
check "no call to the store waits for a 100 response" [ "$(stats expecting)" -eq 0 ]
check "no request ran twice" [ "$(stats twice)" -eq 0 ]
check "no request reached another start" [ "$(stats misdirected)" -eq "$misdirected" ]

curl -sS -f -o /dev/null -X POST "http://$store/objects/evacuations" \
  -d '{"metadata":{"name":"squamish"},"spec":{}}'
sleep 2
quiet () { curl -s "http://$(address 1):7381/metrics" | grep '^pollenhitch_attempts_total' | grep -oE '[0-9]+$'; }
before=$(quiet)
for n in $(seq 20); do request 2 /read/x; done
check "a data centre that is out gets no calls" [ "$(quiet)" -eq "$before" ]
curl -sS -f -o /dev/null -X DELETE "http://$store/objects/evacuations/squamish"
check "and gets them again" wait_until 8 eval 'request 1 /read/x; [ "$(quiet)" -gt '"$before"' ]'

# The upstream of VM 3 becomes one of a new version: calls go there in steps until the move is done.
control "{\"upstream\":\"$(address 3)\",\"version\":\"v2\",\"restart\":true}"
curl -sS -f -o /dev/null -X POST "http://$store/objects/rollouts" \
  -d '{"metadata":{"name":"book"},"spec":{"service":"book","targetVersion":"v2","duration":"8s"}}'
rollout () { curl -s "http://$store/objects/rollouts/book" | grep -q "\"state\":\"$1\""; }
send_some () { local n; for n in 1 2 3; do request $((n * 2 - 1)) /read/x; done; "$@"; }
check "a move is reported as running" wait_until 6 send_some rollout running
# The answer of the write that reports the end may be lost: it is read back, not written again.
control '{"lose":1}'
check "a good one is reported as completed" wait_until 10 send_some rollout completed
check "and all calls go to the new version" eval 'request 5 /read/x; [[ $body == "book v2 "* ]]'
# Guards against nodes that each report a move, or report it again after a lost answer.
check "a move is reported twice: running and completed" [ "$(stats reports)" -eq 2 ]
finish
