#!/usr/bin/env bash
# The collector of the control processes' logs stands still; see claim.txt.
# TROUBLE=0: it reads all the time.
set -u
cd "$(dirname "$0")/../.."
record=review/10/record.txt
source review/stand-ins-2/system.sh

changes=400
ack_timeout_ms=4000

# Starts a control process whose standard output goes through a pipe to a
# collector. The collector's process id is in $collector.
start_logged_control() {
  local ip="$net.$1"
  render control.flags "$work/control-$1.flags" "node_name=edge-$1" "zone=zone-$1" \
    "ip=$ip" "seeds=$seeds" "port_range=$ports" "listen.control=$ip:$control" \
    "data_dir=$work/data-$1" "bootstrap=true" "fault_tolerance.machines=1"
  mkfifo "$work/pipe-$1"
  cat "$work/pipe-$1" > "$work/control-$1.log" &
  collector=$!; pids+=("$collector")
  target/almond-controld --flagfile="$work/control-$1.flags" > "$work/pipe-$1" 2>/dev/null &
  last=$!; pids+=("$last")
}

controls=() collectors=()
for number in 1 2 3; do
  start_logged_control $number
  controls+=("$last"); collectors+=("$collector")
done
configuration 1 > "$work/config.json"
put_configuration "$work/config.json" || unable "no configuration was acknowledged"
if [[ ${TROUBLE:-1} != 0 ]]; then
  for pid in "${collectors[@]}"; do kill -STOP "$pid"; done
  note "the collectors of the logs are stopped"
fi

acknowledged=1
for version in $(seq 2 $changes); do
  configuration "$version" > "$work/config.json"
  begun=$(date +%s%3N)
  while true; do
    node=$((RANDOM % 3 + 1))
    status=$(curl -s -L --post301 --post302 -o /dev/null -w '%{http_code}' --max-time 1 -X PUT \
      -H 'Content-Type: application/json' --data-binary "@$work/config.json" \
      "http://$net.$node:$control/almondproxy/config")
    note "operator sends version $version to control $node, gets $status"
    [[ $status == 200 ]] && break
    # Twice ack_timeout_ms without an acknowledgement.
    (($(date +%s%3N) - begun > 2 * ack_timeout_ms)) && break 2
    sleep 0.1
  done
  acknowledged=$version
done
note "version $acknowledged was acknowledged last, of $changes"

# The operator reads the configuration back for contact_ms and more.
read_back=none
for _ in $(seq 1 12); do
  node=$((RANDOM % 3 + 1))
  body=$(curl -s -L --max-time 1 "http://$net.$node:$control/almondproxy/config")
  found=$(jq -r '.version // empty' 2>/dev/null <<< "$body")
  note "operator reads the configuration at control $node, gets version ${found:-none}"
  [[ -n $found ]] && { read_back=$found; break; }
  sleep 0.3
done
note "read back: version $read_back"
for index in 0 1 2; do
  state=$(awk '/^State/ {print $2}' "/proc/${controls[$index]}/status" 2>/dev/null || echo gone)
  note "control process $((index + 1)): state ${state:-gone}"
done
if [[ $read_back == none ]] || ((read_back < acknowledged)); then
  note "rule broken: CONFIG"; exit 1
fi
((acknowledged == changes)) || { note "rule broken: Acks"; exit 1; }
note "held"
exit 0
