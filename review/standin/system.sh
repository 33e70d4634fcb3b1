# Starts a small system on loopback addresses for the scripts of the review.
# Sourced by run.sh of a case, which sets $case_dir, its folder, and $trouble.
#
# 3 edge machines (control and entry), 3 side machines (agent and minion). Each
# machine has an address of its own in 127.0.0.0/8.
set -uo pipefail
cd "$case_dir/../.." || exit 2
standin=target/review/standin
for program in target/almond-controld target/almond-entryd target/almond-agentd "$standin"; do
  [ -x "$program" ] || { echo "$program is missing: run the build and review/build.sh" >&2; exit 2; }
done
record="$case_dir/record.txt"
: >"$record"
work=$(mktemp -d) || exit 2
net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
# The first of 20 ports in a row on which nothing listens.
free_ports() {
  local first port
  while true; do
    first=$((20000 + RANDOM % 10000))
    for port in $(seq "$first" $((first + 19))); do
      (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null && continue 2
    done
    echo "$first"
    return
  done
}
control_port=$(free_ports); front_port=$((control_port + 1)); ready_port=$((control_port + 2))
app_port=$((control_port + 3)); first_port=$((control_port + 10))
service=svc-a
declare -A pid_of address_of
zones=(zone-a zone-b zone-c)
for i in 1 2 3; do
  address_of[edge-$i]="$net.$i"
  address_of[side-$i]="$net.$((i + 10))"
done
seeds="${address_of[edge-1]}:$control_port,${address_of[edge-2]}:$control_port,${address_of[edge-3]}:$control_port"
entries="${address_of[edge-1]}:$front_port,${address_of[edge-2]}:$front_port,${address_of[edge-3]}:$front_port"

cleanup() {
  local pid
  for pid in "${pid_of[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT

note() { # event [life of a minion]
  "$standin" note --record="$record" --event="$1" --life="${2:-}"
}

render() { # template machine zone listen bootstrap
  sed -e "s/{{node_name}}/$2/; s/{{zone}}/$3/; s/{{ip}}/${address_of[$2]}/; s/{{seeds}}/$seeds/" \
    -e "s/{{port_range}}/$first_port,$((first_port + 5))/; s/{{service}}/$service/" \
    -e "s/{{listen.control}}/${address_of[$2]}:$control_port/; s/{{listen.front}}/${address_of[$2]}:$front_port/" \
    -e "s/{{listen.ready}}/${address_of[$2]}:$ready_port/; s/{{bootstrap}}/$4/" \
    -e "s#{{data_dir}}#$work/data-$2#; s/{{fault_tolerance.machines}}/1/" "deploy/$1.flags"
}

# The commands of deploy/system.toml; only the path of the settings differs.
start_role() { # role machine zone bootstrap
  local settings="$work/$1-$2.toml"
  render "$1" "$2" "$3" "$4" >"$settings"
  ALMONDPROXY_CONFIG=$settings "target/almond-$1d" --flagfile="$settings" \
    >>"$work/$1-$2.log" 2>&1 </dev/null &
  pid_of[$1-$2]=$!
}

start_minion() { # number life cpu register_ms
  "$standin" minion --id="i-000$1" --life="$2" --listen="${address_of[side-$1]}:$app_port" \
    --control="${address_of[side-$1]}:$control_port" --service=$service --zone="${zones[$(($1 - 1))]}" \
    --cpu="$3" --register_ms="$4" --clock_rate="${clock_rate:-1000}" --record="$record" >>"$work/minion-$1.log" 2>&1 </dev/null &
  pid_of[minion-$1]=$!
}

kill_minion() { # number life
  kill -KILL "${pid_of[minion-$1]}"
  wait "${pid_of[minion-$1]}" 2>/dev/null
  note killed "i-000$1/$2"
}

config() { # routes as JSON
  cat <<END
{"version":2,"routes":[$1],"services":[{"name":"$service","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"admission_check":false,"spare":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}
END
}

route() { # number host
  echo "{\"name\":\"r-$1\",\"host\":\"$2\",\"path_prefix\":\"/jobs/\",\"type\":\"non_idempotent\",\"timeout_ms\":3000,\"slo_ms\":60,\"priority\":0,\"service\":\"$service\",\"attempts\":3,\"stretch\":1.6}"
}

# Starts everything, with one route for the address of each entry, and waits
# until the entries are ready.
start_system() { # cpu of the minions
  local i
  for i in 1 2 3; do
    mkdir -p "$work/data-edge-$i"
    start_role control "edge-$i" "${zones[$((i - 1))]}" true
    start_role entry "edge-$i" "${zones[$((i - 1))]}" true
    start_role agent "side-$i" "${zones[$((i - 1))]}" true
  done
  sleep 1
  for i in 1 2 3; do start_minion "$i" 1 "$1" 0; done
  "$standin" operator --controls="$seeds" --record="$record" --length_ms=10000 \
    --config="$(config "$(route 1 "${address_of[edge-1]}"),$(route 2 "${address_of[edge-2]}"),$(route 3 "${address_of[edge-3]}")")" ||
    { echo "the configuration was not acknowledged" >&2; exit 2; }
  sleep 3
}

start_clients() { # length_ms period_ms job
  "$standin" clients --entries="$entries" --prefix=/jobs/ --record="$record" --length_ms="$1" \
    --period_ms="$2" --deadline_ms="${client_deadline_ms:-3000}" --job="$3" &
  pid_of[clients]=$!
}
