#!/usr/bin/env bash
# Upstreams whose connections carry bytes besides one answer to each request. Guards against a caller
# that gets the second copy of an earlier answer to the same id (issue 33: a success where the upstream
# answered with an error), a response put together of two, or one that broke off as a complete one.
build=$1
net=81
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh
. tests/e2e/platform_lib.sh

instance=i-stutter
announce () { # renews the heartbeats of the upstream
  local sequence=0 born
  born=$(date +%s%3N)
  while sleep 0.3; do
    sequence=$((sequence + 1))
    curl -s -m 1 -o /dev/null -X PUT "http://$(address 1):8144/instances/$instance" -d "{\"address\":\"$(address 1):8145\",
      \"born\":$born,\"info\":{\"service\":\"book\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":9},
      \"status\":{\"state\":\"ready\",\"sequence\":$sequence,\"coldLeft\":\"0ms\"}}"
  done
}
send_id () { # ID ENTRY-NODE PATH: sends a request; sets $status and $body
  status=$(curl -s -m 5 -o "$work_dir/body" -D "$work_dir/head" -w '%{http_code}' -H 'Host: a.example' \
    -H "Attempt-Id: $1" -H 'Deadline-Ms: 2000' "http://$(address "$2"):8147$3")
  curl_status=$?
  body=$(cat "$work_dir/body" 2>/dev/null)
}
new_id () { request_count=$((request_count + 1)); id=$(printf '%08x%08x' $((RANDOM * 32768 + RANDOM)) $request_count); }
is_copy () { grep -qi '^X-Copy' "$work_dir/head"; }
# Whether the last response is the answer to a run of an id, or a truthful failure.
is_answer () { # ID RUN STATUS
  [ "$status" = 502 ] || { [ "$status" = "$3" ] && [ "$curl_status" -eq 0 ] && ! is_copy && [[ $body == *" to $1, run $2, "* ]]; }
}
# Sends an id twice, the first time through node 1, and a third request with an id of its own.
repeats_get_their_answers () { # ENTRY-NODE-OF-THE-SECOND MODE FRAMING
  local first n
  for n in {1..5}; do # a copy left over from the test before may fail the first one
    new_id
    first=$id
    send_id "$first" 1 "/read/$2/$3"
    [ "$status" = 502 ] || break
  done
  [ "$status" = 200 ] && is_answer "$first" 1 200 || { echo "  first: $status $body"; return 1; }
  sleep 0.1
  send_id "$first" "$1" "/read/$2/$3"
  is_answer "$first" 2 500 || { echo "  repeat: $status $(is_copy && echo copy) $body"; return 1; }
  new_id
  send_id "$id" "$1" "/read/plain/$3"
  is_answer "$id" 1 200 || { echo "  next: $status $(is_copy && echo copy) $body"; return 1; }
}
# Guards against requests that are lost on a connection on which something has arrived since its last
# response: a late copy, or its end.
next_is_served () { # ENTRY-NODE MODE FRAMING
  new_id
  send_id "$id" "$1" "/read/$2/$3"
  sleep 0.1
  new_id
  send_id "$id" "$1" "/write/plain/$3"
  is_answer "$id" 1 200 && [ "$status" = 200 ] || { echo "  next: $status $body"; return 1; }
}
# Guards against a refusal of an earlier request that passes for one of a request that is run: the caller
# would repeat it.
next_is_not_refused () { # ENTRY-NODE MODE FRAMING
  new_id
  send_id "$id" "$1" "/read/$2/$3"
  [ "$status" = 503 ] || { echo "  refusal: $status $body"; return 1; }
  new_id
  send_id "$id" 1 "/write/plain/length"
  is_answer "$id" 1 200 || { echo "  next: $status $(is_copy && echo copy) $body"; return 1; }
  wait_until 5 succeeds "$1" plain length
}
# Guards against a second copy of the answer to a health check, which has no id, as the answer to the
# first request.
first_is_served () { # ENTRY-NODE
  for _ in {1..100}; do
    new_id
    send_id "$id" "$1" /read/plain/length
    [ "$status" = 200 ] || [ "$status" = 502 ] && break
    sleep 0.1
  done
  is_answer "$id" 1 200 && [ "$status" = 200 ] || { echo "  first: $status $body"; return 1; }
}
fails () { # ENTRY-NODE MODE FRAMING: whether no part of the answer passes as a complete success
  new_id
  send_id "$id" "$1" "/read/$2/$3"
  [ "$status" = 502 ] || { [ "$status" != 503 ] && [ "$curl_status" -ne 0 ]; } || { echo "  $status $body"; return 1; }
}
succeeds () { # ENTRY-NODE MODE FRAMING: whether the answer arrives whole, with no field of another response
  new_id
  send_id "$id" "$1" "/read/$2/$3"
  is_answer "$id" 1 200 && [ "$status" = 200 ] && ! grep -qi '^X-Interim' "$work_dir/head"
}

run_in_background platform "$build/standin-platform" --address "127.$address_block.$net.250" --port 7080
wait_until 5 curl -sf "http://$store/control/stats"
run_in_background stutter "$build/standin-stutter" "$(address 1):8145" $instance
# The announcement must not expire when the loop of the heartbeats is late.
for i in 1 2; do start_platform_node $i --announce-ttl-ms 30000; done
write_config 00000001 "" POST
run_in_background announce announce
check "the request behind the first health check is served" first_is_served 1
require "both nodes use the upstream" wait_until 10 eval 'succeeds 1 plain length && succeeds 2 plain length'
sleep 2

# test | mode | framings
while IFS='|' read -r test mode framings; do
  for framing in $framings; do
    for entry in 1 2; do
      check "$mode ($framing) through node $entry: $test" "$test" "$entry" "$mode" "$framing"
    done
  done
done <<'CASES'
repeats_get_their_answers|plain|length chunked close
repeats_get_their_answers|together|length chunked
repeats_get_their_answers|late|length chunked
repeats_get_their_answers|due|length chunked
repeats_get_their_answers|joined|length chunked
repeats_get_their_answers|halves|length chunked
repeats_get_their_answers|split|length chunked
next_is_served|plain|length chunked close
next_is_served|together|length chunked
next_is_served|late|length chunked
next_is_served|late-end|length chunked
next_is_not_refused|refusal|length chunked
next_is_not_refused|refusal-no-id|length chunked
next_is_not_refused|misdirected|length chunked
fails|status-cut|length chunked
fails|field-cut|length chunked
fails|line-cut|length chunked
fails|two-ids|length chunked
fails|two-ids-last|length chunked
fails|two-seals|length chunked
fails|two-lengths|length
succeeds|interim|length chunked close
fails|status-end|length chunked close
fails|field-end|length chunked close
fails|line-end|length chunked close
fails|body-reset|length chunked close
CASES
metric () { curl -s -m 5 "http://$(address 1):7381/metrics" | awk -v name="pollenhitch_$1" '$1 == name { print $2 }'; }
for name in repeated_ids_total unusable_connections_total rejected_heads_total mismatched_responses_total; do
  check "node 1 counts $name: $(metric $name)" [ "$(metric $name)" -gt 0 ]
done
stop_process stutter
result=$(cat "$work_dir/stutter.log")
echo "  upstream: $result"
check "no id came twice on one connection" [ "$(json_field "$result" repeated_ids)" -eq 0 ]
finish
