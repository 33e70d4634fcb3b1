# Sourced by the scripts of this review. Starts the programs of the deploy
# file as a small deployment on loopback addresses: three edge machines with
# control and entry, three side machines with an agent.

program_folder=target
stand_in=build/review-3/fleet
work=$(mktemp -d) || exit 2
pids=()

clean_up() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap clean_up EXIT

for needed in "$program_folder"/almond-{controld,entryd,agentd} "$stand_in"; do
  [ -x "$needed" ] || { echo "$needed is missing; build first"; exit 2; }
done

net=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
base=$((12000 + RANDOM % 18000))
control_port=$base
front_port=$((base + 1))
ready_port=$((base + 2))
minion_port=$((base + 3))
range=$((base + 10)),$((base + 25))
service=huvo11a
edges=("$net.11" "$net.12" "$net.13")
sides=("$net.21" "$net.22" "$net.23")

# Joins the addresses of all edge machines at a port.
edge_list() { # port
  local list
  list=$(printf "%s:$1," "${edges[@]}")
  printf '%s' "${list%,}"
}

launch() { # name program flags...
  local name=$1 program=$2
  shift 2
  printf '%s\n' --platform "$@" --seeds="$(edge_list "$control_port")" \
    --port_range="$range" >"$work/$name.flags"
  "$program_folder/$program" --flagfile="$work/$name.flags" \
    >"$work/$name.log" 2>&1 </dev/null &
  pids+=($!)
}

start_system() {
  local ip zones=(a b c) i=0
  for ip in "${edges[@]}"; do
    mkdir -p "$work/data-$i"
    launch "control-$i" almond-controld --id="edge-$i" \
      --data_centre="zone-${zones[$i]}" --ip="$ip" \
      --listen_http="$ip:$control_port" --data_dir="$work/data-$i" \
      --bootstrap=true --tolerated_losses=1
    launch "entry-$i" almond-entryd --id="edge-$i" \
      --data_centre="zone-${zones[$i]}" --ip="$ip" \
      --listen_http="$ip:$front_port" --listen_ready="$ip:$ready_port"
    i=$((i + 1))
  done
  i=0
  for ip in "${sides[@]}"; do
    launch "agent-$i" almond-agentd --id="side-$i" \
      --data_centre="zone-${zones[$i]}" --ip="$ip" \
      --listen_http="$ip:$control_port" --service="$service"
    i=$((i + 1))
  done
}

# Runs the stand-in with a scenario; its exit status is the result.
run_scenario() { # scenario record
  local ip minions=()
  for ip in "${sides[@]}"; do
    minions+=("$ip:$minion_port=$ip:$control_port")
  done
  timeout 100 "$stand_in" "$1" "${TROUBLE:-1}" "$2" "$service" \
    "$(edge_list "$control_port")" "$(edge_list "$front_port")" \
    "$(edge_list "$ready_port")" "${minions[@]}"
  local status=$?
  case $status in 0 | 1) ;; *) status=2 ;; esac
  return $status
}
