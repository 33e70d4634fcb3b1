#!/usr/bin/env bash
# TROUBLE=0 runs the same without the disruption.
trouble=${TROUBLE:-1}
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../standin/system.sh"

start_system 16000
# Tasks of 300 ms on 4 cores, in jobs of 2: the 3 minions have 48 cores.
job='{"spec":"300 4000","steps":[{"count":2,"cpu":4000,"mem_mb":64,"est_ms":300}],"best_effort":true}'
start_clients 58000 70 "$job"
sleep 2
for life in {1..24}; do
  number=$((life % 3 + 1))
  last=$(((life - 1) / 3 + 1))
  if [ "$trouble" != 0 ]; then
    kill_minion "$number" "$last"
    sleep 0.2
    start_minion "$number" $((last + 1)) 16000 "${REGISTER_MS:-50}"
  fi
  sleep 2
done
wait "${pid_of[clients]}"
"$standin" check --record="$record" --rule=TWICE --least_complete=100
