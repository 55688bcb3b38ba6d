#!/usr/bin/env bash
# Desired states with values of any size, at real nodes: each is to be in force at all nodes within
# 2 s, whole. Guards against one value that keeps the version, and each later one that has it, out
# of force: a route that moved is then run by its old service, and one that was added gets 404.
build=$1
net=63
cd "$(dirname "$0")/../.." && . tests/e2e/lib.sh
. tests/e2e/platform_lib.sh
long_service=lib-$(printf 'x%.0s' {1..56})
service_of () { [ "$1" -le 3 ] && echo book || echo "$long_service"; }
left_out_is () { [ "$(curl -s "http://$(address "$1"):7381/metrics" | awk '$1 == "pollenhitch_config_left_out" { print $2 }')" = "$2" ]; }

text_of () { head -c "$1" /dev/zero | tr '\0' "${2:-s}"; } # SIZE [CHARACTER]
route_fields='"kind":"safe","timeout":"1500ms","targetLatency":"400ms","priority":1,"maxAttempts":2'
route_of () { # NAME HOST PREFIX SERVICE [FIELDS]
  printf ',"%s":{"host":"%s","pathPrefix":"%s",%s,"service":"%s"}' "$1" "$2" "$3" "${5:-$route_fields}" "$4"
}
routes_of () { # COUNT: that many routes of the service book
  awk -v n="$1" -v f="$route_fields" 'BEGIN { for (i = 1; i <= n; i++)
    printf ",\"r%d\":{\"host\":\"a.example\",\"pathPrefix\":\"/m%d/\",%s,\"service\":\"book\"}", i, i, f }'
}
services_of () { awk -v n="$1" 'BEGIN { for (i = 1; i <= n; i++) printf ",\"s%d\":{\"coldPerS\":9}", i }'; } # COUNT
split_of () { # COUNT: a route whose last one of that many services has all weight
  printf ',"split":{"host":"a.example","pathPrefix":"/split/",%s,"trafficSplit":[' "$route_fields"
  awk -v n="$1" 'BEGIN { for (i = 1; i < n; i++) printf "{\"service\":\"none%d\",\"weight\":0},", i }'
  printf '{"service":"book","weight":1}]}'
}
version=0
write_version () { # ROUTES [SERVICES] [POST|PUT]: the route /moved/ goes to another service in each version
  version=$((version + 1))
  moved_to=$([ $((version % 2)) -eq 1 ] && echo book || echo "$long_service")
  printf '{"metadata":{"name":"main"},"spec":{"version":"%08x","routes":{"moved":{"host":"a.example","pathPrefix":"/moved/",%s,"service":"%s"}%s},"services":{"book":{"healthPath":"/health"},"%s":{"healthPath":"/health"}%s},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"idleTimeout":"15000ms"}}}' \
    $version "$route_fields" "$moved_to" "$1" "$long_service" "${2:-}" >"$work_dir/config.json"
  curl -sS -m 5 -f -o /dev/null -X "${3:-PUT}" "http://$store/objects/config$([ "${3:-PUT}" = POST ] || echo /main)" \
    --data-binary @"$work_dir/config.json"
}
is_moved () { is_served_by "$1" /moved/x "$moved_to"; }
answers_from () { # I HOST PATH SERVICE: whether a request gets status 200 from an upstream of the service
  request_count=$((request_count + 1))
  status=$(curl -s -m 5 -o "$work_dir/body" -w '%{http_code}' -H "Host: $2" -H 'Deadline-Ms: 2000' \
    -H "Attempt-Id: $(printf '%016x' $request_count)" "http://$(address "$1"):8147$3")
  body=$(cat "$work_dir/body")
  [ "$status ${body%% *}" = "200 $4" ]
}
# NAME HOST PATH SERVICE: the version that was written last is in force, and a request goes to a service.
check_version () {
  check "$1: a route that moved is in force" wait_until 2 everywhere is_moved @
  check "$1: its route is in force" answers_from 1 "$2" "$3" "$4"
  check "$1: its route is in force at another node" answers_from 4 "$2" "$3" "$4"
  check "$1: nothing is left out" everywhere left_out_is @ 0
}

start_platform
check "the configuration is written" write_version "" "" POST
require "all nodes get ready" wait_until 10 everywhere is_ready @
require "an upstream answers" wait_until 10 everywhere is_moved @

for size in 127 128 136 12000; do
  prefix="/$(text_of $((size - 2)))/"
  write_version "$(route_of long a.example "$prefix" book)$(route_of longer a.example "${prefix%?}t/" "$long_service")"
  check_version "prefix of $size bytes" a.example "${prefix}x" book
  request 2 "${prefix%?}t/x"
  check "a longer prefix that begins alike is another route" [ "$status ${body%% *}" = "200 $long_service" ]
done
for size in 127 128 190 4000; do
  host=$(text_of $size h).example
  write_version "$(route_of long "$host" / "$long_service")"
  check_version "host of $size bytes" "$host" /x "$long_service"
done
for count in 8 9 12 300; do
  write_version "$(split_of $count)"
  check_version "split over $count services" a.example /split/x book
done
for count in 1024 1025 5000; do
  write_version "$(route_of added a.example "/added$count/" book)" "$(services_of $count)"
  check_version "$count services" a.example /added$count/x book
done
for count in 2048 2049 5000 6600; do
  write_version "$(routes_of $count)"
  check_version "$count routes ($(wc -c <"$work_dir/config.json") bytes)" a.example /m$count/x book
done
write_version "$(route_of "$(text_of 100000 n)" a.example /name/ book)"
check_version "name of a route of 100,000 bytes" a.example /name/x book

# Numbers and notations. A time-out and an objective of days reach another node with a call.
while read -r name fields; do
  write_version "$(route_of odd a.example /odd/ "$long_service" "\"kind\":\"safe\",$fields")"
  check "$name: a route that moved is in force" wait_until 2 everywhere is_moved @
  for i in 1 4; do
    status=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Host: a.example' -H "Attempt-Id: $(printf '%016x' $((version * 10 + i)))" "http://$(address $i):8147/odd/x")
    check "$name: a request without a deadline is served by node $i" [ "$status" = 200 ]
  done
done <<'FIELDS'
days "timeout":"100000s","targetLatency":"100000s"
centuries "timeout":"1e10s","targetLatency":"1e10s"
beyond-double "timeout":"1e400s","targetLatency":"1e400s"
beyond-integers "timeout":"2s","maxAttempts":1e300,"priority":1e300
no-integers "timeout":"1.5e3ms","maxAttempts":2.0,"priority":1e0
unknown-fields "timeout":"2s","z":[[[[[[[[{"host":1}]]]]]]]]
FIELDS
write_version "$(route_of none a.example /none/ "$long_service" '"kind":"safe","timeout":"0ms"')"
check "a time-out of 0: the version is in force" wait_until 2 everywhere is_moved @
request 1 /none/x
check "a time-out of 0: requests are refused as not run" [ "$status" = 503 ]
request 1 /moved/x -H 'Deadline-Ms: 99999999999999999999'
check "a deadline over 64 bits is no bad request" [ "$status" = 200 ]
finish
