#!/usr/bin/env bash
# Many users come at once and keep their connections open; see claim.txt.
# TROUBLE=0: a tenth as many.
set -u
cd "$(dirname "$0")/../.."
record=review/10/record.txt
max_fds=4100
ulimit -n 8192 2>/dev/null || { echo "cannot run: the limit on descriptors is too low" >&2; exit 2; }
source review/stand-ins-2/system.sh

users=4200
[[ ${TROUBLE:-1} == 0 ]] && users=420

# Starts an entry with the limit on descriptors that its settings state.
start_limited_entry() {
  local ip="$net.$1"
  render entry.flags "$work/entry-$1.flags" "node_name=edge-$1" "zone=zone-$1" \
    "ip=$ip" "seeds=$seeds" "port_range=$ports" "listen.front=$ip:$front" \
    "listen.ready=$ip:$ready"
  (ulimit -n $max_fds; exec target/almond-entryd --flagfile="$work/entry-$1.flags") \
    >> "$work/entry-$1.log" 2> "$work/entry-$1.err" &
  last=$!; pids+=("$last")
}

for number in 1 2 3; do start_control $number true; done
start_agent 1
start_minion 1 4000
configuration 1 > "$work/config.json"
put_configuration "$work/config.json" || unable "no configuration was acknowledged"

# users_come ENTRY: each user opens a connection, asks for the length of the
# queue, reads the answer and keeps the connection. Leaves the number of
# answers in $answers.
users_come() {
  local fd line
  connections=(); answers=0
  for _ in $(seq 1 $users); do
    { exec {fd}<>"/dev/tcp/$net.$1/$front"; } 2>/dev/null || break
    connections+=("$fd")
    line=
    printf 'GET /queue/ HTTP/1.1\r\nHost: queue.example\r\n\r\n' >&"$fd" 2>/dev/null || break
    IFS= read -r -t 1 line <&"$fd" 2>/dev/null
    note "user ${#connections[@]} sends GET to entry $1, gets ${line%$'\r'}"
    [[ -n $line ]] || break
    [[ $line == *" 200 "* ]] && answers=$((answers + 1))
  done
}

users_leave() { local fd; for fd in "${connections[@]}"; do exec {fd}>&-; done; }

declare -A ended=([1]=0 [2]=0)
for number in 1 2; do
  for round in 1 2 3; do
    start_limited_entry $number; entry=$last
    await_ready $number || unable "entry $number is not ready"
    # A job of 5 s, whose client waits for 20 s.
    job=$(printf '%016x' $((number * 16 + round)))
    (curl -s -o /dev/null -w '%{http_code}' --max-time 20 -X POST -H 'Host: queue.example' \
      -H 'Content-Type: application/json' -H 'X-Almondproxy-Deadline-Ms: 20000' \
      --data '{"spec":"5000","best_effort":true,"steps":[{"count":1,"cpu":1000,"mem_mb":64,"est_ms":5000}]}' \
      "http://$net.$number:$front/queue/$job" > "$work/job-$job") &
    client=$!
    note "client sends job $job to entry $number"
    sleep 0.5
    users_come $number
    note "entry $number, round $round: ${#connections[@]} connections, $answers answered with 200"
    for _ in $(seq 1 60); do kill -0 "$entry" 2>/dev/null || break; sleep 0.1; done
    if kill -0 "$entry" 2>/dev/null; then
      users_leave
      wait "$client"
      note "entry $number, round $round: runs on; its job is answered with $(cat "$work/job-$job")"
      kill -KILL "$entry"
      wait "$entry" 2>/dev/null
    else
      wait "$entry"; status=$?
      users_leave
      wait "$client"
      ended[$number]=$((ended[$number] + 1))
      note "entry $number, round $round: ended by itself with code $status: $(tail -n 1 "$work/entry-$number.err" | sed "s#$work/##"); its job is answered with $(cat "$work/job-$job")"
    fi
  done
done
note "ends by themselves: entry 1 ${ended[1]}, entry 2 ${ended[2]}"
if ((ended[1] >= 3 && ended[2] >= 3)); then note "rule broken: Fault"; exit 1; fi
note "held"
exit 0
