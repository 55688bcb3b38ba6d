#!/usr/bin/env bash
# A new version of the desired state moves a route, adds one, and has one with a long prefix. No node
# puts any of it in force, nor the version after it. With TROUBLE=0 the long prefix is a short one.
cd "$(dirname "$0")/../.." || exit 2
case_dir=review/10 net=62
. review/lib-2.sh

long=$(printf 'long-segment-%d/' 1 2 3 4 5 6 7 8 9)
[ "$trouble" != 0 ] || long=short/
answer () { # I PATH: sets $status, and $service to the service of the backend that ran the request
  local at
  at=$(address "$1")
  status=$(curl -s -m 5 -o "$work_dir/body" -w '%{http_code}' -H 'Host: a.example' -H "Attempt-Id: $(new_id)" \
    -H 'Deadline-Ms: 2000' "http://$at:8147$2")
  service=$(cut -d' ' -f1 "$work_dir/body")
}
broken=0
check () { # I PATH SERVICE
  answer "$1" "$2"
  note "node $1, $2: $status${service:+, \"$service\"}; version in force: 200 by $3"
  [ "$status" = 404 ] || { [ "$status" = 200 ] && [ "$service" != "$3" ]; } || return 0
  broken=$((broken + 1))
}

start_platform 3
for i in 1 2 3; do start_node $i; done
wait_until 5 store_answers || give_up "the stand-in of the platform doesn't answer"
write_config 00000001 "$(route read /read/ safe book),$(route moved /moved/ safe book)" POST \
  || give_up "the desired state isn't accepted"
wait_until 15 all_ready 3 || give_up "the nodes aren't ready"
for i in 1 2 3; do
  for path in /read/x /moved/x; do wait_until 15 serves $i $path || give_up "no backend answers"; done
done
sleep 3
routes="$(route read /read/ safe book),$(route moved /moved/ safe lib),$(route added /added/ safe book),$(route long "/$long" safe book)"
write_config 00000002 "$routes" PUT /main || give_up "the change isn't accepted"
note "the store acknowledged version 2; its longest prefix has $((${#long} + 1)) bytes"
sleep 2.3 # configApply is 2 s
for i in 1 2 3; do check $i /moved/x lib; check $i /added/x book; done
write_config 00000003 "$routes,$(route later /later/ safe book)" PUT /main || give_up "the change isn't accepted"
note "the store acknowledged version 3, which adds a route"
sleep 2.3
for i in 1 2 3; do check $i /later/x book; done
note "requests handled as only an older version allows: $broken of 9"
[ $broken -eq 0 ] || { grep -h '"step":"config"' "$work_dir"/node1.log | grep -v '"info"' | tail -1 | cut -c1-300 | tee -a "$record"; exit 1; }
