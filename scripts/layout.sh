# Functions that start a small fleet of separate processes on loopback.
# Sourced by scripts/demo, scripts/faults and scripts/measure; needs a finished
# build. BRIARLEAD_PRESET=asan takes the programs of that preset.
#
# Every process writes to its own file in $layout_dir and its id stands in
# $layout_dir/NAME.pid. Only processes started here are ever signalled.

bin=build/${BRIARLEAD_PRESET:-release}/bin
layout_dir=$(mktemp -d)
customer_key=key-of-howrah-surveyors
fitter_key=key-of-barasat-fitters
operator_key=operator-key-of-the-example
backend_key=backend-server-key-of-the-example
frame_key=7e5df1962b6e5b1f818eaba9851b0127606d9752a357e7b150145d6437acc0c8
operator_key_sha256=$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)
printf %s "$operator_key" >"$layout_dir/operator.key"

control_peers=()   # peers endpoints, "PORT"
control_https=()   # operators' endpoints, "127.0.0.1:PORT"
entry_peers=()     # peers ports
entry_https=()     # callers' endpoints, "127.0.0.1:PORT"
declare -gA entry_dc entry_port control_port

# plan_control NAME DATA_CENTRE PEERS_PORT HTTP_PORT
plan_control() {
  control_names+=("$1")
  control_dcs+=("$2")
  control_peers+=("$3")
  control_https+=("127.0.0.1:$4")
  control_port[$1]=$4
}

# plan_entry NAME DATA_CENTRE PEERS_PORT HTTP_PORT
plan_entry() {
  entry_names+=("$1")
  entry_dc[$1]=$2
  entry_peers+=("$3")
  entry_https+=("127.0.0.1:$4")
  entry_port[$1]=$4
}

# join_lines SEPARATOR WORD...
join_words() {
  local separator=$1 it
  shift
  local text=""
  for it in "$@"; do
    text+="${text:+$separator}$it"
  done
  printf %s "$text"
}

# launch NAME COMMAND...: runs it in the background, output to NAME.log
launch() {
  local name=$1
  shift
  "$@" >>"$layout_dir/$name.log" 2>&1 &
  echo $! >"$layout_dir/$name.pid"
}

pid_of() { cat "$layout_dir/$1.pid"; }

start_control() {
  local index=$1 members=() it
  for it in "${!control_names[@]}"; do
    members+=("{\"host\":\"${control_names[$it]}\",\"peers\":{\"address\":\"127.0.0.1\",\"port\":${control_peers[$it]}}}")
  done
  local name=${control_names[$index]}
  mkdir -p "$layout_dir/$name"
  cat >"$layout_dir/$name.json" <<EOF
{
  "host": "$name", "data_centre": "${control_dcs[$index]}",
  "data_folder": "$layout_dir/$name",
  "peers": {"address": "127.0.0.1", "port": ${control_peers[$index]}},
  "operators": {"address": "127.0.0.1", "port": ${control_port[$name]}},
  "members": [$(join_words , "${members[@]}")],
  "data_centres": [$(printf '%s\n' "${entry_dc[@]}" | sort -u | sed 's/.*/"&"/' | paste -sd,)],
  "frame_key": "$frame_key", "operator_key_sha256": "$operator_key_sha256"
}
EOF
  launch "$name" "$bin/briarlead" control --settings "$layout_dir/$name.json"
}

start_entry() {
  local index=$1 seeds=() controls=() it
  local name=${entry_names[$index]}
  for it in "${!entry_names[@]}"; do
    [ "$it" = "$index" ] || seeds+=("{\"address\":\"127.0.0.1\",\"port\":${entry_peers[$it]}}")
  done
  for it in "${control_peers[@]}"; do
    controls+=("{\"address\":\"127.0.0.1\",\"port\":$it}")
  done
  cat >"$layout_dir/$name.json" <<EOF
{
  "host": "$name", "data_centre": "${entry_dc[$name]}",
  "callers": {"address": "127.0.0.1", "port": ${entry_port[$name]}},
  "peers": {"address": "127.0.0.1", "port": ${entry_peers[$index]}},
  "peers_seeds": [$(join_words , "${seeds[@]}")],
  "controls": [$(join_words , "${controls[@]}")],
  "entry_hosts": ${#entry_names[@]},
  "frame_key": "$frame_key", "backend_server_key": "$backend_key",
  "operator_key_sha256": "$operator_key_sha256",
  "services": [{"service": "visit-desk", "path_prefix": "/visit-desk",
                "repeatable": ["GET /visits", "GET /jobs"], "answer_timeout_ms": 5000}],
  "models": [{"model": "summary"}]
}
EOF
  launch "$name" "$bin/briarlead" entry --settings "$layout_dir/$name.json"
}

# start_backend NAME DATA_CENTRE ROLE PORT [OPTION...]
# It announces itself to the entry hosts of its data centre.
start_backend() {
  local name=$1 dc=$2 role=$3 port=$4 announce=() it
  shift 4
  for it in "${entry_names[@]}"; do
    [ "${entry_dc[$it]}" = "$dc" ] && announce+=("127.0.0.1:${entry_port[$it]}")
  done
  launch "$name" "$bin/briarlead_fake_backend" --role "$role" --id "$name" \
    --data-centre "$dc" --model summary --service visit-desk \
    --listen "127.0.0.1:$port" --announce "$(join_words , "${announce[@]}")" \
    --key "$backend_key" --record "$layout_dir/$name.record" "$@"
}

# wait_for SECONDS COMMAND...: repeats it until it succeeds
wait_for() {
  local tries=$(($1 * 20)) it
  shift
  for ((it = 0; it < tries; ++it)); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.05
  done
  echo "gave up waiting for: $*" >&2
  return 1
}

entry_is_ready() { curl -sf "http://127.0.0.1:${entry_port[$1]}/readyz"; }

# apply_lists BASE OPERATOR [OPTION...]
apply_lists() {
  local base=$1 operator=$2
  shift 2
  "$bin/briarlead" apply --control "$(join_words , "${control_https[@]}")" \
    --key-file "$layout_dir/operator.key" --base "$base" \
    --operator "$operator" "$@"
}

# stop_layout: planned stop of all that runs; what is left after 10 s is killed
stop_layout() {
  local left=() it round
  for it in "$layout_dir"/*.pid; do
    kill -TERM "$(cat "$it")" 2>/dev/null || true
  done
  for ((round = 0; round < 100; ++round)); do
    left=()
    for it in "$layout_dir"/*.pid; do
      kill -0 "$(cat "$it")" 2>/dev/null && left+=("$(basename "$it" .pid)")
    done
    [ ${#left[@]} -eq 0 ] && break
    sleep 0.1
  done
  if [ ${#left[@]} -ne 0 ]; then
    echo "did not stop: ${left[*]}" >&2
    for it in "${left[@]}"; do
      kill -KILL "$(pid_of "$it")" 2>/dev/null || true
    done
    return 1
  fi
}
