# Functions for the scripts of the review: starts a small system on loopback
# addresses with the commands of deploy/system.toml and settings rendered from
# the templates beside it. Sourced by run.sh from the repository's root; `record`
# is the record.txt of the case: what was sent, answered and run. Lines of the
# script have "test" as their second word.

work=$(mktemp -d)
: > "$record"
pids=()
net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"

# Chooses ports on which nothing listens, below the range of outgoing connections.
port_in_use() {
  awk -v port="$(printf ':%04X' "$1")" \
    '$4 == "0A" && substr($2, length($2) - 4) == port { found = 1 } END { exit !found }' \
    /proc/net/tcp /proc/net/tcp6 2>/dev/null
}
for attempt in $(seq 1 50); do
  base=$((RANDOM % 20000 + 10240)); busy=false
  for port in $(seq "$base" $((base + 29))); do port_in_use "$port" && { busy=true; break; }; done
  $busy || break
done
front=$base ready=$((base + 1)) control=$((base + 2)) app=$((base + 3))
ports=$((base + 10)),$((base + 25))
seeds="$net.1:$control,$net.2:$control,$net.3:$control"

note() {
  local micros=${EPOCHREALTIME//[.,]/}
  echo "${micros%???} test $*" >> "$record"
}

cleanup() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT

unable() { note "cannot run: $*"; echo "cannot run: $*" >&2; exit 2; }

# render TEMPLATE OUTPUT NAME=VALUE...
render() {
  local text; text=$(cat "deploy/$1"); local out=$2; shift 2
  for pair in "$@"; do text=${text//"{{${pair%%=*}}}"/"${pair#*=}"}; done
  printf '%s\n' "$text" > "$out"
}

# start_control NUMBER BOOTSTRAP; the process id is in $last
start_control() {
  local ip="$net.$1"
  render control.flags "$work/control-$1.flags" "node_name=edge-$1" "zone=zone-$1" \
    "ip=$ip" "seeds=$seeds" "port_range=$ports" "listen.control=$ip:$control" \
    "data_dir=$work/data-$1" "bootstrap=$2" "fault_tolerance.machines=1"
  target/almond-controld --flagfile="$work/control-$1.flags" >> "$work/control-$1.log" 2>&1 &
  last=$!; pids+=("$last")
}

start_entry() {
  local ip="$net.$1"
  render entry.flags "$work/entry-$1.flags" "node_name=edge-$1" "zone=zone-$1" \
    "ip=$ip" "seeds=$seeds" "port_range=$ports" "listen.front=$ip:$front" \
    "listen.ready=$ip:$ready"
  target/almond-entryd --flagfile="$work/entry-$1.flags" >> "$work/entry-$1.log" 2>&1 &
  last=$!; pids+=("$last")
}

# start_agent NUMBER; agents have the addresses from .101
start_agent() {
  local ip="$net.$((100 + $1))"
  render agent.flags "$work/agent-$1.flags" "node_name=side-$1" "zone=zone-1" \
    "ip=$ip" "seeds=$seeds" "port_range=$ports" "listen.control=$ip:$control" \
    "service=geurmatch"
  target/almond-agentd --flagfile="$work/agent-$1.flags" >> "$work/agent-$1.log" 2>&1 &
  last=$!; pids+=("$last")
}

# configuration VERSION: a configuration with one queue
configuration() {
  cat <<JSON
{"version":$1,"routes":[{"name":"r-1","host":"queue.example","path_prefix":"/queue/","type":"non_idempotent","timeout_ms":1500,"slo_ms":60,"priority":0,"service":"geurmatch","attempts":3,"stretch":1.6}],"services":[{"name":"geurmatch","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"admission_check":false,"spare":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
JSON
}

# put_configuration FILE: sends it to the nodes in turn until it is acknowledged
put_configuration() {
  local try status
  for try in $(seq 1 60); do
    status=$(curl -s -L --post301 --post302 -o /dev/null -w '%{http_code}' --max-time 2 -X PUT \
      -H 'Content-Type: application/json' --data-binary "@$1" \
      "http://$net.$((try % 3 + 1)):$control/almondproxy/config")
    note "operator sends a configuration to control $((try % 3 + 1)), gets $status"
    [[ $status == 200 ]] && return 0
    sleep 0.2
  done
  return 1
}

# await_ready NUMBER: waits until the entry reports that it is ready
await_ready() {
  for _ in $(seq 1 100); do
    curl -s -f -o /dev/null --max-time 1 "http://$net.$1:$ready/almondproxy/readyz" && return 0
    sleep 0.1
  done
  return 1
}
