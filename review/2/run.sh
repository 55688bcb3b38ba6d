#!/usr/bin/env bash
# See claim.txt. Exits with 1 if a backend got other bytes where the rest of a body was due.
net=12
trouble=${TROUBLE:-1} # TROUBLE=0: without the disruption
. "$(dirname "$0")/../lib.sh"

start_store
for i in 1 2 3; do start_node $i book; done
# One of the three backends answers 5% of the long requests before it has read them.
early=${EARLY_PERCENT:-5}
[ "$trouble" = 0 ] && early=0
EARLY_PERCENT=$early start_backend 1 book
for i in 2 3; do start_backend $i book; done
write_config 00000001 '"r1":{"host":"a.example","pathPrefix":"/booking/","kind":"unsafe","timeout":"1500ms","targetLatency":"400ms","priority":1,"maxAttempts":2,"service":"book"}'
for i in 1 2 3; do wait_until 15 is_ready $i || cannot_run "node $i is not ready"; done
for i in 1 2 3; do wait_until 15 is_served $i /booking/w1/b10 || cannot_run "node $i does not serve"; done
sleep 4 # the backends are warm

consumers () { # NAME PATH BODY_BYTES PER_S SECONDS SEED
  run_in_background "$1" $standin consumer "$(address 1):8147" a.example "$2" POST "$3" length "$4" "$5" \
    3000 "$6" "$work_dir/$1"
}
note "traffic starts"
consumers long /booking/e4000/w40/b200 "${BODY:-1000000}" "${RATE:-25}" "${TRAFFIC_S:-5.5}" 1
consumers short /booking/w40/b200 1000 "${RATE:-25}" "${TRAFFIC_S:-5.5}" 2
wait "${pid[long]}" "${pid[short]}"
sleep 1
note "traffic ends"
cat "$work_dir"/long "$work_dir"/short "$work_dir"/ran? 2>/dev/null | sort -k2,2n >>"$record"
awk '$1 == "sent" { n[$3] = $4; h[$3] = $5; sent++ }
  $1 == "answered" { by[$4 " " $6]++ }
  $1 == "early" { early++ }
  $1 == "cut" && $10 == "none" { cut++ }
  $1 == "cut" && $10 != "none" { bad++; if (bad <= 5) print "UNASKED: " $3 " was sent with " n[$3] " bytes; " $4 " got other bytes as a part of the rest of its body, request inside: " $10 }
  ($1 == "ran" || $1 == "rest") && ($3 in n) { ran++; if ($5 != n[$3] || $6 != h[$3]) { bad++; if (bad <= 5) print "UNASKED: " $3 " was sent with " n[$3] " bytes; " $4 " got other bytes as the rest of its body, request inside: " $10 } }
  END { printf "sent %d, answered early %d, whole bodies at backends %d, bodies cut with their connection %d, other bytes: %d\n", sent, early, ran, cut, bad
    for (s in by) printf "  answer %s: %d\n", s, by[s]
    exit bad > 0 ? 1 : 0 }' "$record" >"$work_dir/result"
status=$?
tee -a "$record" <"$work_dir/result"
exit $status
