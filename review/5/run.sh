#!/usr/bin/env bash
# See claim.txt. Exits with 1 if a request that was passed on to a backend gets no answer because
# its node, which got SIGTERM, ends long before the grace time does.
net=15
trouble=${TROUBLE:-1} # TROUBLE=0: without the disruption
. "$(dirname "$0")/../lib.sh"

start_store
for i in 1 2 3; do start_node $i book; start_backend $i book; done
write_config 00000001 '"r1":{"host":"a.example","pathPrefix":"/booking/","kind":"unsafe","timeout":"5000ms","targetLatency":"1000ms","priority":1,"maxAttempts":2,"service":"book"}'
for i in 1 2 3; do wait_until 15 is_ready $i || cannot_run "node $i is not ready"; done
for i in 1 2 3; do wait_until 15 is_served $i /booking/w1/b10 || cannot_run "node $i does not serve"; done
sleep 5 # the backends are warm, all machines are in touch

stopped=$(date +%s%3N)
if [ "$trouble" != 0 ]; then
  kill -TERM "${pid[node1]}"
  note "SIGTERM of node 1; the grace time of the installation is 10 s"
fi
sleep 1
run_in_background c $standin consumer "$(address 1):8147" a.example /booking/W4200/b1500 POST 4000 length 8 0.9 \
  10000 1 "$work_dir/c"
wait "${pid[c]}"
if [ "$trouble" != 0 ]; then
  { wait "${pid[node1]}"; } 2>/dev/null
  status=$?
  unset "pid[node1]"
  note "node 1 has ended, with status $status (134: abort)"
  echo "node 1 ended with status $status"
fi
cat "$work_dir"/c "$work_dir"/ran? 2>/dev/null | sort -k2,2n >>"$record"
awk -v stopped="$stopped" '$1 == "sent" { at[$3] = $2 - stopped; sent++ }
  $1 == "ran" && ($3 in at) { ran[$3] = 1; runs++ }
  $1 == "answered" { by[$4 " " $6]++; if ($4 == 0 || $6 != "whole") if ($3 in ran) if (at[$3] < 3000 && $2 - stopped < 10000 * 5 / 6 && $7 < 5000) { lost++; printf "LOST: %s was sent %.0f ms after SIGTERM, run by a backend, and its connection closed without an answer %.0f ms after SIGTERM\n", $3, at[$3], $2 - stopped } }
  END { printf "sent %d, runs %d, lost %d\n", sent, runs, lost
    for (s in by) printf "  answer %s: %d\n", s, by[s]
    exit lost > 0 ? 1 : 0 }' "$record" >"$work_dir/result"
status=$?
tee -a "$record" <"$work_dir/result"
exit $status
