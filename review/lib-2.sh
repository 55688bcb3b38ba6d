# Helper functions of the scripts in review/6 to review/10. A script sets $net, a part of its addresses,
# and sources this file from the root of the repository. It ends all processes that it started.

trouble=${TROUBLE:-1}
work_dir=$(mktemp -d)
record="$case_dir/record.txt"
block=$(($$ % 200 + 20))
store="127.$block.$net.250:7080"
zones=a=r1,b=r1,c=r1
declare -A pid
: >"$record"

note () { printf '%s %s\n' "$(date -u +%T.%3N)" "$*" | tee -a "$record"; }
give_up () { note "the case couldn't run: $*"; exit 2; }
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

store_of () { echo "$store"; } # the store as node I reaches it
address () { echo "127.$block.$net.$1"; }
zone_of () { local names=(a b c); echo "${names[$(($1 % 3))]}"; }
service_of () { [ "$1" -le 2 ] && echo book || echo lib; }
run_in_background () { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work_dir/$name.log" 2>&1 &
  pid[$name]=$!
}
wait_until () { # SECONDS COMMAND...
  local end=$(($(date +%s%N) + $1 * 1000000000))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s%N)" -lt $end ] || return 1
    sleep 0.05
  done
}

# The command and the settings file of the deploy file, for a deployment with version moves.
start_node () { # I [NAME OF THE PROCESS]
  local i=$1 at
  at=$(address "$i")
  printf 'log-level=info\nstop-grace-ms=3000\nstop-seconds=6s\n' >"$work_dir/settings$i"
  POLLENHITCH_CLUSTER_KEY=6b1f0c7a92d34e58b7c5e8a10f2d4963 POLLENHITCH_CONFIG="$work_dir/settings$i" \
    run_in_background "${2:-node$i}" target/pollenhitch platform --name "node-$i" --address "$at" \
    --data-centre "$(zone_of "$i")" --region r1 --outbound "$at:8147" --inbound "$at:8146" \
    --ready "$at:8141" --heartbeats "$at:8144" --upstream "$at:8145" --service "$(service_of "$i")" \
    --extra-arrivals=058 --store-address "$(store_of "$i")" --port-control 7380 --port-admin 7381
}
start_platform () { # COUNT
  local i flags=()
  for ((i = 1; i <= $1; i++)); do
    flags+=(--upstream "$(address $i),8145,$(service_of $i),v1,$(address $i):8144")
  done
  run_in_background platform build/standin-platform --address "127.$block.$net.250" --port 7080 \
    --work-ms 20 "${flags[@]}"
}
store_answers () { curl -sf -m 2 -o /dev/null "http://$store/control/stats" && kill -0 "${pid[platform]}"; }
is_ready () { curl -sf -m 2 -o /dev/null "http://$(address "$1"):8141/readiness"; }
all_ready () { local i; for ((i = 1; i <= $1; i++)); do is_ready $i || return 1; done; }
new_id () { printf '%08x%08x' $((RANDOM * 32768 + RANDOM)) $((RANDOM * 32768 + RANDOM)); }
serves () { # I PATH: whether a request through node I gets status 200
  [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Host: a.example' -H "Attempt-Id: $(new_id)" \
    -H 'Deadline-Ms: 2000' "http://$(address "$1"):8147$2")" = 200 ]
}
write_config () { # VERSION ROUTES POST|PUT [PATH]
  local service='"healthPath":"/health","maxConnections":100,"cold":"1s","coldPerS":20'
  curl -sS -m 5 -f -o /dev/null -X "$3" "http://$store/objects/config${4:-}" -d \
    "{\"metadata\":{\"name\":\"main\"},\"spec\":{\"version\":\"$1\",\"routes\":{$2},
      \"services\":{\"book\":{$service},\"lib\":{$service}},
      \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000000,\"headerTimeout\":\"5s\",\"idleTimeout\":\"15s\"}}}"
}
route () { # NAME PREFIX KIND SERVICE
  printf '"%s":{"host":"a.example","pathPrefix":"%s","kind":"%s","timeout":"1500ms","targetLatency":"400ms","priority":1,"maxAttempts":2,"service":"%s"}' "$@"
}
