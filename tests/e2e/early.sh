#!/usr/bin/env bash
# Responses before the end of the request's body. Guards against connections that are used again although
# a request was not sent whole, so that the upstream takes the next request for the rest of the body, and
# against bodies whose end is made up.
build=$1
net=80
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh

announce () { # renews the announcement of the upstream
  while sleep 0.5; do
    put_json "http://$(address 1):7003/v1/upstream" \
      '{"service":"cascade/early","version":"1","port":7090,"slots":40,"connections":100,"state":"ready"}'
  done
}
body_bytes=8000000 # more than the buffers of a connection
takes_early_calls () { send_body ready length 1; }
send_body () { # NAME FRAMING ENTRY-NODE: whether the call gets the whole response
  local flags=()
  [ "$2" = chunked ] && flags=(-H 'Transfer-Encoding: chunked')
  [ "$(head -c $body_bytes /dev/zero | tr '\0' b | curl -s -m 8 -X POST -H 'Expect:' "${flags[@]}" \
    -H 'Pollenhitch-Service: cascade/early' -H "X-Request-Id: $1" -H 'Content-Type: text/plain' \
    --data-binary @- "http://$(entry_address "$3")/$1")" = early ]
}
send_bodies () { # FRAMING ENTRY-NODE: 12 calls one after the other; prints how many got the whole response
  local n
  for n in {1..12}; do
    send_body "$1$2-$n" "$1" "$2" && echo whole
  done | wc -l
}

start_store
start_node 1 kamloops
start_node 2 kamloops
apply /teams/cascade/services/early service '{"deadline_ms":5000}'
run_in_background announce announce
run_in_background early "$build/standin-early" "$(upstream_address 1)" 200 $body_bytes
require "the upstream takes calls" wait_until 10 takes_early_calls
sleep 3
for framing in length chunked; do
  for entry in 1 2; do
    whole=$(send_bodies $framing $entry)
    check "bodies ($framing) through node $entry: all callers get the response: $whole of 12" [ "$whole" -eq 12 ]
  done
done
sleep 1 # the end of the last body is still being sent
stop_process early
result=$(cat "$work_dir/early.log")
echo "  upstream: $result"
check "the upstream got no other bytes as the rest of a body" [ "$(json_field "$result" other)" -eq 0 ]
check "the upstream got every body whole" [ "$(json_field "$result" whole)" -eq "$(json_field "$result" requests)" ]
check "the upstream got all requests" [ "$(json_field "$result" requests)" -ge 49 ]

# An upstream that never reads on, with bodies that fill all buffers on the way: the caller gets the response, and no end of the body is made up.
body_bytes=20000000
run_in_background early "$build/standin-early" "$(upstream_address 1)" 60000 $body_bytes
for framing in length chunked; do
  started=$(date +%s%3N)
  send_body "stalled-$framing" $framing 1
  took=$(($(date +%s%3N) - started))
  check "a call ($framing) at an upstream that never reads on ends: $took ms" [ "$took" -lt 8000 ]
done
stop_process early
result=$(cat "$work_dir/early.log" | tail -1)
check "no body is completed that was not sent: $result" [ "$(json_field "$result" whole)" -eq 0 ]
finish
