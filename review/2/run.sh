#!/usr/bin/env bash
# TROUBLE=0 runs the same without the disruption.
trouble=${TROUBLE:-1}
case_dir=$(cd "$(dirname "$0")" && pwd)
. "$case_dir/../standin/system.sh"

# "Lease time is measured on the minion's own steady clock, which may be 2% slow."
clock_rate=${CLOCK_RATE:-980}
start_system 16000
# Small tasks of 2.5 s, so that the minions are never full.
job='{"spec":"2500 50","steps":[{"count":2,"cpu":50,"mem_mb":16,"est_ms":2500}],"best_effort":true}'
client_deadline_ms=8000
start_clients 62000 20 "$job"
sleep 3
for turn in {1..12}; do
  number=$((turn % 3 + 1))
  [ "$trouble" = 0 ] || kill -USR1 "${pid_of[minion-$number]}"
  sleep 2.5
  [ "$trouble" = 0 ] || kill -USR2 "${pid_of[minion-$number]}"
  sleep 2
done
wait "${pid_of[clients]}"
"$standin" check --record="$record" --rule=TWICE --least_complete=100
