#!/usr/bin/env bash
# See claim.txt. Exits with 1 if the rule CONFIG (requests without an answer after their route's
# timeout) is broken.
net=15
. "$(dirname "$0")/../lib.sh"

start_store
for i in 1 2 3 4 5 6; do start_node $i lib; start_backend $i lib; done
write_config 00000001 '"r1":{"host":"a.example","pathPrefix":"/guide/","kind":"download","timeout":"1200ms","targetLatency":"400ms","priority":2,"maxAttempts":2,"service":"lib"}'
for i in 1 2 3 4 5 6; do wait_until 15 is_ready $i || cannot_run "node $i is not ready"; done
for i in 1 2 3 4 5 6; do wait_until 15 is_served $i /guide/w1/b10 || cannot_run "node $i does not serve"; done
sleep 4 # the backends are warm

note "traffic starts"
for i in 1 2 3 4 5 6; do
  run_in_background "c$i" $standin consumer "$(address $i):8147" a.example /guide/w40/b540000/p430 GET 0 length \
    14 8 5000 $i "$work_dir/c$i"
done
sleep 4
if [ "$trouble" != 0 ]; then
  kill -STOP "${pid[backend1]}" "${pid[backend2]}"
  note "the backends of nodes 1 and 2 fall silent for good"
fi
wait "${pid[c1]}" "${pid[c2]}" "${pid[c3]}" "${pid[c4]}" "${pid[c5]}" "${pid[c6]}"
note "traffic ends"
cat "$work_dir"/c? "$work_dir"/ran? 2>/dev/null | sort -k2,2n >>"$record"
# A request is counted if it has no whole answer, refusal or closed connection 1200 ms after it was
# sent; it has none half a second later if that came more than 1700 ms after it was sent.
awk '$1 == "sent" { sent++ }
  $1 == "answered" { by[$4 " " $6]++; if ($7 > 1200) { late++; if ($7 > 1700) { none++; if (none <= 5) print "CONFIG: " $3 " has no answer " $7 " ms after it was sent: status " $4 ", " $5 " bytes, " $6 } } }
  END { printf "sent %d, unanswered at the timeout of the route %d, half a second later %d\n", sent, late, none
    for (s in by) printf "  answer %s: %d\n", s, by[s]
    exit none >= 8 && none * 4 > late ? 1 : 0 }' "$record" >"$work_dir/result"
status=$?
tee -a "$record" <"$work_dir/result"
exit $status
