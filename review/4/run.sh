#!/usr/bin/env bash
# See claim.txt. Exits with 1 if a request that was sent later than configApply (2 s) after the
# acknowledgement of a version is handled as only the older version allows.
net=14
trouble=${TROUBLE:-1} # TROUBLE=0: without the disruption
. "$(dirname "$0")/../lib.sh"

start_store
store_of_nodes=$(address 251):8142
run_in_background proxy $standin proxy "$store_of_nodes" "$store"
for i in 1 2 3; do start_node $i book; start_backend $i book; done
for i in 4 5 6; do start_node $i lib; start_backend $i lib; done
route='"kind":"safe","timeout":"1200ms","targetLatency":"400ms","priority":2,"maxAttempts":2'
old="\"r1\":{\"host\":\"a.example\",\"pathPrefix\":\"/seats/\",$route,\"service\":\"book\"}"
new="\"r1\":{\"host\":\"a.example\",\"pathPrefix\":\"/seats/\",$route,\"service\":\"lib\"}"
other="\"r2\":{\"host\":\"a.example\",\"pathPrefix\":\"/other/\",$route,\"service\":\"lib\"}"
write_config 00000001 "$old"
for i in 1 2 3 4 5 6; do wait_until 15 is_ready $i || cannot_run "node $i is not ready"; done
for i in 1 2 3 4 5 6; do wait_until 15 is_served $i /seats/w1/b10 || cannot_run "node $i does not serve"; done
sleep 4
write_config 00000002 "$old,$other" PUT /main
for i in 1 2 3 4 5 6; do wait_until 2 is_served $i /other/w1/b10 || cannot_run "node $i misses a change in the calm"; done
sleep 1

if [ "$trouble" != 0 ]; then
  kill -USR1 "${pid[proxy]}"
  note "the open connections to the store go silent; new ones work"
fi
sleep 4 # longer than contact, 3 s
note "traffic starts"
for i in 1 2 3 4 5 6; do
  run_in_background "c$i" $standin consumer "$(address $i):8147" a.example /seats/w20/b400 GET 0 length \
    5 15 2500 $i "$work_dir/c$i"
done
write_config 00000003 "$new,$other" PUT /main
acknowledged=$(date +%s%3N)
note "version 00000003, which moves /seats/ from book to lib, is acknowledged"
wait "${pid[c1]}" "${pid[c2]}" "${pid[c3]}" "${pid[c4]}" "${pid[c5]}" "${pid[c6]}"
note "traffic ends"
cat "$work_dir"/c? "$work_dir"/ran? 2>/dev/null | sort -k2,2n >>"$record"
# The backends of book are i-00000001 to i-00000003.
awk -v acknowledged="$acknowledged" '$1 == "sent" { at[$3] = $2 - acknowledged; sent++ }
  $1 == "ran" && ($3 in at) { ran++; if ($4 ~ /[123]$/ && at[$3] > 2000) { bad++; if (at[$3] > last) last = at[$3]; if (bad <= 3) printf "CONFIG: %s was sent %.0f ms after the acknowledgement and run by %s of book\n", $3, at[$3], $4 } }
  END { printf "sent %d, runs %d, by the old service more than 2 s after the acknowledgement: %d, the last sent %.0f ms after it\n", sent, ran, bad, last
    exit bad > 0 ? 1 : 0 }' "$record" >"$work_dir/result"
status=$?
tee -a "$record" <"$work_dir/result"
exit $status
