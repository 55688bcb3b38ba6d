# Helper functions for scripts that run real processes. A script sets $build, the build folder, and
# $net, the network of its addresses (see below), and sources this file. Processes are started by
# run_in_background, start_* and load_in_background, which keep their ids; only these ids are
# signalled.

work_dir=$(mktemp -d)
cluster_key=$(printf '%064d' 7) # authenticates the messages between the nodes of a test
declare -A pid                  # process ids by name
passed=0 failed=0

run_in_background () { # NAME COMMAND...: runs a command in the background, output to $work_dir/NAME.log
  local name=$1
  shift
  "$@" >>"$work_dir/$name.log" 2>&1 &
  pid[$name]=$!
}

stop_process () { # NAME [SIGNAL]: signals a process and waits for its end; exit status in $stop_status
  kill "-${2:-TERM}" "${pid[$1]}" 2>/dev/null
  { wait "${pid[$1]}"; } 2>/dev/null
  stop_status=$?
  unset "pid[$1]"
}

clean_up () { # ends all processes; KEEP=1 keeps the logs
  local status=$? name
  # A child that is signalled between its fork and its command still has the traps of the script.
  [ "$BASHPID" -eq $$ ] || exit $status
  exec 2>/dev/null # hides bash's messages about killed jobs
  for name in "${!pid[@]}"; do
    kill -CONT "${pid[$name]}"
    kill -KILL "${pid[$name]}"
  done
  wait
  [ -n "${KEEP:-}" ] && echo "logs in $work_dir" || rm -rf "$work_dir"
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

put_json () { curl -sS -m 5 -f -o /dev/null -X PUT "$1" -d "$2"; } # URL JSON
# JSON NAME: prints the first number under a name
json_field () { grep -oE "\"$2\": ?-?[0-9.]+" <<<"$1" | head -1 | grep -oE '[0-9.]+$'; }
# HOST:PORT NAME: prints a counter of a stand-in upstream
upstream_stat () { json_field "$(curl -sS -m 5 "http://$1/control/stats")" "$2"; }

# The address of VM i is 127.$address_block.$net.i. Each checkout has its own block. In one
# checkout, scripts that may run at the same time need different nets; scripts/check runs those of
# tests/e2e one after another, so that some of them share a net.
address_block=$(($(pwd | cksum | cut -d' ' -f1) % 250 + 1))
address () { echo "127.$address_block.$net.$1"; }
store_url () { echo "http://127.$address_block.$net.250:7080"; }
upstream_address () { echo "$(address "$1"):7090"; }
entry_address () { echo "$(address "$1"):7001"; }
join_addresses () { # FUNCTION I...: prints the addresses of VMs, separated by commas
  local f=$1 i all=
  shift
  for i; do all=$all,$($f "$i"); done
  echo "${all#,}"
}

start_store () { # [FLAG...]
  run_in_background store "$build/standin-store" --address "127.$address_block.$net.250" --port 7080 "$@"
  # The second test makes sure that it is not the store of another run on the same address.
  wait_until 5 curl -sf "$(store_url)/control/stats" && kill -0 "${pid[store]}" 2>/dev/null
}

start_upstream () { # I [FLAG...]
  local i=$1
  shift
  run_in_background "upstream$i" "$build/standin-upstream" --address "$(address "$i")" --port 7090 \
    --admin "$(address "$i"):7003" "$@"
}

start_node () { # I DATA-CENTRE [FLAG...]
  local i=$1 centre=$2
  shift 2
  run_in_background "node$i" "${node_binary:-$build/pollenhitch}" node --name "vm-$i" --address "$(address "$i")" \
    --data-centre "$centre" --region "${region:-bc-south}" --port-call 7001 --port-peer 7002 \
    --port-admin 7003 --port-control 7004 --store "$(store_url)" \
    --seeds "$(address 1):7004,$(address 2):7004" --cluster-key "$cluster_key" --log-level info "$@"
}

takes_calls () { # I [SERVICE]: whether a call through an entry node gets status 200
  curl -sf -m 2 -o /dev/null -H "Pollenhitch-Service: ${2:-cascade/booking-desk}" \
    -H "X-Request-Id: ready-$RANDOM$RANDOM" -H 'X-Want-Bytes: 10' "http://$(entry_address "$1")/ready"
}

apply () { # PATH KIND SPEC: writes an object with the command of the operators
  echo "{\"path\":\"$1\",\"kind\":\"$2\",\"spec\":$3}" >"$work_dir/object.json"
  "$build/pollenhitch" apply --store "$(store_url)" "$work_dir/object.json" >>"$work_dir/apply.log" 2>&1
}

# Starts a node and an upstream on each of VMs 1 to COUNT, in three data centres in rotation, and
# writes the service booking-desk. Returns when every node takes calls.
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
  for ((i = 1; i <= count; i++)); do wait_until 10 takes_calls $i || return 1; done
}

control_upstream () { put_json "http://$(upstream_address "$1")/control" "$2"; } # I JSON
is_member () { # I NAME STATE: whether node I reports this state of a VM
  curl -s -m 2 "http://$(address "$1"):7003/v1/status" | grep -q "\"name\":\"$2\",\"state\":\"$3\""
}

# Without --foreground, timeout follows a SIGTERM with SIGCONT to its process group. That removes the
# SIGSTOP with which LeakSanitizer stops the threads of a process that ends, and it waits for ever.
load_in_background () { # FLAG...
  timeout --foreground -k 10 120 "$build/standin-load" "$@" >"$work_dir/load.out" 2>>"$work_dir/load.log" &
  pid[load]=$!
}

wait_load () { # waits for load_in_background; sets the variables of run_load
  { wait "${pid[load]}"; } 2>/dev/null
  load_status=$?
  unset "pid[load]"
  load_result=$(head -1 "$work_dir/load.out")
  cat "$work_dir/load.out" >>"$work_dir/load.log"
}

# The next three test the calls of the last load, by class of outcome.
is_at_least () { [ "$(json_field "$load_result" "$1")" -ge "$2" ]; } # CLASS NUMBER
are_all_zero () { # CLASS...
  local class
  for class; do [ "$(json_field "$load_result" "$class")" -eq 0 ] || return 1; done
}
all_complete () { [ "$load_status" -eq 0 ] && [ "$(json_field "$load_result" whole)" -eq "$(json_field "$load_result" calls)" ]; }

run_load () { # FLAG...: runs the load generator; its JSON in $load_result, exit status in $load_status
  load_result=$(timeout --foreground -k 10 120 "$build/standin-load" "$@" 2>>"$work_dir/load.log")
  load_status=$?
  echo "$load_result" >>"$work_dir/load.log"
  load_result=${load_result%%$'\n'*}
}

smallest_limit () { # prints the smallest concurrency limit of the upstreams of start_fleet
  local i
  for ((i = 1; i <= fleet_size; i++)); do
    curl -s "http://$(address $i):7003/metrics" | awk '$1 == "pollenhitch_upstream_limit" { print $2 }'
  done | sort -n | head -1
}

# Limits grow only while they are used, and the choice may leave some upstreams cold while others have
# free slots. The load is therefore repeated until every limit has grown. A limit grows with each
# window of 4 calls a slot, and a round lasts 2 s, so that the number of rounds depends on the machine:
# with sanitizers at a load average of 20 on 7 cores, 10 rounds of 1,600 calls raised a limit to 30.
warm_up () { # NAME LIMIT [CALLS]: sends calls to $targets, 110 or CALLS at a time, up to 30 rounds, until the limit of every upstream of start_fleet is at least LIMIT
  local round
  for round in {1..30}; do
    [ "$(smallest_limit)" -ge "$2" ] && break
    run_load --targets "$targets" --calls 30000 --seconds 2 --concurrency "${3:-110}" --seed 500 \
      --name "$1$round"
  done
  check "$1: the upstreams are warm" [ "$(smallest_limit)" -ge "$2" ]
}

check () { # TEXT COMMAND...: runs a check; it passes when the command succeeds
  local text=$1
  shift
  if "$@"; then
    passed=$((passed + 1))
    echo "ok: $text"
  else
    failed=$((failed + 1))
    echo "FAILED: $text: $*"
    echo "  last load: ${load_result:-none}"
  fi
}

known_red () { # TEXT COMMAND...: a check that is listed in KNOWN-RED.txt: a failure is printed and not counted
  local text=$1
  shift
  if "$@"; then check "$text" true; else echo "known red: $text: $*"; fi
}

require () { # TEXT COMMAND...: a check whose failure ends the script
  local before=$failed
  check "$@"
  [ "$failed" -eq "$before" ] || finish
}

finish () { # prints the result and exits
  local log
  if [ "$failed" -gt 0 ]; then # the logs are removed at the end
    for log in "$work_dir"/node*.log; do
      echo "last lines of $(basename "$log"):"
      tail -8 "$log" | cut -c1-320
    done
  fi
  echo "$passed passed, $failed failed"
  [ "$failed" -eq 0 ]
  exit
}
