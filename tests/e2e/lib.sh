# Helper functions of the scripts that run real processes. Source it with $build set.
# Every process is started by run_bg, which keeps its id; only these ids are ever signalled.

work=$(mktemp -d)
key=$(printf '%064d' 7) # of the messages between the nodes of a test
declare -A pid          # process ids by name
passed=0 failed=0

run_bg () { # NAME COMMAND...: runs a command in the background, output to $work/NAME.log
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pid[$name]=$!
}

stop_process () { # NAME [SIGNAL]: signals a process and waits for its end; status in $stopped
  kill "-${2:-TERM}" "${pid[$1]}" 2>/dev/null
  { wait "${pid[$1]}"; } 2>/dev/null
  stopped=$?
  unset "pid[$1]"
}

clean_up () {
  local status=$? name
  exec 2>/dev/null # bash's notices of killed jobs
  for name in "${!pid[@]}"; do
    kill -CONT "${pid[$name]}"
    kill -KILL "${pid[$name]}"
  done
  wait
  [ -n "${KEEP:-}" ] && echo "logs in $work" || rm -rf "$work"
  exit $status
}
trap clean_up EXIT
trap 'exit 130' INT TERM

wait_until () { # SECONDS COMMAND...: polls a command until it succeeds
  local end=$(($(date +%s%N) + $1 * 1000000000))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s%N)" -lt $end ] || return 1
    sleep 0.05
  done
}

put () { curl -sS -m 5 -f -o /dev/null -X PUT "$1" -d "$2"; } # URL JSON
field () { grep -oE "\"$2\": ?-?[0-9.]+" <<<"$1" | head -1 | grep -oE '[0-9.]+$'; } # JSON NAME
stat () { field "$(curl -sS -m 5 "http://$1/control/stats")" "$2"; } # HOST:PORT NAME

# Addresses: VM i is 127.$block.$net.i. Each script has its own net and each checkout its own block,
# so that scripts that run at the same time do not meet.
block=$(($(pwd | cksum | cut -d' ' -f1) % 250 + 1))
address () { echo "127.$block.$net.$1"; }
store_url () { echo "http://127.$block.$net.250:7080"; }
upstream_at () { echo "$(address "$1"):7090"; }
entry_at () { echo "$(address "$1"):7001"; }
list () { # FUNCTION I...: addresses joined with commas
  local f=$1 i all=
  shift
  for i; do all=$all,$($f "$i"); done
  echo "${all#,}"
}

start_store () { # [FLAG...]
  run_bg store "$build/standin-store" --address "127.$block.$net.250" --port 7080 "$@"
  # Without the second test, a store of another run on the same address would do.
  wait_until 5 curl -sf "$(store_url)/control/stats" && kill -0 "${pid[store]}" 2>/dev/null
}

start_upstream () { # I [FLAG...]
  local i=$1
  shift
  run_bg "upstream$i" "$build/standin-upstream" --address "$(address "$i")" --port 7090 \
    --admin "$(address "$i"):7003" "$@"
}

start_node () { # I DATA-CENTRE [FLAG...]
  local i=$1 centre=$2
  shift 2
  run_bg "node$i" "${node_binary:-$build/pollenhitch}" node --name "vm-$i" --address "$(address "$i")" \
    --data-centre "$centre" --region "${region:-bc-south}" --port-call 7001 --port-peer 7002 \
    --port-admin 7003 --port-control 7004 --store "$(store_url)" \
    --seeds "$(address 1):7004,$(address 2):7004" --cluster-key "$key" --log-level info "$@"
}

answers () { # I [SERVICE]: an entry node takes a call and answers it with 200
  curl -sf -m 2 -o /dev/null -H "Pollenhitch-Service: ${2:-cascade/booking-desk}" \
    -H "X-Request-Id: ready-$RANDOM$RANDOM" -H 'X-Want-Bytes: 10' "http://$(entry_at "$1")/ready"
}

apply () { # PATH KIND SPEC: writes an object as an operator does
  echo "{\"path\":\"$1\",\"kind\":\"$2\",\"spec\":$3}" >"$work/object.json"
  "$build/pollenhitch" apply --store "$(store_url)" "$work/object.json" >>"$work/apply.log" 2>&1
}

# One upstream with its node for each of VMs 1 to COUNT, in three data centres by turns, and the
# service booking-desk; returns when every node takes calls.
start_fleet () { # COUNT [FLAG OF THE UPSTREAMS...]
  fleet_size=$1
  local i count=$1 centres=(kamloops squamish revelstoke)
  shift
  start_store || return 1
  for ((i = 1; i <= count; i++)); do
    start_node $i "${centres[$(((i - 1) % 3))]}"
    start_upstream $i "$@"
  done
  apply /teams/cascade/services/booking-desk service '{"deadline_ms":5000}' || return 1
  for ((i = 1; i <= count; i++)); do wait_until 10 answers $i || return 1; done
}

control () { put "http://$(upstream_at "$1")/control" "$2"; } # I JSON
is_member () { # I NAME STATE: node I takes the VM to be in this state
  curl -s -m 2 "http://$(address "$1"):7003/v1/status" | grep -q "\"name\":\"$2\",\"state\":\"$3\""
}

load_in_background () { # FLAG...
  timeout 120 "$build/standin-load" "$@" >"$work/load.out" 2>>"$work/load.log" &
  pid[load]=$!
}

wait_load () { # as run_load: result in $result, exit status in $verdict
  { wait "${pid[load]}"; } 2>/dev/null
  verdict=$?
  unset "pid[load]"
  result=$(head -1 "$work/load.out")
  cat "$work/load.out" >>"$work/load.log"
}

at_least () { [ "$(field "$result" "$1")" -ge "$2" ]; }  # CLASS NUMBER, of the last load
is_none () { # CLASS...
  local class
  for class; do [ "$(field "$result" "$class")" -eq 0 ] || return 1; done
}
all_whole () { [ "$verdict" -eq 0 ] && [ "$(field "$result" whole)" -eq "$(field "$result" calls)" ]; }

run_load () { # FLAG...: result in $result, exit status in $verdict
  result=$(timeout 120 "$build/standin-load" "$@" 2>>"$work/load.log")
  verdict=$?
  echo "$result" >>"$work/load.log"
  result=${result%%$'\n'*}
}

least_limit () { # of the upstreams of start_fleet
  local i
  for ((i = 1; i <= fleet_size; i++)); do
    curl -s "http://$(address $i):7003/metrics" | awk '$1 == "pollenhitch_upstream_limit" { print $2 }'
  done | sort -n | head -1
}

# Limits grow while they are used: the choice may leave some upstreams cold as long as the others
# have room, so the load keeps up until every limit has grown.
warm_up () { # NAME LIMIT
  local round
  for round in {1..10}; do
    [ "$(least_limit)" -ge "$2" ] && break
    run_load --targets "$targets" --calls 30000 --seconds 2 --concurrency 110 --seed 500 \
      --name "$1$round"
  done
  check "$1: the upstreams are warm" [ "$(least_limit)" -ge "$2" ]
}

check () { # TEXT COMMAND...: counts a check
  local text=$1
  shift
  if "$@"; then
    passed=$((passed + 1))
    echo "ok: $text"
  else
    failed=$((failed + 1))
    echo "FAILED: $text: $*"
    echo "  last load: ${result:-none}"
  fi
}

require () { # TEXT COMMAND...: a check without which the rest makes no sense
  local before=$failed
  check "$@"
  [ "$failed" -eq "$before" ] || finish
}

finish () {
  local log
  if [ "$failed" -gt 0 ]; then # else the logs are gone when a failure is to be traced
    for log in "$work"/node*.log; do
      echo "last lines of $(basename "$log"):"
      tail -8 "$log" | cut -c1-320
    done
  fi
  echo "$passed passed, $failed failed"
  [ "$failed" -eq 0 ]
  exit
}
